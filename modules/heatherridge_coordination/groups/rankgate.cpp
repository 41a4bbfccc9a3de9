#include "heatherridge_coordination/groups/rankgate.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr MapNumber NoMap{};

bool contains(const std::vector<MapNumber> &maps, MapNumber map)
{
    return std::find(maps.begin(), maps.end(), map) != maps.end();
}

} // namespace

RankGate::RankGate(Options options)
    : m_options(options)
    , m_tallies(options.safeguards)
{
}

GateActions RankGate::handle(const GroupMessage &message, int fromRank)
{
    std::visit([this, fromRank](const auto &typed) { handleMessage(typed, fromRank); }, message);
    return takePendingActions();
}

GateActions RankGate::handleEngineState(const EngineState &state)
{
    if (state.gateRun != Incarnation{} && state.gateRun != m_options.run) {
        m_replaced = true;
        return {};
    }
    if (m_engineState && m_engineState->run != state.run) {
        // A restarted engine has lost its confirmed limit and is no longer a member of the epoch.
        m_pendingVote = NoMap;
        m_readyMaps.clear();
    }
    if (m_engineState && m_engineState->epoch != state.epoch) {
        m_tallies = VoteTallyHistory(m_options.safeguards);
        m_pendingVote = NoMap;
        m_counters.epochsEntered += state.ranks.empty() ? 0 : 1;
    }
    m_engineState = state;
    adoptLimitAsVote();
    recordCommittedSwitches();
    if (m_requestedMap && !m_readyMaps.contains(m_requestedMap->number())) {
        reportLoadStatus();
    }
    applyOutcome();
    synchronizeEpoch();
    return takePendingActions();
}

bool RankGate::isReplaced() const
{
    return m_replaced;
}

GateActions RankGate::handleEpoch(const GroupEpoch &epoch)
{
    if (!m_options.safeguards.firstEpochWins && m_epochs.current() && m_epochs.current()->number == epoch.number) {
        m_epochs = GroupEpochTracker();
    }
    if (m_epochs.apply(epoch)) {
        synchronizeEpoch();
    }
    return takePendingActions();
}

void RankGate::handleClaim(FencingNumber fencing)
{
    m_fencing = std::max(m_fencing, fencing);
}

GateActions RankGate::tick()
{
    m_sentOrders.clear();
    sendOrder(PollEngine{});
    if (!m_engineState) {
        return takePendingActions();
    }
    m_actions.push_back(SendToLeader{status()});
    if (m_pendingVote != NoMap) {
        reloadVotedWeights();
        sendLimitOrder(m_pendingVote);
    }
    if (m_engineState->limit) {
        ++m_counters.undecidedTicks;
        const auto map = m_engineState->limit->map;
        const auto list = tallyFor(map).toVoteList(map);
        m_actions.push_back(SendToLeader{list});
        m_actions.push_back(SendToRank{nextPeer(), list});
    }
    applyOutcome();
    synchronizeEpoch();
    const auto &epoch = m_epochs.current();
    if (epoch && epoch->number == m_engineState->epoch && m_engineState->next == StepNumber{}) {
        // Other ranks may not know the epoch yet, and the first step waits for all of them.
        m_actions.push_back(SendToRank{nextPeer(), EpochAnnouncement{*epoch}});
    }
    return takePendingActions();
}

const std::optional<EngineState> &RankGate::engineState() const
{
    return m_engineState;
}

const GateCounters &RankGate::counters() const
{
    return m_counters;
}

void RankGate::handleMessage(const LoadMap &message, int fromRank)
{
    const bool isForThisRun = message.addressee == m_options.run || !m_options.safeguards.sameRunVotes;
    if (!checkFencing(message.leader) || !isForThisRun || !m_engineState) {
        return;
    }
    const auto &epoch = m_epochs.current();
    if (epoch && epoch->number > message.epoch) {
        reply(fromRank, EpochAnnouncement{*epoch});
        return;
    }
    const auto number = message.map.number();
    const bool hasOtherPending = status().pending != NoMap && status().pending != number;
    const auto *ownVote = tallyFor(number).voteOf(m_options.rank);
    const bool refused = ownVote != nullptr && !ownVote->agreed;
    if (refused || (hasOtherPending && !message.startsEpoch)) {
        // There is memory for one map besides the one in use. A new epoch ends every undecided switch of this one.
        reply(fromRank, MapReady{.rank = m_options.rank, .map = number, .loaded = false});
        return;
    }
    if (m_requestedMap && m_requestedMap->number() != number && m_requestedMap->number() != status().pending) {
        sendOrder(DropWeights{m_requestedMap->number()});
        m_readyMaps.erase(m_requestedMap->number());
    }
    m_requestedMap = message.map;
    reportLoadStatus();
    if (!contains(m_engineState->loaded, number)) {
        sendOrder(LoadWeights{message.map});
    }
}

void RankGate::handleMessage(const VoteRequest &message, int fromRank)
{
    if (!checkFencing(message.leader) || !m_engineState || rejectOtherEpoch(message.epoch, fromRank)) {
        return;
    }
    voteOn(message.map);
    if (tallyFor(message.map).voteOf(m_options.rank) != nullptr) {
        reply(fromRank, tallyFor(message.map).toVoteList(message.map));
    }
}

void RankGate::handleMessage(const CancelMap &message, int fromRank)
{
    if (!checkFencing(message.leader) || !m_engineState || rejectOtherEpoch(message.epoch, fromRank)) {
        return;
    }
    adoptLimitAsVote();
    recordCommittedSwitches();
    const bool isDecided = tallyFor(message.map).outcome(m_engineState->ranks).has_value();
    if (m_pendingVote != message.map && !isDecided && tallyFor(message.map).voteOf(m_options.rank) == nullptr) {
        refuse(message.map, m_counters.refusedCancelled);
    }
    reply(fromRank, tallyFor(message.map).toVoteList(message.map));
}

void RankGate::handleMessage(const VoteList &message, int fromRank)
{
    if (!m_engineState || rejectOtherEpoch(message.epoch, fromRank)) {
        return;
    }
    auto &tally = tallyFor(message.map);
    tally.merge(message);
    voteOn(message.map);
    applyOutcome();
    VoteTally senderTally(message.epoch, m_options.safeguards);
    senderTally.merge(message);
    const bool senderKnowsOutcome = senderTally.outcome(m_engineState->ranks).has_value();
    const auto ownList = tallyFor(message.map).toVoteList(message.map);
    if (!senderKnowsOutcome && ownList.votes.size() + (ownList.committedAt ? 1 : 0) > message.votes.size()) {
        reply(fromRank, ownList);
    }
}

void RankGate::handleMessage(const EpochAnnouncement &message, int /*fromRank*/)
{
    if (!m_options.safeguards.firstEpochWins && m_epochs.current()
        && m_epochs.current()->number == message.epoch.number) {
        m_epochs = GroupEpochTracker();
    }
    if (m_epochs.apply(message.epoch)) {
        synchronizeEpoch();
    }
}

void RankGate::handleMessage(const StatusRequest &message, int fromRank)
{
    if (checkFencing(message.leader) && m_engineState) {
        reply(fromRank, status());
    }
}

template<typename Other>
void RankGate::handleMessage(const Other & /*message*/, int /*fromRank*/)
{
    // addressed to the leader
}

/** Returns whether @p leader is current, and records its number. A replaced leader is rejected and counted in
 * fencedMessages: it may have been paused and not know that it was replaced. */
bool RankGate::checkFencing(FencingNumber leader)
{
    if (leader < m_fencing) {
        ++m_counters.fencedMessages;
        return false;
    }
    m_fencing = leader;
    return true;
}

/** Returns whether a message refers to another epoch than the engine's. A sender with an older epoch gets the current
 * one. */
bool RankGate::rejectOtherEpoch(EpochNumber epoch, int fromRank)
{
    if (epoch == m_engineState->epoch) {
        return false;
    }
    if (m_epochs.current() && m_epochs.current()->number > epoch) {
        reply(fromRank, EpochAnnouncement{*m_epochs.current()});
    }
    return true;
}

/** Votes on @p map unless this rank has already voted or its engine shows that the switch is decided. */
void RankGate::voteOn(MapNumber map)
{
    adoptLimitAsVote();
    recordCommittedSwitches();
    auto &tally = tallyFor(map);
    if (tally.voteOf(m_options.rank) != nullptr || m_pendingVote == map || tally.outcome(m_engineState->ranks)) {
        return;
    }
    if (!checkVotable(map) || m_engineState->scheduled) {
        // The scheduled map must take effect first, since the next bound must lie after it. The leader repeats its
        // request.
        return;
    }
    if (!m_options.safeguards.limitBeforeVote) {
        recordVote(map, {.rank = m_options.rank, .agreed = true, .bound = nextBound()});
    }
    m_pendingVote = map;
    m_pendingVoteMap = m_requestedMap;
    sendLimitOrder(map);
}

/** Reloads the weights of the pending vote's map. An order to drop them may have been in flight when this rank voted,
 * and the engine never accepts a limit for weights that are not loaded. */
void RankGate::reloadVotedWeights()
{
    if (!contains(m_engineState->loaded, m_pendingVote) && m_pendingVoteMap
        && m_pendingVoteMap->number() == m_pendingVote) {
        sendOrder(LoadWeights{*m_pendingVoteMap});
    }
}

/** Returns whether this rank can agree to @p map now; otherwise refuses it. */
bool RankGate::checkVotable(MapNumber map)
{
    if (!m_readyMaps.contains(map) || !contains(m_engineState->loaded, map)) {
        // This also applies if an earlier run of this gate had reported ready: it may have refused since, and a vote is
        // final.
        refuse(map, m_counters.refusedNotReady);
        return false;
    }
    if (leaderOf(map) < m_fencing || map < m_engineState->map) {
        // Map numbers only increase within an epoch, so that an engine can recognise a delayed order.
        refuse(map, m_counters.refusedFenced);
        return false;
    }
    const bool isUndecided = m_engineState->limit.has_value() || m_pendingVote != NoMap;
    if (isUndecided && m_options.safeguards.oneAtATime) {
        refuse(map, m_counters.refusedUndecided);
        return false;
    }
    return true;
}

void RankGate::sendLimitOrder(MapNumber map)
{
    sendOrder(LimitSteps{.epoch = m_engineState->epoch, .map = map, .bound = nextBound()});
}

StepNumber RankGate::nextBound() const
{
    return static_cast<StepNumber>(toNumber(m_engineState->next) + m_options.leadSteps);
}

void RankGate::recordVote(MapNumber map, const Vote &vote)
{
    tallyFor(map).add(vote);
    m_counters.agreed += vote.agreed ? 1 : 0;
    m_actions.push_back(SendToLeader{tallyFor(map).toVoteList(map)});
}

void RankGate::refuse(MapNumber map, std::uint64_t &counter)
{
    ++counter;
    m_readyMaps.erase(map);
    recordVote(map, {.rank = m_options.rank, .agreed = false});
    if (m_requestedMap && m_requestedMap->number() == map) {
        sendOrder(DropWeights{map});
        m_requestedMap.reset();
    }
}

/** Records the engine's limit as this rank's vote: either this run's, which has just been confirmed, or an earlier
 * run's, which may already have been sent to others. */
void RankGate::adoptLimitAsVote()
{
    if (!m_engineState->limit) {
        return;
    }
    const auto limit = *m_engineState->limit;
    if (m_pendingVote == limit.map) {
        m_pendingVote = NoMap;
    } else if (!m_options.safeguards.keepLimitAfterRestart && !m_readyMaps.contains(limit.map)) {
        sendOrder(LiftLimit{limit.map});
        m_engineState->limit.reset();
        return;
    }
    if (tallyFor(limit.map).voteOf(m_options.rank) == nullptr) {
        recordVote(limit.map, {.rank = m_options.rank, .agreed = true, .bound = limit.bound});
    }
}

/** Applies the outcome of the switch that the engine's limit belongs to, once the outcome is known. */
void RankGate::applyOutcome()
{
    if (!m_engineState) {
        return;
    }
    if (m_pendingVote != NoMap && tallyFor(m_pendingVote).outcome(m_engineState->ranks)) {
        m_pendingVote = NoMap; // already decided without this rank's vote
    }
    if (!m_engineState->limit) {
        return;
    }
    const auto map = m_engineState->limit->map;
    const auto outcome = tallyFor(map).outcome(m_engineState->ranks);
    if (!outcome) {
        return;
    }
    if (outcome->committed) {
        sendOrder(ScheduleMap{.epoch = m_engineState->epoch, .map = map, .from = outcome->effectiveFrom});
    } else {
        sendOrder(LiftLimit{map});
        sendOrder(DropWeights{map});
        m_counters.aborted += m_readyMaps.erase(map);
        m_requestedMap.reset();
    }
}

/** Records the switches to the engine's scheduled map and its map in use as committed, as proof for peers that have not
 * learned the outcome. */
void RankGate::recordCommittedSwitches()
{
    const auto recordCommitted = [this](MapNumber map, StepNumber effectiveFrom) {
        auto &tally = tallyFor(map);
        if (m_readyMaps.erase(map) > 0) {
            ++m_counters.committed;
        }
        if (m_requestedMap && m_requestedMap->number() == map) {
            m_requestedMap.reset();
        }
        tally.setCommitted(effectiveFrom);
    };
    if (m_engineState->scheduled) {
        recordCommitted(m_engineState->scheduled->map, m_engineState->scheduled->from);
    }
    if (m_engineState->mapSince != StepNumber{}) {
        recordCommitted(m_engineState->map, m_engineState->mapSince);
    }
}

/** Enters the current epoch if this rank's engine is a member of it; otherwise leaves the previous one. */
void RankGate::synchronizeEpoch()
{
    const auto &epoch = m_epochs.current();
    if (!epoch || !m_engineState) {
        return;
    }
    const auto *member = epoch->find(m_options.rank);
    const bool isMember =
        member != nullptr && (member->incarnation == m_engineState->run || !m_options.safeguards.namedEngineOnly);
    if (m_engineState->epoch >= epoch->number) {
        return;
    }
    if (!isMember) {
        // Only a member of the previous epoch has to leave it. The members of the new epoch cannot step until it has
        // left.
        if (m_engineState->epoch != EpochNumber{}) {
            sendOrder(LeaveEpoch{epoch->number});
        }
        return;
    }
    if (contains(m_engineState->loaded, epoch->map.number())) {
        sendOrder(EnterEpoch{*epoch});
    } else {
        sendOrder(LoadWeights{epoch->map});
    }
}

/** Reports to the leader whether the requested map is loaded or has failed to load. */
void RankGate::reportLoadStatus()
{
    if (!m_requestedMap) {
        return;
    }
    const auto map = m_requestedMap->number();
    if (contains(m_engineState->loaded, map)) {
        m_readyMaps.insert(map);
        m_actions.push_back(SendToLeader{MapReady{.rank = m_options.rank, .map = map, .loaded = true}});
    } else if (m_engineState->failed == map) {
        m_actions.push_back(SendToLeader{MapReady{.rank = m_options.rank, .map = map, .loaded = false}});
    }
}

VoteTally &RankGate::tallyFor(MapNumber map)
{
    return m_tallies.tallyFor(map, m_engineState->epoch, status().pending);
}

RankStatus RankGate::status() const
{
    MapNumber pending = m_pendingVote;
    if (m_engineState->limit) {
        pending = m_engineState->limit->map;
    } else if (m_engineState->scheduled) {
        pending = m_engineState->scheduled->map;
    }
    return {.rank = m_options.rank,
            .engine = m_engineState->run,
            .epoch = m_engineState->epoch,
            .map = m_engineState->map,
            .step = m_engineState->next,
            .pending = pending};
}

/** Returns the next other rank of the epoch in round-robin order, or this rank if there is no other. */
int RankGate::nextPeer()
{
    const auto &ranks = m_engineState->ranks;
    for (std::size_t tries = 0; tries < ranks.size(); ++tries) {
        const int rank = ranks[m_nextPeerIndex++ % ranks.size()];
        if (rank != m_options.rank) {
            return rank;
        }
    }
    return m_options.rank;
}

void RankGate::reply(int toRank, GroupMessage message)
{
    if (toRank < 0) {
        m_actions.push_back(SendToLeader{std::move(message)});
    } else {
        m_actions.push_back(SendToRank{toRank, std::move(message)});
    }
}

void RankGate::sendOrder(EngineOrder order)
{
    // At most once per tick: an order that the engine cannot execute yet would otherwise be answered and resent in a
    // tight loop.
    if (!m_sentOrders.insert({order.index(), mapOf(order)}).second) {
        return;
    }
    m_actions.push_back(OrderEngine{.run = m_options.run, .order = std::move(order)});
}

GateActions RankGate::takePendingActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Heatherridge
