#pragma once

#include "heatherridge_coordination/groups/votetallyhistory.h"
#include "heatherridge_protocol/engineorder.h"

#include <set>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Action: send a message to the group's current leader. */
struct SendToLeader
{
    GroupMessage message{};
};

/** Action: send a message to the gate of a rank. */
struct SendToRank
{
    int rank = 0;
    GroupMessage message{};
};

/** Action: send an order to the gate's own engine. */
struct OrderEngine
{
    Incarnation run{}; ///< run of this gate's process, checked by the engine
    EngineOrder order{};
};

/** An action that a gate requests from its process. */
using GateAction = std::variant<SendToLeader, SendToRank, OrderEngine>;
using GateActions = std::vector<GateAction>;

/** Event counts of a gate, exported as metrics. */
struct GateCounters
{
    std::uint64_t agreed = 0; ///< votes in favour of a switch
    std::uint64_t refusedNotReady = 0; ///< refusals because this run had not reported ready or had lost the weights
    std::uint64_t refusedFenced = 0; ///< refusals because a newer leader is known
    std::uint64_t refusedUndecided = 0; ///< refusals because another switch was undecided
    std::uint64_t refusedCancelled = 0; ///< refusals because the leader cancelled the switch
    std::uint64_t fencedMessages = 0; ///< messages dropped because their leader has an outdated fencing number
    std::uint64_t committed = 0; ///< switches that took effect
    std::uint64_t aborted = 0; ///< switches that this rank agreed to but that were aborted
    std::uint64_t epochsEntered = 0;
    std::uint64_t undecidedTicks = 0; ///< ticks during which the outcome of an agreed switch was unknown
};

/**
 * Controls the engine of one rank on behalf of the target's process. It is the only sender of orders to the engine,
 * and it votes for the rank.
 *
 * Invariant: in every step, all ranks use the same map. Within an epoch the map changes only by a switch that all ranks
 * have agreed to. A gate agrees only after its engine has confirmed a step (the bound) that it will not start, and the
 * switch takes effect at the latest of all bounds. A rank that does not know the outcome therefore stops before the
 * switch takes effect, and a rank that knows it has the new map scheduled before its limit is lifted.
 *
 * Safety does not depend on message delivery or timing: votes are final and any rank can forward them. Neither the log
 * nor the leader takes part in determining the outcome, so their failure does not delay it. The bound lies `leadSteps`
 * ahead, so that the ranks learn the outcome long before they reach it, even if a gate restarts in the meantime. The
 * engine keeps the limit and the schedule across a restart of the gate, so a restarted gate recovers its vote from
 * there.
 *
 * Epochs, which change the members of the group, are records on the group's stream; see GroupEpochTracker.
 *
 * A state machine without I/O: consumes events and returns actions. Not thread-safe; use from one thread.
 */
class RankGate
{
public:
    /** Steps between a vote and its bound: half a minute at 50 ms per step, longer than a process restart takes.
     * Delaying a switch by half a minute costs little, whereas ranks that reach their bound stop the group. */
    static constexpr std::uint64_t DefaultLeadSteps = 600;

    struct Options
    {
        int rank = 0;
        Incarnation run{}; ///< run of this gate's process
        std::uint64_t leadSteps = DefaultLeadSteps;
        SwitchSafeguards safeguards{};
    };

    /** Creates a gate without any state; the first tick() polls the engine. */
    explicit RankGate(Options options);

    /** Processes a message. @p fromRank is the sender's rank, or -1 for a leader. */
    GateActions handle(const GroupMessage &message, int fromRank);

    /** Processes the engine's reply to an order of this run. */
    GateActions handleEngineState(const EngineState &state);

    /** Whether the engine now executes the orders of another run of the gate. The process must then create a new
     * RankGate with a new run. */
    bool isReplaced() const;

    /** Processes an epoch read from the group's stream. */
    GateActions handleEpoch(const GroupEpoch &epoch);

    /** Called when a leader has claimed leadership with @p fencing. */
    void handleClaim(FencingNumber fencing);

    /** Resends messages and orders that have had no effect yet. Call about once per second. */
    GateActions tick();

    /** Returns the last reported state of the engine, if any; shown by status pages and metrics. */
    const std::optional<EngineState> &engineState() const;

    /** Returns the event counts since construction. */
    const GateCounters &counters() const;

private:
    void handleMessage(const LoadMap &message, int fromRank);
    void handleMessage(const VoteRequest &message, int fromRank);
    void handleMessage(const CancelMap &message, int fromRank);
    void handleMessage(const VoteList &message, int fromRank);
    void handleMessage(const EpochAnnouncement &message, int fromRank);
    void handleMessage(const StatusRequest &message, int fromRank);

    template<typename Other>
    void handleMessage(const Other &message, int fromRank);

    bool checkFencing(FencingNumber leader);
    bool rejectOtherEpoch(EpochNumber epoch, int fromRank);
    void voteOn(MapNumber map);
    bool checkVotable(MapNumber map);
    void reloadVotedWeights();
    void sendLimitOrder(MapNumber map);
    StepNumber nextBound() const;
    void recordVote(MapNumber map, const Vote &vote);
    void refuse(MapNumber map, std::uint64_t &counter);
    void adoptLimitAsVote();
    void applyOutcome();
    void recordCommittedSwitches();
    void synchronizeEpoch();
    void reportLoadStatus();
    VoteTally &tallyFor(MapNumber map);
    RankStatus status() const;
    int nextPeer();
    void reply(int toRank, GroupMessage message);
    void sendOrder(EngineOrder order);
    GateActions takePendingActions();

    Options m_options;
    GroupEpochTracker m_epochs;
    std::optional<EngineState> m_engineState;
    std::optional<ExpertMap> m_requestedMap; ///< the map that the leader has requested to load
    std::set<MapNumber> m_readyMaps; ///< maps that this run has reported ready and not refused since
    VoteTallyHistory m_tallies;
    bool m_replaced = false;
    MapNumber m_pendingVote{}; ///< map whose limit is ordered but not confirmed; 0 for none
    std::optional<ExpertMap> m_pendingVoteMap; ///< the map of `m_pendingVote`, kept to reload its weights
    FencingNumber m_fencing{};
    std::size_t m_nextPeerIndex = 0;
    std::set<std::pair<std::size_t, MapNumber>> m_sentOrders; ///< sent since the last tick: order type and map
    GateCounters m_counters;
    GateActions m_actions;
};

} // namespace Heatherridge
