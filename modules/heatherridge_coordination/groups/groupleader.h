#pragma once

#include "heatherridge_coordination/groups/votetally.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Action: append an epoch record to the group's stream on the log. */
struct AppendEpoch
{
    GroupEpoch epoch{};
};

/** Action: send a message to the gate of a rank. */
struct SendToGate
{
    int rank = 0;
    GroupMessage message{};
};

/** An action that a leader requests from its process. */
using LeaderAction = std::variant<SendToGate, AppendEpoch>;
using LeaderActions = std::vector<LeaderAction>;

/** Event counts of a leader, exported as metrics. */
struct LeaderCounters
{
    std::uint64_t switchesCommitted = 0;
    std::uint64_t switchesAborted = 0; ///< switches refused by a rank
    std::uint64_t cancelledRestart = 0; ///< proposals abandoned because a gate or an engine restarted
    std::uint64_t cancelledLoad = 0; ///< proposals abandoned because a rank could not load the weights
    std::uint64_t cancelledByCaller = 0;
    std::uint64_t epochsComposed = 0; ///< epochs of this leader that took effect on the stream
    std::uint64_t epochsSuperseded = 0; ///< epochs of this leader that lost against another leader's epoch
    std::uint64_t appendsRepeated = 0; ///< failed appends, whose outcome is unknown
};

/**
 * Coordinates the map changes of one group: requests loading, collects votes and appends epochs.
 *
 * Leadership is claimed by a record on the group's stream; the record's offset is the fencing number. Safety does not
 * depend on the leader: if it dies, the gates determine the outcome of their votes among themselves, and two concurrent
 * leaders can only make each other's proposals fail. RankGate explains why.
 *
 * A state machine without I/O. Not thread-safe; use from one thread.
 */
class GroupLeader
{
public:
    /** The current activity of the leader. */
    enum class Phase {
        Idle,
        Loading, ///< ranks load the proposed map; no rank is committed to it yet
        Voting, ///< ranks vote on the proposed switch
        AppendingEpoch, ///< an epoch record is being appended to the log
    };

    /** Creates a leader with fencing number @p fencing. @p ranks are all ranks in the inventory. */
    GroupLeader(FencingNumber fencing, std::vector<int> ranks);

    /** Processes a message from the gate of @p fromRank, whose process run is @p run. */
    LeaderActions handle(const GroupMessage &message, int fromRank, Incarnation run);

    /** Processes an epoch read from the group's stream. */
    LeaderActions handleEpoch(const GroupEpoch &epoch);

    /** Called when an append has completed. A failed append may still have taken effect and is repeated. */
    void handleAppendResult(bool succeeded);

    /**
     * Proposes a switch of the current epoch to placement @p layers.
     * @returns an error of kind Overloaded while another change is in progress, or NoTarget if a rank of the epoch has
     * not reported a status in this epoch
     */
    Outcome proposeSwitch(std::vector<LayerPlacement> layers);

    /**
     * Proposes a new epoch with members @p ranks and placement @p layers, to add or remove ranks or to readmit
     * restarted engines.
     * @returns the errors of proposeSwitch(), BadRequest if no rank is a member of both epochs, or PlatformUnavailable
     * before setCaughtUp()
     */
    Outcome proposeEpoch(std::vector<int> ranks, std::vector<LayerPlacement> layers);

    /** Cancels the proposal in progress unless its outcome is already decided. */
    LeaderActions cancel();

    /** Resends messages that have had no effect yet. Call about once per second. */
    LeaderActions tick();

    /** Returns the current phase. */
    Phase phase() const;

    /** Returns the epoch in force according to the part of the stream read so far. */
    const std::optional<GroupEpoch> &epoch() const;

    /** Called when the stream has been read to its end. Before that, no epoch is proposed. */
    void setCaughtUp();

    /** Returns the latest status from the gate of @p rank, or nullptr if there is none. This object keeps ownership. */
    const RankStatus *statusOf(int rank) const;

    /** Whether all ranks of the epoch report that they have entered it; the group then serves as one replica. */
    bool hasAllMembers() const;

    /** Returns the event counts since construction. */
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
        std::map<int, Incarnation> gateRuns{}; ///< by rank: the runs of the gates that it is addressed to
        std::set<int> readyRanks{};
        bool startsNewEpoch = false;
    };

    void handleMessage(const MapReady &message, int fromRank);
    void handleMessage(const VoteList &message, int fromRank);
    void handleMessage(const RankStatus &message, int fromRank);
    void handleMessage(const EpochAnnouncement &message, int fromRank);
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
    std::map<MapNumber, VoteTally> m_decidedTallies; ///< answers gates that have not learned the outcome
    bool m_appendPending = false;
    bool m_caughtUp = false;
    LeaderCounters m_counters;
    LeaderActions m_actions;
};

} // namespace Heatherridge
