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

/** One rank as the operator's inventory lists it. */
struct PlannedRank
{
    int rank = 0;
    int slots = 0; ///< experts a layer that fit
    bool isLeaving = false; ///< withdrawn or about to stop
    RankLocation place{};

    bool operator==(const PlannedRank &) const = default;
};

/**
 * Decides for a group's leader what to propose: who belongs to the group, and when its map changes.
 *
 * A rank that leaves is first emptied by a switch, then left out by an epoch on the same map, so that a planned shrink
 * waits for no loading. A rank that isn't heard of, or whose engine restarted, is left out, or taken up again, by an
 * epoch at once: the group stands still meanwhile. Otherwise RegretRebalance decides.
 *
 * Pure: time comes in as durations. One thread.
 */
class GroupPlanner
{
public:
    /** A member not heard of for this long is left out. A gate that restarts is back sooner, and the group runs on
     * without it; see RankGate::DefaultLeadSteps. */
    static constexpr std::chrono::seconds MemberTimeout{15};
    /** Time that ranks get for entering an epoch before the next change. */
    static constexpr std::chrono::seconds EpochSettleTime{3};

    struct Options
    {
        GroupModel model{};
        double storeBytesPerSecond = 1; ///< what the weight store gives this group
    };

    /** Plans for a group of @p ranks. */
    GroupPlanner(Options options, std::vector<PlannedRank> ranks);

    /** A new inventory or rule set is in force. */
    void setRanks(std::vector<PlannedRank> ranks);

    /** The operator's weights. */
    void setWeights(const BalanceWeights &weights);

    /** The gate of @p rank has spoken. */
    void recordContact(int rank);

    /** Takes a rank's report; one under a map that is not known is dropped. */
    void addReport(const RankReport &report);

    /** Takes notice of a map's placement. */
    void addMap(const ExpertMap &map);

    /** Proposes to @p leader what is due; @p passed is the time since the last call. */
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
    std::map<int, std::chrono::duration<double>> m_sinceContact; ///< by rank: time since it was heard
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
