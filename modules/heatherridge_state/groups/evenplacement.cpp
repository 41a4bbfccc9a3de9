#include "heatherridge_state/groups/evenplacement.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>

namespace Heatherridge
{

namespace
{

/** Number of ranks considered as receivers of a copy: the fastest ones, since a copy on another rank gains less. */
constexpr std::size_t MaxReceivers = 4;

/** Number of copies assigned to each rank over all sets, and the limit per rank. */
struct CopyBudget
{
    std::vector<std::size_t> used; ///< by rank
    std::size_t limit;
};

/** Improves the layout of one set, one move at a time. */
class SetImprover
{
public:
    SetImprover(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options,
                CopyBudget &budget)
        : m_budget(budget)
        , m_current(current)
        , m_layout(current)
        , m_demand(demand)
        , m_options(options)
        , m_rankTimes(rankTimes(current, demand, options.slowness))
        , m_holders(demand.size())
        , m_copies(current.size(), 0)
    {
        for (std::size_t rank = 0; rank < current.size(); ++rank) {
            for (const auto expert : current[rank]) {
                m_holders[expert].push_back(rank);
            }
        }
        m_balancedTime = balancedTime(current.size(), demand, options.slowness);
    }

    /** Makes the best move. @returns whether there was one with sufficient gain within all limits */
    bool improve()
    {
        const auto slowest = slowestRank();
        if (m_moveCount >= m_options.maxMoves || m_balancedTime <= 0
            || m_rankTimes[slowest] <= m_options.skewThreshold * m_balancedTime) {
            return false;
        }
        const auto best = bestMove(slowest);
        if (!best) {
            return false;
        }
        apply(*best);
        ++m_moveCount;
        return true;
    }

    /** Returns the time by which this set delays a pass compared with balanced work. */
    double excessTime() const
    {
        return m_rankTimes[slowestRank()] - m_balancedTime;
    }

    const SetLayout &layout() const
    {
        return m_layout;
    }

private:
    /** Adds a copy of `expert` on a receiver, possibly replacing another expert; without a receiver, a rank drops
     * `expert`. */
    struct Move
    {
        std::optional<std::size_t> receiver{};
        std::uint16_t expert = 0;
        std::optional<std::uint16_t> evicted{}; ///< from the receiver
        std::optional<std::size_t> droppingRank{}; ///< a rank that drops `expert`
        double gain = 0; ///< reduction of the sum of squared rank times
    };

    std::size_t slowestRank() const
    {
        return static_cast<std::size_t>(std::max_element(m_rankTimes.begin(), m_rankTimes.end()) - m_rankTimes.begin());
    }

    std::vector<std::size_t> fastestRanks() const
    {
        std::vector<std::size_t> ranks(m_rankTimes.size());
        std::iota(ranks.begin(), ranks.end(), 0);
        const auto receiverCount = std::min(MaxReceivers, ranks.size());
        std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(receiverCount), ranks.end(),
                          [this](auto a, auto b) { return m_rankTimes[a] < m_rankTimes[b]; });
        ranks.resize(receiverCount);
        return ranks;
    }

    bool holds(std::size_t rank, std::uint16_t expert) const
    {
        const auto &holders = m_holders[expert];
        return std::find(holders.begin(), holders.end(), rank) != holders.end();
    }

    bool isInCurrent(std::size_t rank, std::uint16_t expert) const
    {
        const auto &held = m_current[rank];
        return std::find(held.begin(), held.end(), expert) != held.end();
    }

    double slownessOf(std::size_t rank) const
    {
        return rank < m_options.slowness.size() ? m_options.slowness[rank] : 1;
    }

    /** Returns the reduction of the sum of squared rank times when the loads of ranks change by @p changes. */
    double squaredTimeReduction(const std::vector<std::pair<std::size_t, double>> &changes)
    {
        // A rank may occur in several changes, so they are first summed up per rank.
        m_netChanges.clear();
        for (const auto &[rank, delta] : changes) {
            auto found = std::find_if(m_netChanges.begin(), m_netChanges.end(),
                                      [rank = rank](const auto &entry) { return entry.first == rank; });
            if (found == m_netChanges.end()) {
                m_netChanges.emplace_back(rank, delta);
            } else {
                found->second += delta;
            }
        }
        double saved = 0;
        for (const auto &[rank, delta] : m_netChanges) {
            const double before = m_rankTimes[rank];
            const double after = before + delta * slownessOf(rank);
            saved += before * before - after * after;
        }
        return saved;
    }

    void addCopyChanges(std::uint16_t expert, std::size_t receiver)
    {
        const auto holders = static_cast<double>(m_holders[expert].size());
        const double before = m_demand[expert] / holders;
        const double after = m_demand[expert] / (holders + 1);
        for (const auto rank : m_holders[expert]) {
            m_changes.emplace_back(rank, after - before);
        }
        m_changes.emplace_back(receiver, after);
    }

    void addDropChanges(std::uint16_t expert, std::size_t droppingRank)
    {
        const auto holders = static_cast<double>(m_holders[expert].size());
        const double before = m_demand[expert] / holders;
        const double after = m_demand[expert] / (holders - 1);
        for (const auto rank : m_holders[expert]) {
            m_changes.emplace_back(rank, rank == droppingRank ? -before : after - before);
        }
    }

    std::optional<Move> bestMove(std::size_t slowest)
    {
        std::optional<Move> best;
        const auto addCandidate = [&](Move move) {
            const double requiredGain = move.receiver ? m_options.minGain * m_balancedTime * m_balancedTime
                                                      : 1e-9 * m_balancedTime * m_balancedTime;
            if (move.gain > requiredGain && (!best || move.gain > best->gain)) {
                best = move;
            }
        };
        const auto receivers = fastestRanks();
        for (const auto expert : m_layout[slowest]) {
            evaluateDrop(slowest, expert, addCandidate);
            for (const auto receiver : receivers) {
                evaluateCopies(slowest, receiver, expert, addCandidate);
            }
        }
        return best;
    }

    template<typename AddCandidate>
    void evaluateDrop(std::size_t droppingRank, std::uint16_t expert, const AddCandidate &addCandidate)
    {
        if (m_holders[expert].size() < 2) {
            return;
        }
        m_changes.clear();
        addDropChanges(expert, droppingRank);
        addCandidate(Move{.expert = expert, .droppingRank = droppingRank, .gain = squaredTimeReduction(m_changes)});
    }

    template<typename AddCandidate>
    void evaluateCopies(std::size_t slowest, std::size_t receiver, std::uint16_t expert,
                        const AddCandidate &addCandidate)
    {
        if (receiver == slowest || holds(receiver, expert)) {
            return;
        }
        const bool needsCopy = !isInCurrent(receiver, expert);
        if (needsCopy
            && (m_copies[receiver] >= m_options.maxCopiesPerRank || m_budget.used[receiver] >= m_budget.limit)) {
            return;
        }
        if (m_layout[receiver].size() < m_options.slotsPerRank) {
            m_changes.clear();
            addCopyChanges(expert, receiver);
            addCandidate(Move{.receiver = receiver, .expert = expert, .gain = squaredTimeReduction(m_changes)});
            return;
        }
        for (const auto evicted : m_layout[receiver]) {
            if (m_holders[evicted].size() < 2) {
                continue;
            }
            m_changes.clear();
            addCopyChanges(expert, receiver);
            addDropChanges(evicted, receiver);
            addCandidate(Move{
                .receiver = receiver, .expert = expert, .evicted = evicted, .gain = squaredTimeReduction(m_changes)});
        }
    }

    void apply(const Move &move)
    {
        if (move.droppingRank) {
            remove(move.expert, *move.droppingRank);
        }
        if (move.evicted) {
            remove(*move.evicted, *move.receiver);
        }
        if (move.receiver) {
            add(move.expert, *move.receiver);
        }
        m_rankTimes = rankTimes(m_layout, m_demand, m_options.slowness);
    }

    void add(std::uint16_t expert, std::size_t rank)
    {
        m_layout[rank].push_back(expert);
        m_holders[expert].push_back(rank);
        if (!isInCurrent(rank, expert)) {
            ++m_copies[rank];
            ++m_budget.used[rank];
        }
    }

    void remove(std::uint16_t expert, std::size_t rank)
    {
        std::erase(m_layout[rank], expert);
        std::erase(m_holders[expert], rank);
        if (!isInCurrent(rank, expert)) {
            --m_copies[rank];
            --m_budget.used[rank];
        }
    }

    CopyBudget &m_budget;
    const SetLayout &m_current;
    SetLayout m_layout;
    const SetDemand &m_demand;
    const EvenPlacementOptions &m_options;
    std::vector<double> m_rankTimes; ///< by rank: load times slowness
    std::vector<std::vector<std::size_t>> m_holders; ///< by expert
    std::vector<std::size_t> m_copies; ///< by rank: number of experts to copy
    std::vector<std::pair<std::size_t, double>> m_changes;
    std::vector<std::pair<std::size_t, double>> m_netChanges;
    int m_moveCount = 0;
    double m_balancedTime = 0; ///< time of each rank if all ranks took equally long
};

/** Makes moves, always in the set that delays passes most, until no set has one left within the budget. */
void improveWorstSetsFirst(std::vector<SetImprover> &sets)
{
    std::vector<bool> isDone(sets.size(), false);
    for (;;) {
        std::optional<std::size_t> slowestSet;
        for (std::size_t set = 0; set < sets.size(); ++set) {
            if (!isDone[set] && (!slowestSet || sets[set].excessTime() > sets[*slowestSet].excessTime())) {
                slowestSet = set;
            }
        }
        if (!slowestSet) {
            return;
        }
        isDone[*slowestSet] = !sets[*slowestSet].improve();
    }
}

ExpertLayout layoutOf(const std::vector<SetImprover> &sets)
{
    ExpertLayout layout;
    layout.reserve(sets.size());
    for (const auto &set : sets) {
        layout.push_back(set.layout());
    }
    return layout;
}

} // namespace

std::vector<LayoutStage> improveLayoutInStages(const ExpertLayout &current, const std::vector<SetDemand> &demand,
                                               const EvenPlacementOptions &options, std::size_t maxCopies)
{
    const auto ranks = current.empty() ? 0 : current.front().size();
    CopyBudget budget{.used = std::vector<std::size_t>(ranks, 0), .limit = 0};
    std::vector<SetImprover> sets;
    sets.reserve(current.size());
    for (std::size_t set = 0; set < current.size(); ++set) {
        sets.emplace_back(current[set], demand[set], options, budget);
    }
    std::vector<LayoutStage> stages;
    for (budget.limit = 0; budget.limit <= maxCopies; ++budget.limit) {
        improveWorstSetsFirst(sets);
        const auto copies = budget.used.empty() ? 0 : *std::max_element(budget.used.begin(), budget.used.end());
        if (!stages.empty() && copies < budget.limit) {
            break; // further copies bring too little gain
        }
        auto layout = layoutOf(sets);
        const double skew = layoutSkew(layout, demand, options.slowness);
        stages.push_back({.layout = std::move(layout), .copies = copies, .skew = skew});
    }
    return stages;
}

std::size_t fastestGainStage(const std::vector<LayoutStage> &stages, double skew,
                             std::chrono::duration<double> timePerCopy, std::chrono::duration<double> timePerSwitch)
{
    std::size_t best = 0;
    double bestRate = 0;
    for (std::size_t stage = 0; stage < stages.size(); ++stage) {
        const auto time = timePerSwitch + timePerCopy * static_cast<double>(stages[stage].copies);
        const double rate = (skew - stages[stage].skew) / time.count();
        if (rate > bestRate) {
            best = stage;
            bestRate = rate;
        }
    }
    return best;
}

SetLayout improveSetLayout(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options)
{
    CopyBudget budget{.used = std::vector<std::size_t>(current.size(), 0),
                      .limit = std::numeric_limits<std::size_t>::max()};
    SetImprover improver(current, demand, options, budget);
    while (improver.improve()) {
    }
    return improver.layout();
}

} // namespace Heatherridge
