#include "heatherridge_state/groups/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** A layer this near to its bound is left alone: rounding of shares alone is of this order. */
constexpr double CloseEnough = 0.002;
/** Experts of the slowest rank tried a round: with two to four slots a rank, that is all of them. */
constexpr std::size_t ExpertsTried = 4;
/** Ranks tried as receivers a round. The least busy ones are nearly equal; more than a few only cost time. */
constexpr std::size_t ReceiversTried = 6;
/** Rounds without a new best after which a layer is done: several ranks may have to be relieved before the slowest
 * one changes, but seldom more. */
constexpr int PatienceRounds = 12;

/** One change of who holds what: a replica for a free or spare slot, or an exchange of two sole experts. */
struct Change
{
    int expert = 0;
    int from = 0; ///< the slow rank
    int to = 0;
    int evicted = -1; ///< expert that leaves `to`; -1 when there is room
    bool exchanged = false; ///< whether `expert` leaves `from` and `evicted` goes there
    double peak = 0; ///< slower of the two ranks afterwards

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
    LayerImprover(const LayerProblem &problem, double price)
        : m_problem(problem)
        , m_price(price)
        , m_bound(slowestRankBound(problem))
    {
    }

    std::optional<LayerPlacement> run(const LayerPlacement &current)
    {
        LayerWork work(m_problem, current);
        if (!work.placeMissing()) {
            return std::nullopt;
        }
        work.settle();
        LayerWork best = work;
        double bestScore = score(work, 0);
        int loads = 0;
        const int mostRounds = static_cast<int>(m_problem.slots.size() + m_problem.load.size());
        for (int round = 0, idle = 0; round < mostRounds && idle < PatienceRounds; ++round, ++idle) {
            if (work.slowest() <= m_bound * (1 + CloseEnough)) {
                break;
            }
            const auto change = bestChange(work);
            if (!change) {
                break;
            }
            apply(work, *change);
            work.settle();
            loads += change->loads();
            if (const double now = score(work, loads); now < bestScore) {
                bestScore = now;
                best = work;
                idle = 0;
            }
        }
        return best.placement();
    }

private:
    double score(const LayerWork &work, int loads) const
    {
        return (m_bound > 0 ? work.slowest() / m_bound : 1) + m_price * loads;
    }

    std::optional<Change> bestChange(const LayerWork &work) const
    {
        const auto ranks = work.ranksBySlowness();
        if (ranks.size() < 2) {
            return std::nullopt;
        }
        const int slow = ranks.front();
        std::optional<Change> best;
        auto experts = work.heaviestOn(slow);
        experts.resize(std::min(experts.size(), ExpertsTried));
        const std::size_t receivers = std::min(ranks.size() - 1, ReceiversTried);
        for (const int expert : experts) {
            for (std::size_t i = 0; i < receivers; ++i) {
                consider(work, {.expert = expert, .from = slow, .to = ranks[ranks.size() - 1 - i]}, best);
            }
        }
        // A change that leaves one of the two as slow as before would go round in circles.
        if (best && best->peak >= work.timeOf(slow) * (1 - CloseEnough / 4)) {
            return std::nullopt;
        }
        return best;
    }

    static void consider(const LayerWork &work, Change change, std::optional<Change> &best)
    {
        if (work.holds(change.expert, change.to)) {
            return;
        }
        if (work.hasRoom(change.to)) {
            rate(work, change, best);
            return;
        }
        if (const auto spare = work.spareOn(change.to)) {
            change.evicted = *spare;
            rate(work, change, best);
            return;
        }
        change.exchanged = true;
        for (const int other : work.heaviestOn(change.to)) {
            change.evicted = other;
            if (!work.holds(other, change.from)) {
                rate(work, change, best);
            }
        }
    }

    static void rate(const LayerWork &work, Change change, std::optional<Change> &best)
    {
        LayerWork tried = work;
        apply(tried, change);
        change.peak = std::max(tried.timeOf(change.from), tried.timeOf(change.to));
        if (!best || change.peak < best->peak) {
            best = change;
        }
    }

    const LayerProblem &m_problem;
    double m_price;
    double m_bound;
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
        LayerImprover improver(problem.layers[layer], options.pricePerExpert);
        auto improved = improver.run(layer < current.size() ? current[layer] : Empty);
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
