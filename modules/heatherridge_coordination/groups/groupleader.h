#pragma once

#include "heatherridge_coordination/groups/votetally.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** A record for the group's stream on the log. */
struct AppendEpoch
{
    GroupEpoch epoch{};
};

/** A message for the gate of a rank. */
struct SendToGate
{
    int rank = 0;
    GroupMessage message{};
};

/** What a leader asks its process to do. */
using LeaderAction = std::variant<SendToGate, AppendEpoch>;
using LeaderActions = std::vector<LeaderAction>;

/** What happened at a leader, for the metrics. */
struct LeaderCounters
{
    std::uint64_t switchesCommitted = 0;
    std::uint64_t switchesAborted = 0; ///< refused by a rank
    std::uint64_t cancelledRestart = 0; ///< given up since a gate or an engine restarted
    std::uint64_t cancelledLoad = 0; ///< given up since a rank could not load
    std::uint64_t cancelledByCaller = 0;
    std::uint64_t epochsComposed = 0; ///< epochs of this leader that the stream took
    std::uint64_t epochsSuperseded = 0; ///< epochs of this leader that another's preceded
    std::uint64_t appendsRepeated = 0; ///< appends whose outcome was not known
};

/**
 * Drives the switches of one group: loads, asks for votes, composes epochs.
 *
 * A role, claimed by a record on the control stream; the record's offset is the fencing number. Nothing here is needed
 * for safety: a leader that died leaves gates that settle their votes among themselves, and two leaders at once can
 * only make each other's proposals fail. See RankGate for why.
 *
 * A state machine without I/O. One thread.
 */
class GroupLeader
{
public:
    /** What the leader is doing. */
    enum class Phase {
        Idle,
        Loading, ///< ranks load the proposed map; nobody has promised anything
        Voting, ///< ranks vote on a switch
        AppendingEpoch, ///< an epoch's record is on its way to the log
    };

    /** Leads with @p fencing; @p ranks are all that the inventory lists. */
    GroupLeader(FencingNumber fencing, std::vector<int> ranks);

    /** Takes a message from the gate of @p fromRank whose process run is @p run. */
    LeaderActions handle(const GroupMessage &message, int fromRank, Incarnation run);

    /** Takes an epoch from the group's stream. */
    LeaderActions handleEpoch(const GroupEpoch &epoch);

    /** Takes the outcome of an append; on failure it may have taken effect all the same and is repeated. */
    void handleAppendResult(bool succeeded);

    /**
     * Starts a switch of the present epoch to @p layers.
     * @returns an error of kind Overloaded while something else is under way, NoTarget when a rank of the epoch has not
     * been heard of in this epoch
     */
    Outcome proposeSwitch(std::vector<LayerPlacement> layers);

    /**
     * Starts a new epoch of @p ranks on @p layers, to take ranks in or out or to take up restarted engines.
     * @returns errors as proposeSwitch(), and BadRequest when no rank is in both epochs
     */
    Outcome proposeEpoch(std::vector<int> ranks, std::vector<LayerPlacement> layers);

    /** Gives up what is under way, as far as it is not decided. */
    LeaderActions cancel();

    /** Repeats what has had no effect yet; to be called about once a second. */
    LeaderActions tick();

    /** What it is doing. */
    Phase phase() const;

    /** The epoch in force, as far as the stream has been read. */
    const std::optional<GroupEpoch> &epoch() const;

    /** Takes the stream as read to its end; before that, no epoch is composed. */
    void setCaughtUp();

    /** The latest word of the gate of @p rank, or nullptr. This object keeps ownership. */
    const RankStatus *statusOf(int rank) const;

    /** Whether all ranks of the epoch say that they are in it: then the group serves, as one replica. */
    bool hasAllMembers() const;

    /** What happened so far. */
    const LeaderCounters &counters() const;

private:
    struct KnownGate
    {
        Incarnation run{};
        RankStatus status{};
    };

    struct Proposal
    {
        ExpertMap map{};
        std::vector<EpochMember> members{};
        std::map<int, Incarnation> gateRuns{}; ///< of the gates it is addressed to
        std::set<int> readyRanks{};
        bool startsNewEpoch = false;
    };

    void handleMessage(const MapReady &message, int fromRank);
    void handleMessage(const VoteList &message, int fromRank);
    void handleMessage(const RankStatus &message, int fromRank);
    void handleMessage(const EpochNews &message, int fromRank);
    template<typename Other>
    void handleMessage(const Other &message, int fromRank);

    Outcome startProposal(const std::vector<int> &ranks, std::vector<LayerPlacement> layers, bool startsNewEpoch);
    bool isProposalCurrent() const;
    void abandonProposal();
    void sendLoadRequests();
    void requestVotes();
    void applyVoteOutcome();
    void appendEpoch();
    std::vector<int> proposalRanks() const;
    EpochNumber currentEpoch() const;
    void sendToGate(int rank, GroupMessage message);
    LeaderActions takePendingActions();

    FencingNumber m_fencing;
    std::vector<int> m_ranks;
    MapNumber m_nextMapNumber;
    GroupEpochTracker m_epochs;
    std::map<int, KnownGate> m_knownGates;
    Phase m_phase = Phase::Idle;
    Proposal m_proposal;
    VoteTally m_tally;
    std::map<MapNumber, VoteTally> m_decidedTallies; ///< to answer gates that still ask
    bool m_appendPending = false;
    bool m_caughtUp = false;
    LeaderCounters m_counters;
    LeaderActions m_actions;
};

} // namespace Heatherridge
