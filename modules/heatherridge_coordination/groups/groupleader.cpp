#include "heatherridge_coordination/groups/groupleader.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Settled ballots kept: a gate that asks is at most a few switches behind, since each needs its vote. */
constexpr std::size_t BallotsKept = 64;

} // namespace

GroupLeader::GroupLeader(FencingNumber fencing, std::vector<int> ranks)
    : m_fencing(fencing)
    , m_ranks(std::move(ranks))
    , m_nextMap(firstMapNumber(fencing))
{
}

LeaderActions GroupLeader::handle(const GroupMessage &message, int fromRank, Incarnation run)
{
    m_heard[fromRank].run = run;
    std::visit([this, fromRank](const auto &typed) { on(typed, fromRank); }, message);
    if (m_phase == Phase::Loading && !isStillAddressed()) {
        ++m_counters.cancelledRestart;
        giveUp();
    }
    return take();
}

LeaderActions GroupLeader::handleEpoch(const GroupEpoch &epoch)
{
    if (!m_epochs.apply(epoch)) {
        return take();
    }
    const bool own = m_phase == Phase::Composing && epoch.map.number() == m_proposal.map.number();
    m_counters.epochsComposed += own ? 1 : 0;
    m_counters.epochsLost += m_phase == Phase::Composing && !own ? 1 : 0;
    m_phase = Phase::Idle;
    m_settled.clear();
    for (const int rank : m_ranks) {
        tell(rank, EpochNews{epoch});
    }
    return take();
}

void GroupLeader::handleAppend(bool succeeded)
{
    // Also after success the record only counts once it is read back: another may have come before it.
    m_appendPending = false;
    m_counters.appendsRepeated += succeeded ? 0 : 1;
}

Outcome GroupLeader::proposeSwitch(std::vector<LayerPlacement> layers)
{
    const auto &epoch = m_epochs.current();
    if (!epoch) {
        return Error{.kind = ErrorKind::NoTarget, .detail = "no epoch is known"};
    }
    std::vector<int> ranks;
    for (const auto &member : epoch->members) {
        const auto *status = statusOf(member.rank);
        if (status == nullptr || status->epoch != epoch->number || status->engine != member.engine) {
            return Error{.kind = ErrorKind::NoTarget,
                         .detail = "rank " + std::to_string(member.rank) + " is not in the epoch"};
        }
        if (status->pending != MapNumber{}) {
            return Error{.kind = ErrorKind::Overloaded, .detail = "the last switch has not taken effect yet"};
        }
        ranks.push_back(member.rank);
    }
    return start(ranks, std::move(layers), false);
}

Outcome GroupLeader::proposeEpoch(std::vector<int> ranks, std::vector<LayerPlacement> layers)
{
    const auto &epoch = m_epochs.current();
    if (!m_caughtUp) {
        return Error{.kind = ErrorKind::PlatformUnavailable, .detail = "the group's stream is not read to its end"};
    }
    const bool shared =
        !epoch || std::any_of(ranks.begin(), ranks.end(), [&](int rank) { return epoch->find(rank) != nullptr; });
    if (!shared) {
        return Error{.kind = ErrorKind::BadRequest, .detail = "no rank of the epoch in force is in the new one"};
    }
    return start(ranks, std::move(layers), true);
}

LeaderActions GroupLeader::cancel()
{
    if (m_phase == Phase::Loading || m_phase == Phase::Voting) {
        ++m_counters.cancelledByCaller;
        giveUp();
    }
    return take();
}

LeaderActions GroupLeader::tick()
{
    for (const int rank : m_ranks) {
        const auto *status = statusOf(rank);
        if (status == nullptr) {
            tell(rank, StatusRequest{.leader = m_fencing});
        } else if (m_epochs.current() && status->epoch < m_epochs.current()->number) {
            tell(rank, EpochNews{*m_epochs.current()});
        }
    }
    switch (m_phase) {
    case Phase::Idle:
        break;
    case Phase::Loading:
        load();
        break;
    case Phase::Voting:
        askForVotes();
        break;
    case Phase::Composing:
        if (!m_appendPending) {
            compose();
        }
        break;
    }
    return take();
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
    const auto found = m_heard.find(rank);
    return found == m_heard.end() || found->second.status.engine == Incarnation{} ? nullptr : &found->second.status;
}

bool GroupLeader::isWhole() const
{
    const auto &epoch = m_epochs.current();
    return epoch && std::all_of(epoch->members.begin(), epoch->members.end(), [&](const auto &member) {
               const auto *status = statusOf(member.rank);
               return status != nullptr && status->epoch == epoch->number && status->engine == member.engine;
           });
}

const LeaderCounters &GroupLeader::counters() const
{
    return m_counters;
}

void GroupLeader::on(const MapReady &message, int from)
{
    if (m_phase != Phase::Loading || message.map != m_proposal.map.number() || !m_proposal.runs.contains(from)) {
        return;
    }
    if (!message.loaded) {
        ++m_counters.cancelledLoad;
        giveUp();
        return;
    }
    m_proposal.ready.insert(from);
    if (m_proposal.ready.size() < m_proposal.runs.size() || !isStillAddressed()) {
        return;
    }
    if (m_proposal.isEpoch) {
        m_phase = Phase::Composing;
        compose();
    } else {
        m_phase = Phase::Voting;
        askForVotes();
    }
}

void GroupLeader::on(const VoteList &message, int from)
{
    if (m_phase == Phase::Voting && message.map == m_proposal.map.number()) {
        m_ballot.merge(message);
        settle();
        return;
    }
    const auto found = m_settled.find(message.map);
    if (found != m_settled.end()) {
        tell(from, found->second.list(message.map));
    } else if (m_epochs.current() && message.epoch < m_epochs.current()->number) {
        tell(from, EpochNews{*m_epochs.current()});
    }
}

void GroupLeader::on(const RankStatus &message, int from)
{
    if (message.rank == from) {
        m_heard[from].status = message;
    }
}

void GroupLeader::on(const EpochNews &message, int /*from*/)
{
    // A gate knows it from the stream, so the stream has moved on without this leader.
    auto told = handleEpoch(message.epoch);
    m_actions.insert(m_actions.end(), told.begin(), told.end());
}

template<typename Other>
void GroupLeader::on(const Other & /*message*/, int /*from*/)
{
    // meant for gates, or for the estimator
}

Outcome GroupLeader::start(const std::vector<int> &ranks, std::vector<LayerPlacement> layers, bool isEpoch)
{
    // A new epoch also ends a vote that a dead rank will never finish.
    const bool free = m_phase == Phase::Idle || (isEpoch && m_phase == Phase::Voting);
    if (!free) {
        return Error{.kind = ErrorKind::Overloaded, .detail = "another change of the group is under way"};
    }
    Proposal proposal{.isEpoch = isEpoch};
    for (const int rank : ranks) {
        const auto *status = statusOf(rank);
        if (status == nullptr) {
            return Error{.kind = ErrorKind::NoTarget, .detail = "rank " + std::to_string(rank) + " is unknown"};
        }
        proposal.members.push_back({.rank = rank, .engine = status->engine});
        proposal.runs[rank] = m_heard[rank].run;
    }
    GroupShape shape{.layers = static_cast<int>(layers.size())};
    for (const auto &layer : layers) {
        for (const auto &slot : layer) {
            shape.experts = std::max(shape.experts, slot.expert + 1);
            if (!proposal.runs.contains(slot.rank)) {
                return Error{.kind = ErrorKind::BadRequest, .detail = "the map uses a rank that is not in the group"};
            }
        }
    }
    shape.slots.assign(static_cast<std::size_t>(*std::max_element(ranks.begin(), ranks.end())) + 1, shape.experts);
    auto map = ExpertMap::create(m_nextMap, shape, std::move(layers));
    if (const auto *error = errorIn(map)) {
        return *error;
    }
    proposal.map = std::move(std::get<ExpertMap>(map));
    m_nextMap = static_cast<MapNumber>(toNumber(m_nextMap) + 1);
    m_proposal = std::move(proposal);
    m_ballot = Ballot(presentEpoch());
    m_phase = Phase::Loading;
    return {};
}

/** Whether all gates and engines that the proposal was made for are still the same runs. A proposal is never addressed
 * to a second run of a gate, see LoadMap::addressee. */
bool GroupLeader::isStillAddressed() const
{
    return std::all_of(m_proposal.members.begin(), m_proposal.members.end(), [this](const auto &member) {
        const auto &heard = m_heard.at(member.rank);
        return heard.run == m_proposal.runs.at(member.rank) && heard.status.engine == member.engine;
    });
}

void GroupLeader::giveUp()
{
    for (const int rank : proposalRanks()) {
        tell(rank, CancelMap{.leader = m_fencing, .epoch = presentEpoch(), .map = m_proposal.map.number()});
    }
    // While ranks vote, the outcome is theirs: those who have agreed are waiting for it, and get it through this list.
    if (m_phase != Phase::Voting) {
        m_phase = Phase::Idle;
    }
}

void GroupLeader::load()
{
    for (const auto &[rank, run] : m_proposal.runs) {
        if (!m_proposal.ready.contains(rank)) {
            tell(rank,
                 LoadMap{.leader = m_fencing,
                         .epoch = presentEpoch(),
                         .addressee = run,
                         .startsEpoch = m_proposal.isEpoch,
                         .map = m_proposal.map});
        }
    }
}

void GroupLeader::askForVotes()
{
    for (const int rank : proposalRanks()) {
        if (m_ballot.voteOf(rank) == nullptr) {
            tell(rank, VoteRequest{.leader = m_fencing, .epoch = m_ballot.epoch(), .map = m_proposal.map.number()});
        }
    }
}

void GroupLeader::settle()
{
    const auto outcome = m_ballot.outcome(proposalRanks());
    if (!outcome) {
        return;
    }
    ++(outcome->committed ? m_counters.switchesCommitted : m_counters.switchesAborted);
    for (const int rank : proposalRanks()) {
        tell(rank, m_ballot.list(m_proposal.map.number()));
    }
    m_settled[m_proposal.map.number()] = m_ballot;
    if (m_settled.size() > BallotsKept) {
        m_settled.erase(m_settled.begin());
    }
    m_phase = Phase::Idle;
}

void GroupLeader::compose()
{
    m_appendPending = true;
    m_actions.push_back(AppendEpoch{GroupEpoch{.number = static_cast<EpochNumber>(toNumber(presentEpoch()) + 1),
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

/** The epoch in force by the stream or, when its records have expired, by what the ranks say. */
EpochNumber GroupLeader::presentEpoch() const
{
    EpochNumber epoch = m_epochs.current() ? m_epochs.current()->number : EpochNumber{};
    for (const auto &[rank, heard] : m_heard) {
        epoch = std::max(epoch, heard.status.epoch);
    }
    return epoch;
}

void GroupLeader::tell(int rank, GroupMessage message)
{
    m_actions.push_back(TellRank{rank, std::move(message)});
}

LeaderActions GroupLeader::take()
{
    return std::exchange(m_actions, {});
}

} // namespace Heatherridge
