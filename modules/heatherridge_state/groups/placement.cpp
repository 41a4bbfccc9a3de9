#include "heatherridge_state/groups/placement.h"

#include "heatherridge_state/groups/splitplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** Relative distance from the bound at which a layer is not improved further: rounding of shares is of this order. */
constexpr double BoundTolerance = 0.002;
/** Number of least busy ranks tried as receivers per round; they are nearly equal, so more of them only cost time. */
constexpr std::size_t MaxReceivers = 8;
/** Number of candidate changes, of those with the best estimate for the two ranks involved, that are evaluated for all
 * ranks. */
constexpr std::size_t MaxEvaluatedChanges = 6;
/** Redistribution passes for evaluating a change; it starts from a converged distribution. */
constexpr int TrialPasses = 6;
/** Exponent of the norm of the rank times that compares intermediate placements. The maximum does not change when one
 * of two equally slow ranks is relieved, which would end the search; this norm does and is still dominated by the
 * slowest rank. */
constexpr int NormExponent = 8;

/** One change of a placement: a new replica in a free or freed slot, or a swap of two experts with one replica each. */
struct Change
{
    int expert = 0;
    int from = 0; ///< the slowest rank
    int to = 0;
    int evicted = -1; ///< expert removed from `to`; -1 if it has a free slot
    bool isSwap = false; ///< whether `expert` is removed from `from` and `evicted` is added there
    double estimatedPeak = 0; ///< estimated time of the slowest affected rank

    int loads() const
    {
        return isSwap ? 2 : 1;
    }
};

void applyChange(LayerAssignment &assignment, const Change &change)
{
    if (change.isSwap) {
        // Both are added before either is removed, so that no expert is ever without a replica.
        assignment.addReplica(change.expert, change.to);
        assignment.removeReplica(change.expert, change.from);
        assignment.addReplica(change.evicted, change.from);
        assignment.removeReplica(change.evicted, change.to);
        return;
    }
    if (change.evicted >= 0) {
        assignment.removeReplica(change.evicted, change.to);
    }
    assignment.addReplica(change.expert, change.to);
}

class LayerOptimiser
{
public:
    LayerOptimiser(const LayerProblem &problem, const LayerPlacement &current, double penaltyPerExpert)
        : m_problem(problem)
        , m_current(current)
        , m_penaltyPerExpert(penaltyPerExpert)
        , m_bound(slowestTimeLowerBound(problem))
    {
    }

    /** Returns the better of two placements: the active one improved incrementally, and one from splitPlacement()
     * improved in the same way. Nothing if the experts do not fit. */
    std::optional<LayerPlacement> optimise()
    {
        if (!m_current.empty()) {
            improveFrom(m_current);
        }
        if (!m_best.empty() && m_bestScore <= 1 + BoundTolerance) {
            return m_best;
        }
        improveFrom(splitPlacement(m_problem, m_current));
        if (m_best.empty()) {
            return std::nullopt;
        }
        return m_best;
    }

private:
    void improveFrom(const LayerPlacement &start)
    {
        LayerAssignment assignment(m_problem, start);
        if (!assignment.placeMissingExperts()) {
            return;
        }
        assignment.redistributeLoad();
        keepIfBest(assignment);
        const std::size_t maxRounds = m_problem.slots.size();
        for (std::size_t round = 0; round < maxRounds && assignment.slowestTime() > m_bound * (1 + BoundTolerance);
             ++round) {
            // The remaining gain is less than the penalty of one more load.
            if (assignment.slowestTime() / m_bound - 1 < m_penaltyPerExpert) {
                return;
            }
            auto next = bestChange(assignment);
            if (!next) {
                return;
            }
            assignment = std::move(*next);
            assignment.redistributeLoad();
            keepIfBest(assignment);
        }
    }

    void keepIfBest(const LayerAssignment &assignment)
    {
        auto placement = assignment.placement();
        const auto loads = static_cast<double>(expertsToLoad(m_current, placement));
        const double score = (m_bound > 0 ? assignment.slowestTime() / m_bound : 1) + m_penaltyPerExpert * loads;
        if (m_best.empty() || score < m_bestScore) {
            m_best = std::move(placement);
            m_bestScore = score;
        }
    }

    double timeNorm(const LayerAssignment &assignment) const
    {
        double sum = 0;
        for (std::size_t rank = 0; rank < m_problem.slots.size(); ++rank) {
            sum += std::pow(assignment.timeOf(static_cast<int>(rank)) / m_bound, NormExponent);
        }
        return sum;
    }

    std::optional<LayerAssignment> bestChange(const LayerAssignment &assignment) const
    {
        const auto ranks = assignment.ranksSlowestFirst();
        if (ranks.size() < 2) {
            return std::nullopt;
        }
        const int slowestRank = ranks.front();
        std::vector<Change> changes;
        const std::size_t receivers = std::min(ranks.size() - 1, MaxReceivers);
        for (const int expert : assignment.expertsByLoadOn(slowestRank)) {
            for (std::size_t i = 0; i < receivers; ++i) {
                addCandidates(assignment, {.expert = expert, .from = slowestRank, .to = ranks[ranks.size() - 1 - i]},
                              changes);
            }
        }
        std::stable_sort(changes.begin(), changes.end(),
                         [](const auto &a, const auto &b) { return a.estimatedPeak < b.estimatedPeak; });
        changes.resize(std::min(changes.size(), MaxEvaluatedChanges));
        std::optional<LayerAssignment> best;
        double minNorm = timeNorm(assignment) * (1 - BoundTolerance); // strictly decreasing, so the search cannot cycle
        for (const auto &change : changes) {
            LayerAssignment trial = assignment;
            applyChange(trial, change);
            trial.redistributeLoad(TrialPasses);
            if (const double trialNorm = timeNorm(trial); trialNorm < minNorm) {
                minNorm = trialNorm;
                best = std::move(trial);
            }
        }
        return best;
    }

    /** Appends the possible changes that add the expert of @p change to its receiver, with an estimate of their effect.
     */
    void addCandidates(const LayerAssignment &assignment, Change change, std::vector<Change> &changes) const
    {
        if (assignment.holdsExpert(change.expert, change.to)) {
            return;
        }
        const double combinedTime = assignment.timeOf(change.from) + assignment.timeOf(change.to);
        if (assignment.hasFreeSlot(change.to)) {
            change.estimatedPeak = combinedTime / 2;
            changes.push_back(change);
            return;
        }
        for (const int evicted : assignment.expertsByLoadOn(change.to)) {
            change.evicted = evicted;
            const double freedLoad = replicaLoad(assignment, evicted, change.to);
            if (assignment.replicasOf(evicted).size() > 1) {
                change.isSwap = false;
                const double movedTime = freedLoad * m_problem.slowness[change.to];
                change.estimatedPeak = std::max((combinedTime - movedTime) / 2,
                                                fastestSiblingTime(assignment, evicted, change.to) + movedTime);
                changes.push_back(change);
            } else if (!assignment.holdsExpert(evicted, change.from)) {
                change.isSwap = true;
                const double loadDifference = replicaLoad(assignment, change.expert, change.from) - freedLoad;
                change.estimatedPeak = std::max(assignment.timeOf(change.from) - loadDifference,
                                                assignment.timeOf(change.to) + loadDifference);
                changes.push_back(change);
            }
        }
    }

    static double replicaLoad(const LayerAssignment &assignment, int expert, int rank)
    {
        for (const auto &replica : assignment.replicasOf(expert)) {
            if (replica.rank == rank) {
                return replica.load;
            }
        }
        return 0;
    }

    static double fastestSiblingTime(const LayerAssignment &assignment, int expert, int rank)
    {
        double minTime = HUGE_VAL;
        for (const auto &replica : assignment.replicasOf(expert)) {
            if (replica.rank != rank) {
                minTime = std::min(minTime, assignment.timeOf(replica.rank));
            }
        }
        return minTime;
    }

    const LayerProblem &m_problem;
    const LayerPlacement &m_current;
    double m_penaltyPerExpert;
    double m_bound;
    LayerPlacement m_best;
    double m_bestScore = 0;
};

} // namespace

Result<std::vector<LayerPlacement>> improvePlacement(const GroupProblem &problem,
                                                     const std::vector<LayerPlacement> &current,
                                                     const PlacementOptions &options)
{
    static const LayerPlacement NoPlacement;
    std::vector<LayerPlacement> layers;
    layers.reserve(problem.layers.size());
    for (std::size_t layer = 0; layer < problem.layers.size(); ++layer) {
        LayerOptimiser optimiser(problem.layers[layer], layer < current.size() ? current[layer] : NoPlacement,
                                 options.penaltyPerExpert);
        auto improved = optimiser.optimise();
        if (!improved) {
            return Error{.kind = ErrorKind::NoTarget, .detail = "the experts do not fit on the remaining ranks"};
        }
        layers.push_back(std::move(*improved));
    }
    return layers;
}

double stepSkew(const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    LayerBalance step;
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto balance = balanceOf(problem.layers[layer], layers[layer]);
        step.slowest += balance.slowest;
        step.mean += balance.mean;
    }
    return step.skew();
}

double excessTimeRatio(const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    double slowest = 0;
    double balancedTime = 0;
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto &layerProblem = problem.layers[layer];
        slowest += balanceOf(layerProblem, layers[layer]).slowest;
        double totalSpeed = 0;
        for (std::size_t rank = 0; rank < layerProblem.slots.size(); ++rank) {
            totalSpeed += layerProblem.slots[rank] > 0 ? 1 / layerProblem.slowness[rank] : 0;
        }
        balancedTime +=
            totalSpeed > 0 ? std::accumulate(layerProblem.load.begin(), layerProblem.load.end(), 0.0) / totalSpeed : 0;
    }
    return balancedTime > 0 ? slowest / balancedTime - 1 : 0;
}

double stepSkewLowerBound(const GroupProblem &problem)
{
    LayerBalance step;
    for (const auto &layer : problem.layers) {
        const double bound = slowestTimeLowerBound(layer);
        const double totalLoad = std::accumulate(layer.load.begin(), layer.load.end(), 0.0);
        double totalSpeed = 0;
        for (std::size_t rank = 0; rank < layer.slots.size(); ++rank) {
            totalSpeed += layer.slots[rank] > 0 ? 1 / layer.slowness[rank] : 0;
        }
        step.slowest += bound;
        step.mean += totalSpeed > 0 ? totalLoad / totalSpeed : 0;
    }
    return step.skew();
}

} // namespace Heatherridge
