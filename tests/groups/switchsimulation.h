#pragma once

#include "heatherridge_coordination/groups/groupleader.h"
#include "heatherridge_coordination/groups/lockstepengine.h"
#include "heatherridge_coordination/groups/rankgate.h"
#include "heatherridge_state/base/randomsource.h"

#include <deque>
#include <memory>
#include <string>

namespace Heatherridge
{

/**
 * Simulates a group under a random schedule: messages are lost, delayed, duplicated and reordered; gates, engines and
 * leaders crash, pause (are not scheduled) and are replaced; the log becomes unavailable. Checks at each start of a
 * step that all ranks that ever start this step of this epoch use the same map.
 */
class SwitchSimulation
{
public:
    /** How engines handle orders sent by a dead run of their gate. */
    enum class StaleOrders {
        Rejected, ///< they arrive at any time and are rejected
        InOrder, ///< they arrive before any order of the next run and are executed
        Executed, ///< they arrive at any time and are executed: unsafe
    };

    struct Options
    {
        int ranks = 3;
        std::uint64_t seed = 1;
        SwitchSafeguards safeguards{};
        int duplicatePercent = 5; ///< percentage of messages delivered twice, possibly much later
        int leaderChangesPerMille = 1; ///< leader changes per 1000 actions
        int epochPercent = 5; ///< percentage of proposals for a new epoch while all members have entered theirs
        StaleOrders staleOrders = StaleOrders::Rejected;
        bool engineFaults = true; ///< whether engines crash; if not, a log outage alone must stall no rank
    };

    explicit SwitchSimulation(const Options &options);

    /** Runs @p actions random actions, stopping at the first violation. */
    void run(int actions);

    /** Stops injecting faults, delivers all messages and lets a new leader restore the group. Returns whether all
     * members entered the epoch, no switch remained undecided and all ranks keep stepping. */
    bool recover();

    /** After recover(): returns whether a switch commits on all ranks without any record on the log. */
    bool switchWithoutLog();

    /** Returns a description of the first violation, or an empty string. */
    const std::string &violation() const
    {
        return m_violation;
    }

    /** Returns how many switches took effect on an engine. */
    int switchCount() const
    {
        return m_switchCount;
    }

    void setLogOutage(bool out)
    {
        m_isLogOut = out;
    }

    StepNumber minStep() const;

private:
    struct Packet
    {
        int toRank = -1; ///< -1 if addressed to a leader
        int toLeader = -1;
        int fromRank = -1;
        Incarnation fromRun{};
        GroupMessage message{};
    };

    struct PendingAppend
    {
        int leaderIndex = 0;
        FencingNumber leader{};
        GroupEpoch epoch{};
    };

    struct Engine
    {
        LockStepEngine engine{};
        std::deque<OrderEngine> orders{}; ///< sent but not yet executed; survive a restart of the gate
    };

    struct Gate
    {
        std::unique_ptr<RankGate> gate{};
        Incarnation run{};
        std::size_t recordsRead = 0;
    };

    struct Leader
    {
        FencingNumber fencing{};
        std::unique_ptr<GroupLeader> leader{};
        std::size_t recordsRead = 0;
    };

    bool randomChance(int percent);
    int randomIndex(std::size_t count);
    Incarnation nextRun();
    void runRandomAction();
    void runLeaderAction(int leaderIndex);
    void deliver(std::size_t index);
    void deliverDuplicate();
    void completeAppend();
    void performActions(int rank, GateActions actions);
    void performActions(int leaderIndex, LeaderActions actions);
    void executeOrder(int rank, bool reliable);
    void startStepOf(int rank);
    void readLog(Gate &gate, int rank);
    void readLog(Leader &leader, int leaderIndex);
    void restartGate(int rank);
    void replaceLeader(int leaderIndex);
    void proposeRandomChange(GroupLeader &leader);
    std::vector<LayerPlacement> randomLayers(const std::vector<int> &ranks);
    void runReliableRound();

    Options m_options;
    SeededRandom m_random;
    std::vector<Engine> m_engines;
    std::vector<Gate> m_gates;
    std::vector<Leader> m_leaders;
    std::vector<GroupEpoch> m_log;
    std::vector<Packet> m_network;
    std::vector<PendingAppend> m_appends; ///< not yet stored by the log
    std::vector<Packet> m_duplicates; ///< duplicates, delivered at any later time
    bool m_isLogOut = false;
    bool m_isReliable = false;
    std::uint64_t m_runs = 0;
    std::uint64_t m_claims = 0;
    std::map<std::pair<EpochNumber, StepNumber>, MapNumber> m_mapByStep;
    std::string m_violation;
    int m_switchCount = 0;
};

} // namespace Heatherridge
