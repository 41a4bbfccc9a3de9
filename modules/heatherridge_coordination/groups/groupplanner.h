#pragma once

#include "heatherridge_coordination/groups/groupleader.h"
#include "heatherridge_protocol/engineorder.h"
#include "heatherridge_state/groups/rebalancepolicy.h"
#include "heatherridge_state/groups/stragglerdetector.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** A rank as listed in the operator's inventory. */
struct PlannedRank
{
    int rank = 0;
    int slots = 0; ///< capacity in experts per layer
    bool isLeaving = false; ///< withdrawn or shutting down
    RankLocation place{};

    bool operator==(const PlannedRank &) const = default;
};

/**
 * Decides what a group's leader proposes: the members of the group and changes of its map.
 *
 * A leaving rank is first evacuated by a switch and then removed by an epoch with the same map, so that a planned
 * removal does not wait for weights to load. A rank that is unreachable or whose engine has restarted is removed or
 * readmitted by a new epoch immediately, since the group cannot step in the meantime. Otherwise RegretRebalance
 * decides.
 *
 * Does no I/O and reads no clock: time is passed in as durations. Not thread-safe; use from one thread.
 */
class GroupPlanner
{
public:
    /** A member that has sent no message for this long is removed. A restarting gate is back sooner, and the group
     * keeps stepping without it; see RankGate::DefaultLeadSteps. */
    static constexpr std::chrono::seconds MemberTimeout{15};
    /** Time allowed for the ranks to enter an epoch before the next change. */
    static constexpr std::chrono::seconds EpochSettleTime{3};

    struct Options
    {
        GroupModel model{};
        double storeBytesPerSecond = 1; ///< share of the weight store's bandwidth available to this group
    };

    /** Creates a planner for a group of @p ranks. */
    GroupPlanner(Options options, std::vector<PlannedRank> ranks);

    /** Replaces the ranks; called when a new inventory or rule set is in force. */
    void setRanks(std::vector<PlannedRank> ranks);

    /** Sets the operator's balance weights. */
    void setWeights(const BalanceWeights &weights);

    /** Records that a message has arrived from the gate of @p rank. */
    void recordContact(int rank);

    /** Adds a load report of a rank. Reports for an unknown map are dropped. */
    void addReport(const RankReport &report);

    /** Adds a map, so that reports that refer to it can be used. */
    void addMap(const ExpertMap &map);

    /** Proposes the changes that are due to @p leader. @p elapsed is the time since the previous call. */
    void proposeChanges(GroupLeader &leader, std::chrono::duration<double> elapsed);

private:
    using Layers = std::vector<LayerPlacement>;

    bool isReachable(int rank) const;
    const PlannedRank *find(int rank) const;
    void proposeForMembers(GroupLeader &leader, const std::vector<int> &stayingRanks, bool hasLostMember,
                           bool hasJoiningRank);
    void proposeNewEpoch(GroupLeader &leader, const std::vector<int> &ranks);
    bool evacuateLeavingRanks(GroupLeader &leader, const std::vector<int> &stayingRanks);
    void rebalance(GroupLeader &leader);
    void closeReportWindows();
    GroupProblem problemFor(const std::vector<int> &ranks) const;
    const ExpertMap *currentMap(const GroupLeader &leader) const;

    Options m_options;
    std::vector<PlannedRank> m_ranks;
    BalanceWeights m_weights;
    std::map<int, std::chrono::duration<double>> m_sinceContact; ///< by rank: time since its last message
    std::map<MapNumber, ExpertMap> m_maps;
    std::map<std::uint64_t, std::vector<RankReport>> m_windows;
    PopularityEstimator m_estimator;
    StragglerDetector m_stragglers;
    RegretRebalance m_policy;
    std::uint64_t m_newestWindow = 0;
    std::chrono::duration<double> m_sinceDecision{};
    std::chrono::duration<double> m_sinceEpochChange{};
    EpochNumber m_lastEpoch{};
};

} // namespace Heatherridge
