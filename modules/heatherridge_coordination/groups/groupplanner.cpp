#include "heatherridge_coordination/groups/groupplanner.h"

#include "heatherridge_state/groups/stageplan.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Loading time of one stage: long enough to justify a switch, short enough to drop an outdated goal soon. */
constexpr double StageSeconds = 30;
/** Maximum number of maps kept. Reports lag by a few switches at most. */
constexpr std::size_t MaxKnownMaps = 8;

GroupShape shapeOf(const GroupModel &model, const std::vector<PlannedRank> &ranks)
{
    GroupShape shape{.layers = model.layers, .experts = model.experts, .expertBytes = model.expertBytes};
    int highest = -1;
    for (const auto &rank : ranks) {
        highest = std::max(highest, rank.rank);
    }
    shape.slots.assign(static_cast<std::size_t>(highest) + 1, 0);
    shape.locations.assign(shape.slots.size(), {});
    for (const auto &rank : ranks) {
        shape.slots[rank.rank] = rank.slots;
        shape.locations[rank.rank] = rank.place;
    }
    return shape;
}

bool holdsExperts(const ExpertMap &map, int rank)
{
    return map.expertCountOn(rank) > 0;
}

} // namespace

GroupPlanner::GroupPlanner(Options options, std::vector<PlannedRank> ranks)
    : m_options(options)
    , m_ranks(std::move(ranks))
    , m_estimator(shapeOf(options.model, m_ranks))
    , m_stragglers(shapeOf(options.model, m_ranks).ranks())
{
}

void GroupPlanner::setRanks(std::vector<PlannedRank> ranks)
{
    const auto before = shapeOf(m_options.model, m_ranks);
    m_ranks = std::move(ranks);
    const auto after = shapeOf(m_options.model, m_ranks);
    if (before.ranks() != after.ranks()) {
        m_estimator = PopularityEstimator(after);
        m_stragglers = StragglerDetector(after.ranks());
        m_windows.clear();
    }
}

void GroupPlanner::setWeights(const BalanceWeights &weights)
{
    m_weights = weights;
}

void GroupPlanner::recordContact(int rank)
{
    m_sinceContact[rank] = {};
}

void GroupPlanner::addReport(const RankReport &report)
{
    if (const auto map = m_maps.find(report.map); map != m_maps.end()) {
        m_estimator.addReport(report, map->second);
        m_windows[report.window].push_back(report);
        m_newestWindow = std::max(m_newestWindow, report.window);
    }
}

void GroupPlanner::addMap(const ExpertMap &map)
{
    m_maps.insert_or_assign(map.number(), map);
    if (m_maps.size() > MaxKnownMaps) {
        m_maps.erase(m_maps.begin());
    }
}

void GroupPlanner::proposeChanges(GroupLeader &leader, std::chrono::duration<double> elapsed)
{
    for (auto &[rank, sinceContact] : m_sinceContact) {
        sinceContact += elapsed;
    }
    m_sinceDecision += elapsed;
    m_sinceEpochChange += elapsed;
    closeReportWindows();
    const auto &epoch = leader.epoch();
    if (epoch && epoch->number != m_lastEpoch) {
        m_lastEpoch = epoch->number;
        m_sinceEpochChange = {};
        addMap(epoch->map);
    }
    const bool canPropose = leader.phase() == GroupLeader::Phase::Idle || leader.phase() == GroupLeader::Phase::Voting;
    if (!canPropose || m_sinceEpochChange < EpochSettleTime) {
        return;
    }
    std::vector<int> stayingRanks;
    bool hasLostMember = !epoch;
    bool hasJoiningRank = false;
    for (const auto &rank : m_ranks) {
        const auto *status = leader.statusOf(rank.rank);
        const auto *member = epoch ? epoch->find(rank.rank) : nullptr;
        const bool isAvailable = isReachable(rank.rank) && status != nullptr;
        hasLostMember = hasLostMember || (member != nullptr && (!isAvailable || status->engine != member->incarnation));
        hasJoiningRank = hasJoiningRank || (member == nullptr && isAvailable && !rank.isLeaving);
        if (isAvailable && !rank.isLeaving) {
            stayingRanks.push_back(rank.rank);
        }
    }
    proposeForMembers(leader, stayingRanks, hasLostMember, hasJoiningRank);
}

bool GroupPlanner::isReachable(int rank) const
{
    const auto found = m_sinceContact.find(rank);
    return found != m_sinceContact.end() && found->second < MemberTimeout;
}

const PlannedRank *GroupPlanner::find(int rank) const
{
    const auto found = std::find_if(m_ranks.begin(), m_ranks.end(), [rank](const auto &r) { return r.rank == rank; });
    return found == m_ranks.end() ? nullptr : &*found;
}

void GroupPlanner::proposeForMembers(GroupLeader &leader, const std::vector<int> &stayingRanks, bool hasLostMember,
                                     bool hasJoiningRank)
{
    const auto &epoch = leader.epoch();
    if (!epoch) {
        // The first epoch waits for all listed ranks; otherwise each late rank would cost another epoch.
        const auto listed =
            std::count_if(m_ranks.begin(), m_ranks.end(), [](const auto &rank) { return !rank.isLeaving; });
        if (static_cast<std::ptrdiff_t>(stayingRanks.size()) == listed && listed > 0) {
            proposeNewEpoch(leader, stayingRanks);
        }
        return;
    }
    if (hasLostMember || hasJoiningRank) {
        proposeNewEpoch(leader, stayingRanks);
        return;
    }
    const bool hasLeavingMember = std::any_of(epoch->members.begin(), epoch->members.end(), [&](const auto &member) {
        const auto *listed = find(member.rank);
        return listed == nullptr || listed->isLeaving;
    });
    if (hasLeavingMember) {
        if (evacuateLeavingRanks(leader, stayingRanks)) {
            proposeNewEpoch(leader, stayingRanks);
        }
        return;
    }
    rebalance(leader);
}

/** Proposes an epoch with members @p ranks that keeps the current placement as far as possible. */
void GroupPlanner::proposeNewEpoch(GroupLeader &leader, const std::vector<int> &ranks)
{
    if (ranks.empty()) {
        return;
    }
    const auto *map = currentMap(leader);
    auto layers = improvePlacement(problemFor(ranks), map != nullptr ? map->layers() : Layers{}, {});
    if (auto *found = std::get_if<Layers>(&layers)) {
        const auto proposed = leader.proposeEpoch(ranks, std::move(*found));
        m_sinceEpochChange = errorIn(proposed) == nullptr ? std::chrono::duration<double>{} : m_sinceEpochChange;
    }
}

/** Returns whether only @p stayingRanks hold experts. If not, proposes a switch to a map that satisfies this. */
bool GroupPlanner::evacuateLeavingRanks(GroupLeader &leader, const std::vector<int> &stayingRanks)
{
    const auto *map = currentMap(leader);
    const bool isEvacuated =
        map != nullptr && std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto &rank) {
            return !holdsExperts(*map, rank.rank)
                || std::find(stayingRanks.begin(), stayingRanks.end(), rank.rank) != stayingRanks.end();
        });
    if (isEvacuated) {
        return true;
    }
    auto layers = improvePlacement(problemFor(stayingRanks), map != nullptr ? map->layers() : Layers{}, {});
    if (auto *found = std::get_if<Layers>(&layers)) {
        const auto proposed = leader.proposeSwitch(std::move(*found));
        (void)proposed; // refused while another change is in progress; the next call tries again
    }
    return false;
}

void GroupPlanner::rebalance(GroupLeader &leader)
{
    const auto *map = currentMap(leader);
    if (map == nullptr || leader.phase() != GroupLeader::Phase::Idle || !leader.hasAllMembers()) {
        return;
    }
    std::vector<int> ranks;
    for (const auto &member : leader.epoch()->members) {
        ranks.push_back(member.rank);
    }
    const auto problem = problemFor(ranks);
    auto desiredLayers = m_policy.decide({.problem = problem,
                                          .current = map->layers(),
                                          .relativeError = m_estimator.relativeError(),
                                          .sinceLastCall = std::exchange(m_sinceDecision, {}),
                                          .storeBytesPerSecond = m_options.storeBytesPerSecond,
                                          .weights = m_weights});
    if (desiredLayers) {
        const auto budget = static_cast<std::uint64_t>(m_options.storeBytesPerSecond * StageSeconds);
        const auto proposed = leader.proposeSwitch(nextStage(problem, map->layers(), *desiredLayers, budget));
        (void)proposed; // refused while another change is in progress; the regret accumulates again
    }
}

void GroupPlanner::closeReportWindows()
{
    m_estimator.closeWindows(m_newestWindow);
    while (!m_windows.empty() && m_windows.begin()->first + PopularityEstimator::OpenWindows < m_newestWindow) {
        m_stragglers.addWindow(m_windows.begin()->second);
        m_windows.erase(m_windows.begin());
    }
}

GroupProblem GroupPlanner::problemFor(const std::vector<int> &ranks) const
{
    GroupProblem problem{.shape = shapeOf(m_options.model, m_ranks), .layers = {}};
    for (int rank = 0; rank < problem.shape.ranks(); ++rank) {
        if (std::find(ranks.begin(), ranks.end(), rank) == ranks.end()) {
            problem.shape.slots[rank] = 0;
        }
    }
    for (int layer = 0; layer < problem.shape.layers; ++layer) {
        LayerProblem layerProblem{.load = m_estimator.fractions(layer), .slowness = {}, .slots = problem.shape.slots};
        for (int rank = 0; rank < problem.shape.ranks(); ++rank) {
            layerProblem.slowness.push_back(m_stragglers.slowness(rank));
        }
        problem.layers.push_back(std::move(layerProblem));
    }
    return problem;
}

/** Returns the map in use, or nullptr before the first epoch. Falls back to the epoch's first map if the map in use is
 * not known here because an earlier leader switched to it. */
const ExpertMap *GroupPlanner::currentMap(const GroupLeader &leader) const
{
    const auto &epoch = leader.epoch();
    if (!epoch) {
        return nullptr;
    }
    MapNumber number = epoch->map.number();
    for (const auto &member : epoch->members) {
        if (const auto *status = leader.statusOf(member.rank); status != nullptr && status->epoch == epoch->number) {
            number = std::max(number, status->map);
        }
    }
    const auto found = m_maps.find(number);
    return found == m_maps.end() ? &epoch->map : &found->second;
}

} // namespace Heatherridge
