#include "heatherridge_coordination/groups/groupleader.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Maximum number of decided tallies kept. A gate is at most a few switches behind, since each needs its vote. */
constexpr std::size_t MaxDecidedTallies = 64;

} // namespace

GroupLeader::GroupLeader(FencingNumber fencing, std::vector<int> ranks)
    : m_fencing(fencing)
    , m_ranks(std::move(ranks))
    , m_nextMapNumber(firstMapNumber(fencing))
{
}

LeaderActions GroupLeader::handle(const GroupMessage &message, int fromRank, Incarnation run)
{
    m_knownGates[fromRank].run = run;
    std::visit([this, fromRank](const auto &typed) { handleMessage(typed, fromRank); }, message);
    if (m_phase == Phase::Loading && !isProposalCurrent()) {
        ++m_counters.cancelledRestart;
        abandonProposal();
    }
    return takePendingActions();
}

LeaderActions GroupLeader::handleEpoch(const GroupEpoch &epoch)
{
    if (!m_epochs.apply(epoch)) {
        return takePendingActions();
    }
    const bool isOwnEpoch = m_phase == Phase::AppendingEpoch && epoch.map.number() == m_proposal.map.number();
    m_counters.epochsComposed += isOwnEpoch ? 1 : 0;
    m_counters.epochsSuperseded += m_phase == Phase::AppendingEpoch && !isOwnEpoch ? 1 : 0;
    m_phase = Phase::Idle;
    m_decidedTallies.clear();
    for (const int rank : m_ranks) {
        sendToGate(rank, EpochAnnouncement{epoch});
    }
    return takePendingActions();
}

void GroupLeader::handleAppendResult(bool succeeded)
{
    // Even after a successful append, the record takes effect only when read back: another may precede it.
    m_appendPending = false;
    m_counters.appendsRepeated += succeeded ? 0 : 1;
}

Outcome GroupLeader::proposeSwitch(std::vector<LayerPlacement> layers)
{
    const auto &epoch = m_epochs.current();
    if (!epoch) {
        return Error{.kind = ErrorKind::NoTarget, .detail = "the current epoch is unknown"};
    }
    std::vector<int> ranks;
    for (const auto &member : epoch->members) {
        const auto *status = statusOf(member.rank);
        if (status == nullptr || status->epoch != epoch->number || status->engine != member.incarnation) {
            return Error{.kind = ErrorKind::NoTarget,
                         .detail = "rank " + std::to_string(member.rank) + " has not entered the current epoch"};
        }
        if (status->pending != MapNumber{}) {
            return Error{.kind = ErrorKind::Overloaded, .detail = "the previous switch has not taken effect yet"};
        }
        ranks.push_back(member.rank);
    }
    return startProposal(ranks, std::move(layers), false);
}

Outcome GroupLeader::proposeEpoch(std::vector<int> ranks, std::vector<LayerPlacement> layers)
{
    const auto &epoch = m_epochs.current();
    if (!m_caughtUp) {
        return Error{.kind = ErrorKind::PlatformUnavailable,
                     .detail = "the group's stream has not been read to its end"};
    }
    const bool hasCommonRank =
        !epoch || std::any_of(ranks.begin(), ranks.end(), [&](int rank) { return epoch->find(rank) != nullptr; });
    if (!hasCommonRank) {
        return Error{.kind = ErrorKind::BadRequest, .detail = "no rank of the current epoch is in the new one"};
    }
    return startProposal(ranks, std::move(layers), true);
}

LeaderActions GroupLeader::cancel()
{
    if (m_phase == Phase::Loading || m_phase == Phase::Voting) {
        ++m_counters.cancelledByCaller;
        abandonProposal();
    }
    return takePendingActions();
}

LeaderActions GroupLeader::tick()
{
    for (const int rank : m_ranks) {
        const auto *status = statusOf(rank);
        if (status == nullptr) {
            sendToGate(rank, StatusRequest{.leader = m_fencing});
        } else if (m_epochs.current() && status->epoch < m_epochs.current()->number) {
            sendToGate(rank, EpochAnnouncement{*m_epochs.current()});
        }
    }
    switch (m_phase) {
    case Phase::Idle:
        break;
    case Phase::Loading:
        sendLoadRequests();
        break;
    case Phase::Voting:
        requestVotes();
        break;
    case Phase::AppendingEpoch:
        if (!m_appendPending) {
            appendEpoch();
        }
        break;
    }
    return takePendingActions();
}

GroupLeader::Phase GroupLeader::phase() const
{
    return m_phase;
}

const std::optional<GroupEpoch> &GroupLeader::epoch() const
{
    return m_epochs.current();
}

void GroupLeader::setCaughtUp()
{
    m_caughtUp = true;
}

const RankStatus *GroupLeader::statusOf(int rank) const
{
    const auto found = m_knownGates.find(rank);
    return found == m_knownGates.end() || found->second.status.engine == Incarnation{} ? nullptr
                                                                                       : &found->second.status;
}

bool GroupLeader::hasAllMembers() const
{
    const auto &epoch = m_epochs.current();
    return epoch && std::all_of(epoch->members.begin(), epoch->members.end(), [&](const auto &member) {
               const auto *status = statusOf(member.rank);
               return status != nullptr && status->epoch == epoch->number && status->engine == member.incarnation;
           });
}

const LeaderCounters &GroupLeader::counters() const
{
    return m_counters;
}

void GroupLeader::handleMessage(const MapReady &message, int fromRank)
{
    if (m_phase != Phase::Loading || message.map != m_proposal.map.number()
        || !m_proposal.gateRuns.contains(fromRank)) {
        return;
    }
    if (!message.loaded) {
        ++m_counters.cancelledLoad;
        abandonProposal();
        return;
    }
    m_proposal.readyRanks.insert(fromRank);
    if (m_proposal.readyRanks.size() < m_proposal.gateRuns.size() || !isProposalCurrent()) {
        return;
    }
    if (m_proposal.startsNewEpoch) {
        m_phase = Phase::AppendingEpoch;
        appendEpoch();
    } else {
        m_phase = Phase::Voting;
        requestVotes();
    }
}

void GroupLeader::handleMessage(const VoteList &message, int fromRank)
{
    if (m_phase == Phase::Voting && message.map == m_proposal.map.number()) {
        m_tally.merge(message);
        applyVoteOutcome();
        return;
    }
    const auto found = m_decidedTallies.find(message.map);
    if (found != m_decidedTallies.end()) {
        sendToGate(fromRank, found->second.toVoteList(message.map));
    } else if (m_epochs.current() && message.epoch < m_epochs.current()->number) {
        sendToGate(fromRank, EpochAnnouncement{*m_epochs.current()});
    }
}

void GroupLeader::handleMessage(const RankStatus &message, int fromRank)
{
    if (message.rank == fromRank) {
        m_knownGates[fromRank].status = message;
    }
}

void GroupLeader::handleMessage(const EpochAnnouncement &message, int /*fromRank*/)
{
    // Gates learn epochs from the stream, so the stream holds a record that this leader has not read yet.
    auto actions = handleEpoch(message.epoch);
    m_actions.insert(m_actions.end(), actions.begin(), actions.end());
}

template<typename Other>
void GroupLeader::handleMessage(const Other & /*message*/, int /*fromRank*/)
{
    // addressed to gates or to the estimator
}

Outcome GroupLeader::startProposal(const std::vector<int> &ranks, std::vector<LayerPlacement> layers,
                                   bool startsNewEpoch)
{
    // A new epoch also ends a vote that cannot complete because a rank has died.
    const bool canStart = m_phase == Phase::Idle || (startsNewEpoch && m_phase == Phase::Voting);
    if (!canStart) {
        return Error{.kind = ErrorKind::Overloaded, .detail = "another change of the group is in progress"};
    }
    Proposal proposal{.startsNewEpoch = startsNewEpoch};
    for (const int rank : ranks) {
        const auto *status = statusOf(rank);
        if (status == nullptr) {
            return Error{.kind = ErrorKind::NoTarget,
                         .detail = "rank " + std::to_string(rank) + " has not reported a status"};
        }
        proposal.members.push_back({.rank = rank, .incarnation = status->engine});
        proposal.gateRuns[rank] = m_knownGates[rank].run;
    }
    GroupShape shape{.layers = static_cast<int>(layers.size())};
    for (const auto &layer : layers) {
        for (const auto &slot : layer) {
            shape.experts = std::max(shape.experts, slot.expert + 1);
            if (!proposal.gateRuns.contains(slot.rank)) {
                return Error{.kind = ErrorKind::BadRequest, .detail = "the map uses a rank that is not in the group"};
            }
        }
    }
    shape.slots.assign(static_cast<std::size_t>(*std::max_element(ranks.begin(), ranks.end())) + 1, shape.experts);
    auto map = ExpertMap::create(m_nextMapNumber, shape, std::move(layers));
    if (const auto *error = errorIn(map)) {
        return *error;
    }
    proposal.map = std::move(std::get<ExpertMap>(map));
    m_nextMapNumber = static_cast<MapNumber>(toNumber(m_nextMapNumber) + 1);
    m_proposal = std::move(proposal);
    m_tally = VoteTally(currentEpoch());
    m_phase = Phase::Loading;
    return {};
}

/** Whether all gates and engines of the proposal are still the same runs. A proposal is never sent to a later run of a
 * gate; see LoadMap::addressee. */
bool GroupLeader::isProposalCurrent() const
{
    return std::all_of(m_proposal.members.begin(), m_proposal.members.end(), [this](const auto &member) {
        const auto &gate = m_knownGates.at(member.rank);
        return gate.run == m_proposal.gateRuns.at(member.rank) && gate.status.engine == member.incarnation;
    });
}

void GroupLeader::abandonProposal()
{
    for (const int rank : proposalRanks()) {
        sendToGate(rank, CancelMap{.leader = m_fencing, .epoch = currentEpoch(), .map = m_proposal.map.number()});
    }
    // During a vote the ranks determine the outcome. Those that have agreed wait for it and receive it through the
    // vote list.
    if (m_phase != Phase::Voting) {
        m_phase = Phase::Idle;
    }
}

void GroupLeader::sendLoadRequests()
{
    for (const auto &[rank, run] : m_proposal.gateRuns) {
        if (!m_proposal.readyRanks.contains(rank)) {
            sendToGate(rank,
                       LoadMap{.leader = m_fencing,
                               .epoch = currentEpoch(),
                               .addressee = run,
                               .startsEpoch = m_proposal.startsNewEpoch,
                               .map = m_proposal.map});
        }
    }
}

void GroupLeader::requestVotes()
{
    for (const int rank : proposalRanks()) {
        if (m_tally.voteOf(rank) == nullptr) {
            sendToGate(rank,
                       VoteRequest{.leader = m_fencing, .epoch = m_tally.epoch(), .map = m_proposal.map.number()});
        }
    }
}

void GroupLeader::applyVoteOutcome()
{
    const auto outcome = m_tally.outcome(proposalRanks());
    if (!outcome) {
        return;
    }
    ++(outcome->committed ? m_counters.switchesCommitted : m_counters.switchesAborted);
    for (const int rank : proposalRanks()) {
        sendToGate(rank, m_tally.toVoteList(m_proposal.map.number()));
    }
    m_decidedTallies[m_proposal.map.number()] = m_tally;
    if (m_decidedTallies.size() > MaxDecidedTallies) {
        m_decidedTallies.erase(m_decidedTallies.begin());
    }
    m_phase = Phase::Idle;
}

void GroupLeader::appendEpoch()
{
    m_appendPending = true;
    m_actions.push_back(AppendEpoch{GroupEpoch{.number = static_cast<EpochNumber>(toNumber(currentEpoch()) + 1),
                                               .leader = m_fencing,
                                               .members = m_proposal.members,
                                               .map = m_proposal.map}});
}

std::vector<int> GroupLeader::proposalRanks() const
{
    std::vector<int> ranks;
    ranks.reserve(m_proposal.members.size());
    for (const auto &member : m_proposal.members) {
        ranks.push_back(member.rank);
    }
    return ranks;
}

/** Returns the epoch in force according to the stream or, if its records have expired, according to the ranks. */
EpochNumber GroupLeader::currentEpoch() const
{
    EpochNumber epoch = m_epochs.current() ? m_epochs.current()->number : EpochNumber{};
    for (const auto &[rank, gate] : m_knownGates) {
        epoch = std::max(epoch, gate.status.epoch);
    }
    return epoch;
}

void GroupLeader::sendToGate(int rank, GroupMessage message)
{
    m_actions.push_back(SendToGate{rank, std::move(message)});
}

LeaderActions GroupLeader::takePendingActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Heatherridge
