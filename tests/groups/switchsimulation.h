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
 * A group under a random schedule: messages are lost, delayed, doubled and reordered; gates, engines and leaders die,
 * pause (are not scheduled) and are replaced; the log goes out. Checks at each start of a step that all ranks that ever
 * start this step of this epoch use the same map.
 */
class SwitchSimulation
{
public:
    /** What engines do about orders that a dead run of their gate had sent. */
    enum class StaleOrders {
        Rejected, ///< they arrive at any time and are refused
        InOrder, ///< they arrive before any order of the next run, and are followed
        Executed, ///< they arrive at any time and are followed: not safe
    };

    struct Options
    {
        int ranks = 3;
        std::uint64_t seed = 1;
        SwitchSafeguards safeguards{};
        int duplicatePercent = 5; ///< percent of messages that arrive again, possibly much later
        int leaderChangesPerMille = 1; ///< of a thousand actions
        int epochPercent = 5; ///< percent of proposals that compose an epoch while the group is whole
        StaleOrders staleOrders = StaleOrders::Rejected;
        bool engineFaults = true; ///< whether engines die; without, a log outage alone must stall nobody
    };

    explicit SwitchSimulation(const Options &options);

    /** Runs @p actions random actions; ends at the first violation. */
    void run(int actions);

    /** No faults any more, everything delivered; the latest leader takes the group whole. Whether it became whole,
     * nothing stayed undecided and all ranks step on. */
    bool recover();

    /** After heal(): whether a switch goes through without any record on the log and takes effect on all ranks. */
    bool switchWithoutLog();

    /** What went wrong, or empty. */
    const std::string &violation() const
    {
        return m_violation;
    }

    /** Switches that took effect on an engine. */
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
        int toRank = -1; ///< -1 for the leaders
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
        std::deque<OrderEngine> orders{}; ///< given but not yet followed; survive a restart of the gate
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
    std::vector<PendingAppend> m_appends; ///< on their way to the log
    std::vector<Packet> m_duplicates; ///< second copies, which arrive at any later time
    bool m_isLogOut = false;
    bool m_isReliable = false;
    std::uint64_t m_runs = 0;
    std::uint64_t m_claims = 0;
    std::map<std::pair<EpochNumber, StepNumber>, MapNumber> m_mapByStep;
    std::string m_violation;
    int m_switchCount = 0;
};

} // namespace Heatherridge
