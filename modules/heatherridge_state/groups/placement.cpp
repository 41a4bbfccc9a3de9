#include "heatherridge_state/groups/placement.h"

#include "heatherridge_state/groups/cutplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** A layer this near to its bound is left alone: rounding of shares alone is of this order. */
constexpr double CloseEnough = 0.002;
/** Ranks tried as receivers a round; the least busy ones are nearly equal, more of them only cost time. */
constexpr std::size_t ReceiversTried = 8;
/** Changes whose effect on all ranks is worked out, of those that look best for the two ranks alone. */
constexpr std::size_t ChangesWorkedOut = 6;
/** Passes for working out a trial; it starts from a settled division. */
constexpr int TrialPasses = 6;
/** Norm by which placements on the way are compared. The plain maximum doesn't move when one of two slowest ranks is
 * relieved, which would end the search there; this norm does and still follows the slowest rank. */
constexpr int Norm = 8;

/** One change of who holds what: a replica for a free or given up slot, or an exchange of two sole experts. */
struct Change
{
    int expert = 0;
    int from = 0; ///< the slow rank
    int to = 0;
    int evicted = -1; ///< expert that leaves `to`; -1 when there is room
    bool exchanged = false; ///< whether `expert` leaves `from` and `evicted` goes there
    double peak = 0; ///< slowest of the ranks that it touches, as estimated

    int loads() const
    {
        return exchanged ? 2 : 1;
    }
};

void apply(LayerWork &work, const Change &change)
{
    if (change.exchanged) {
        // Both are added before either is removed, so that no expert is ever without a replica.
        work.add(change.expert, change.to);
        work.remove(change.expert, change.from);
        work.add(change.evicted, change.from);
        work.remove(change.evicted, change.to);
        return;
    }
    if (change.evicted >= 0) {
        work.remove(change.evicted, change.to);
    }
    work.add(change.expert, change.to);
}

class LayerImprover
{
public:
    LayerImprover(const LayerProblem &problem, const LayerPlacement &current, double price)
        : m_problem(problem)
        , m_current(current)
        , m_price(price)
        , m_bound(slowestRankBound(problem))
    {
    }

    /** The better of: the placement in force improved step by step, and one cut anew. */
    std::optional<LayerPlacement> run()
    {
        if (!m_current.empty()) {
            improveFrom(m_current);
        }
        if (!m_best.empty() && m_bestScore <= 1 + CloseEnough) {
            return m_best;
        }
        improveFrom(cutPlacement(m_problem, m_current));
        if (m_best.empty()) {
            return std::nullopt;
        }
        return m_best;
    }

private:
    void improveFrom(const LayerPlacement &start)
    {
        LayerWork work(m_problem, start);
        if (!work.placeMissing()) {
            return;
        }
        work.settle();
        keepIfBest(work);
        const std::size_t mostRounds = m_problem.slots.size();
        for (std::size_t round = 0; round < mostRounds && work.slowest() > m_bound * (1 + CloseEnough); ++round) {
            // What the price of one more load could not bring back need not be tried.
            if (work.slowest() / m_bound - 1 < m_price) {
                return;
            }
            auto next = bestChange(work);
            if (!next) {
                return;
            }
            work = std::move(*next);
            work.settle();
            keepIfBest(work);
        }
    }

    void keepIfBest(const LayerWork &work)
    {
        auto placement = work.placement();
        const auto loads = static_cast<double>(expertsToLoad(m_current, placement));
        const double score = (m_bound > 0 ? work.slowest() / m_bound : 1) + m_price * loads;
        if (m_best.empty() || score < m_bestScore) {
            m_best = std::move(placement);
            m_bestScore = score;
        }
    }

    double norm(const LayerWork &work) const
    {
        double sum = 0;
        for (std::size_t rank = 0; rank < m_problem.slots.size(); ++rank) {
            sum += std::pow(work.timeOf(static_cast<int>(rank)) / m_bound, Norm);
        }
        return sum;
    }

    std::optional<LayerWork> bestChange(const LayerWork &work) const
    {
        const auto ranks = work.ranksBySlowness();
        if (ranks.size() < 2) {
            return std::nullopt;
        }
        const int slow = ranks.front();
        std::vector<Change> changes;
        const std::size_t receivers = std::min(ranks.size() - 1, ReceiversTried);
        for (const int expert : work.heaviestOn(slow)) {
            for (std::size_t i = 0; i < receivers; ++i) {
                consider(work, {.expert = expert, .from = slow, .to = ranks[ranks.size() - 1 - i]}, changes);
            }
        }
        std::stable_sort(changes.begin(), changes.end(), [](const auto &a, const auto &b) { return a.peak < b.peak; });
        changes.resize(std::min(changes.size(), ChangesWorkedOut));
        std::optional<LayerWork> best;
        double least = norm(work) * (1 - CloseEnough); // strictly falling, so that the search can't go in circles
        for (const auto &change : changes) {
            LayerWork tried = work;
            apply(tried, change);
            tried.settle(TrialPasses);
            if (const double now = norm(tried); now < least) {
                least = now;
                best = std::move(tried);
            }
        }
        return best;
    }

    /** Adds the ways to give @p change's expert a place on its receiver, with an estimate of their effect. */
    void consider(const LayerWork &work, Change change, std::vector<Change> &changes) const
    {
        if (work.holds(change.expert, change.to)) {
            return;
        }
        const double together = work.timeOf(change.from) + work.timeOf(change.to);
        if (work.hasRoom(change.to)) {
            change.peak = together / 2;
            changes.push_back(change);
            return;
        }
        for (const int evicted : work.heaviestOn(change.to)) {
            change.evicted = evicted;
            const double gone = loadOn(work, evicted, change.to);
            if (work.replicasOf(evicted).size() > 1) {
                change.exchanged = false;
                const double moved = gone * m_problem.slowness[change.to];
                change.peak = std::max((together - moved) / 2, leastSibling(work, evicted, change.to) + moved);
                changes.push_back(change);
            } else if (!work.holds(evicted, change.from)) {
                change.exchanged = true;
                const double swap = loadOn(work, change.expert, change.from) - gone;
                change.peak = std::max(work.timeOf(change.from) - swap, work.timeOf(change.to) + swap);
                changes.push_back(change);
            }
        }
    }

    static double loadOn(const LayerWork &work, int expert, int rank)
    {
        for (const auto &replica : work.replicasOf(expert)) {
            if (replica.rank == rank) {
                return replica.load;
            }
        }
        return 0;
    }

    static double leastSibling(const LayerWork &work, int expert, int rank)
    {
        double least = HUGE_VAL;
        for (const auto &replica : work.replicasOf(expert)) {
            if (replica.rank != rank) {
                least = std::min(least, work.timeOf(replica.rank));
            }
        }
        return least;
    }

    const LayerProblem &m_problem;
    const LayerPlacement &m_current;
    double m_price;
    double m_bound;
    LayerPlacement m_best;
    double m_bestScore = 0;
};

} // namespace

Result<std::vector<LayerPlacement>> improvePlacement(const GroupProblem &problem,
                                                     const std::vector<LayerPlacement> &current,
                                                     const PlacementOptions &options)
{
    static const LayerPlacement Empty;
    std::vector<LayerPlacement> layers;
    layers.reserve(problem.layers.size());
    for (std::size_t layer = 0; layer < problem.layers.size(); ++layer) {
        LayerImprover improver(problem.layers[layer], layer < current.size() ? current[layer] : Empty,
                               options.pricePerExpert);
        auto improved = improver.run();
        if (!improved) {
            return Error{.kind = ErrorKind::NoTarget, .detail = "the experts don't fit on the ranks that are left"};
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

double excessTime(const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    double slowest = 0;
    double least = 0;
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto &part = problem.layers[layer];
        slowest += balanceOf(part, layers[layer]).slowest;
        double speed = 0;
        for (std::size_t rank = 0; rank < part.slots.size(); ++rank) {
            speed += part.slots[rank] > 0 ? 1 / part.slowness[rank] : 0;
        }
        least += speed > 0 ? std::accumulate(part.load.begin(), part.load.end(), 0.0) / speed : 0;
    }
    return least > 0 ? slowest / least - 1 : 0;
}

double stepSkewBound(const GroupProblem &problem)
{
    LayerBalance step;
    for (const auto &layer : problem.layers) {
        const double bound = slowestRankBound(layer);
        const double speedMean = std::accumulate(layer.load.begin(), layer.load.end(), 0.0);
        double speed = 0;
        for (std::size_t rank = 0; rank < layer.slots.size(); ++rank) {
            speed += layer.slots[rank] > 0 ? 1 / layer.slowness[rank] : 0;
        }
        step.slowest += bound;
        step.mean += speed > 0 ? speedMean / speed : 0;
    }
    return step.skew();
}

} // namespace Heatherridge
