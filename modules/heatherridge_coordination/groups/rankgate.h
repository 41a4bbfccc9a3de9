#pragma once

#include "heatherridge_coordination/groups/votetallyhistory.h"
#include "heatherridge_protocol/engineorder.h"

#include <set>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** A message for whoever leads the group. */
struct SendToLeader
{
    GroupMessage message{};
};

/** A message for the gate of a rank. */
struct SendToRank
{
    int rank = 0;
    GroupMessage message{};
};

/** An order for the gate's own engine. */
struct OrderEngine
{
    Incarnation run{}; ///< of this gate's process; for the engine to check
    EngineOrder order{};
};

/** What a gate asks its process to do. */
using GateAction = std::variant<SendToLeader, SendToRank, OrderEngine>;
using GateActions = std::vector<GateAction>;

/** What happened at a gate, for the metrics. */
struct GateCounters
{
    std::uint64_t agreed = 0; ///< votes for a switch
    std::uint64_t refusedNotReady = 0; ///< refusals because this run had not said ready, or had the weights no more
    std::uint64_t refusedFenced = 0; ///< refusals because a later leader is known
    std::uint64_t refusedUndecided = 0; ///< refusals because another switch was undecided
    std::uint64_t refusedCancelled = 0; ///< refusals because the leader gave the switch up
    std::uint64_t fencedMessages = 0; ///< orders of a leader with an old fencing number, dropped
    std::uint64_t committed = 0; ///< switches that took effect
    std::uint64_t aborted = 0; ///< switches agreed to that came to nothing
    std::uint64_t epochsEntered = 0;
    std::uint64_t undecidedTicks = 0; ///< ticks with a switch agreed to whose outcome was not known
};

/**
 * The target's process in front of one rank's engine: it alone gives the engine orders, and it votes for the rank.
 *
 * Why in every step all ranks use one map. Within an epoch the map changes only by a switch that all ranks agreed to.
 * A gate agrees only once its engine has confirmed a step (the bound) that it will not start; the switch takes effect
 * at the latest of all bounds. So a rank that doesn't know the outcome stands still before the switch takes effect,
 * and one that knows has the new map on its schedule before its limit is lifted. Nothing depends on a message arriving
 * or on a time: the votes are facts that any rank can pass on. No log and no leader takes part in the outcome, so
 * neither's failure holds it up. The bound lies `leadSteps` ahead, so that the ranks know the outcome long before they
 * get there, even when a gate restarts meanwhile. The engine keeps the limit and the schedule over a restart of the
 * gate, so a restarted gate finds its vote there.
 *
 * Epochs, which change who belongs to the group, are records on the group's stream; see GroupEpochTracker.
 *
 * A state machine without I/O: events in, actions out. One thread.
 */
class RankGate
{
public:
    /** Steps between a vote and its bound: half a minute at 50 ms a step, longer than a process takes to be restarted.
     * A switch that takes effect half a minute later costs little; one that is waited for stops the group. */
    static constexpr std::uint64_t DefaultLeadSteps = 600;

    struct Options
    {
        int rank = 0;
        Incarnation run{}; ///< of this gate's process
        std::uint64_t leadSteps = DefaultLeadSteps;
        SwitchSafeguards safeguards{};
    };

    /** A gate that knows nothing yet; the first tick() polls the engine. */
    explicit RankGate(Options options);

    /** Takes a message; @p fromRank is the sender's rank, or -1 for a leader. */
    GateActions handle(const GroupMessage &message, int fromRank);

    /** Takes the engine's reply to an order of this run. */
    GateActions handleEngineState(const EngineState &state);

    /** Whether the engine follows another run of the gate, so that its process must make a new RankGate of a new run.
     */
    bool isReplaced() const;

    /** Takes an epoch that the group's stream holds. */
    GateActions handleEpoch(const GroupEpoch &epoch);

    /** Takes notice of a claim of the leader's role. */
    void handleClaim(FencingNumber fencing);

    /** Repeats what has had no effect yet; to be called about once a second. */
    GateActions tick();

    /** The map of the next step, if the engine has said; what callers and metrics are shown. */
    const std::optional<EngineState> &engineState() const;

    /** What happened so far. */
    const GateCounters &counters() const;

private:
    void handleMessage(const LoadMap &message, int fromRank);
    void handleMessage(const VoteRequest &message, int fromRank);
    void handleMessage(const CancelMap &message, int fromRank);
    void handleMessage(const VoteList &message, int fromRank);
    void handleMessage(const EpochNews &message, int fromRank);
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
    std::optional<ExpertMap> m_requestedMap; ///< asked for by the leader
    std::set<MapNumber> m_readyMaps; ///< told ready by this run and not refused since
    VoteTallyHistory m_tallies;
    bool m_replaced = false;
    MapNumber m_pendingVote{}; ///< the limit for it is ordered but not confirmed; 0 for none
    std::optional<ExpertMap> m_pendingVoteMap; ///< the map of `m_pendingVote`, to load it again
    FencingNumber m_fencing{};
    std::size_t m_nextPeerIndex = 0;
    std::set<std::pair<std::size_t, MapNumber>> m_sentOrders; ///< since the last tick: kind of order and map
    GateCounters m_counters;
    GateActions m_actions;
};

} // namespace Heatherridge
