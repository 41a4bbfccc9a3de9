#include "heatherridge_state/groups/evenplacement.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>

namespace Heatherridge
{

namespace
{

/** Ranks that a copy may go to: the lightest ones, since a copy elsewhere gains less. */
constexpr std::size_t ReceiversLookedAt = 4;

/** Copies that ranks have been given over all sets, and how many each may be given. */
struct CopyBudget
{
    std::vector<std::size_t> used; ///< by rank
    std::size_t most;
};

/** Improves the layout of one set, one move at a time. */
class Improver
{
public:
    Improver(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options, CopyBudget &budget)
        : m_budget(budget)
        , m_current(current)
        , m_layout(current)
        , m_demand(demand)
        , m_options(options)
        , m_loads(rankTimes(current, demand, options.slowness))
        , m_holders(demand.size())
        , m_copies(current.size(), 0)
    {
        for (std::size_t rank = 0; rank < current.size(); ++rank) {
            for (const auto expert : current[rank]) {
                m_holders[expert].push_back(rank);
            }
        }
        m_mean = evenTime(current.size(), demand, options.slowness);
    }

    /** Makes the best move. @returns whether there was one that pays, within all bounds */
    bool improve()
    {
        const auto heaviest = heaviestRank();
        if (m_moves >= m_options.mostMoves || m_mean <= 0 || m_loads[heaviest] <= m_options.goodSkew * m_mean) {
            return false;
        }
        const auto best = bestMove(heaviest);
        if (!best) {
            return false;
        }
        apply(*best);
        ++m_moves;
        return true;
    }

    /** What passes take for this set beyond an even share. */
    double excess() const
    {
        return m_loads[heaviestRank()] - m_mean;
    }

    const SetLayout &layout() const
    {
        return m_layout;
    }

private:
    /** Another rank gets a copy, perhaps in place of one of its own; or, without a receiver, a rank drops one. */
    struct Move
    {
        std::optional<std::size_t> receiver{};
        std::uint16_t expert = 0;
        std::optional<std::uint16_t> evicted{}; ///< from the receiver
        std::optional<std::size_t> dropper{}; ///< a rank that drops `expert`
        double gain = 0; ///< in squared load
    };

    std::size_t heaviestRank() const
    {
        return static_cast<std::size_t>(std::max_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
    }

    std::vector<std::size_t> lightestRanks() const
    {
        std::vector<std::size_t> ranks(m_loads.size());
        std::iota(ranks.begin(), ranks.end(), 0);
        const auto looked = std::min(ReceiversLookedAt, ranks.size());
        std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(looked), ranks.end(),
                          [this](auto a, auto b) { return m_loads[a] < m_loads[b]; });
        ranks.resize(looked);
        return ranks;
    }

    bool holds(std::size_t rank, std::uint16_t expert) const
    {
        const auto &holders = m_holders[expert];
        return std::find(holders.begin(), holders.end(), rank) != holders.end();
    }

    bool wasThere(std::size_t rank, std::uint16_t expert) const
    {
        const auto &held = m_current[rank];
        return std::find(held.begin(), held.end(), expert) != held.end();
    }

    double slownessOf(std::size_t rank) const
    {
        return rank < m_options.slowness.size() ? m_options.slowness[rank] : 1;
    }

    /** How much the sum of squares falls when the loads of some ranks change as @p change says. */
    double squaresSaved(const std::vector<std::pair<std::size_t, double>> &changes)
    {
        // One rank may stand in several changes, so they are added up on a scratch copy of its load.
        m_touched.clear();
        for (const auto &[rank, delta] : changes) {
            auto found = std::find_if(m_touched.begin(), m_touched.end(),
                                      [rank = rank](const auto &entry) { return entry.first == rank; });
            if (found == m_touched.end()) {
                m_touched.emplace_back(rank, delta);
            } else {
                found->second += delta;
            }
        }
        double saved = 0;
        for (const auto &[rank, delta] : m_touched) {
            const double before = m_loads[rank];
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

    void addDropChanges(std::uint16_t expert, std::size_t dropper)
    {
        const auto holders = static_cast<double>(m_holders[expert].size());
        const double before = m_demand[expert] / holders;
        const double after = m_demand[expert] / (holders - 1);
        for (const auto rank : m_holders[expert]) {
            m_changes.emplace_back(rank, rank == dropper ? -before : after - before);
        }
    }

    std::optional<Move> bestMove(std::size_t heaviest)
    {
        std::optional<Move> best;
        const auto consider = [&](Move move) {
            const double least = move.receiver ? m_options.leastGain * m_mean * m_mean : 1e-9 * m_mean * m_mean;
            if (move.gain > least && (!best || move.gain > best->gain)) {
                best = move;
            }
        };
        const auto receivers = lightestRanks();
        for (const auto expert : m_layout[heaviest]) {
            considerDrop(heaviest, expert, consider);
            for (const auto receiver : receivers) {
                considerCopies(heaviest, receiver, expert, consider);
            }
        }
        return best;
    }

    template<typename Consider>
    void considerDrop(std::size_t dropper, std::uint16_t expert, const Consider &consider)
    {
        if (m_holders[expert].size() < 2) {
            return;
        }
        m_changes.clear();
        addDropChanges(expert, dropper);
        consider(Move{.expert = expert, .dropper = dropper, .gain = squaresSaved(m_changes)});
    }

    template<typename Consider>
    void considerCopies(std::size_t heaviest, std::size_t receiver, std::uint16_t expert, const Consider &consider)
    {
        if (receiver == heaviest || holds(receiver, expert)) {
            return;
        }
        const bool isCopied = !wasThere(receiver, expert);
        if (isCopied && (m_copies[receiver] >= m_options.newPerRank || m_budget.used[receiver] >= m_budget.most)) {
            return;
        }
        if (m_layout[receiver].size() < m_options.places) {
            m_changes.clear();
            addCopyChanges(expert, receiver);
            consider(Move{.receiver = receiver, .expert = expert, .gain = squaresSaved(m_changes)});
            return;
        }
        for (const auto evicted : m_layout[receiver]) {
            if (m_holders[evicted].size() < 2) {
                continue;
            }
            m_changes.clear();
            addCopyChanges(expert, receiver);
            addDropChanges(evicted, receiver);
            consider(Move{.receiver = receiver, .expert = expert, .evicted = evicted, .gain = squaresSaved(m_changes)});
        }
    }

    void apply(const Move &move)
    {
        if (move.dropper) {
            remove(move.expert, *move.dropper);
        }
        if (move.evicted) {
            remove(*move.evicted, *move.receiver);
        }
        if (move.receiver) {
            add(move.expert, *move.receiver);
        }
        m_loads = rankTimes(m_layout, m_demand, m_options.slowness);
    }

    void add(std::uint16_t expert, std::size_t rank)
    {
        m_layout[rank].push_back(expert);
        m_holders[expert].push_back(rank);
        if (!wasThere(rank, expert)) {
            ++m_copies[rank];
            ++m_budget.used[rank];
        }
    }

    void remove(std::uint16_t expert, std::size_t rank)
    {
        std::erase(m_layout[rank], expert);
        std::erase(m_holders[expert], rank);
        if (!wasThere(rank, expert)) {
            --m_copies[rank];
            --m_budget.used[rank];
        }
    }

    CopyBudget &m_budget;
    const SetLayout &m_current;
    SetLayout m_layout;
    const SetDemand &m_demand;
    const EvenPlacementOptions &m_options;
    std::vector<double> m_loads; ///< by rank: time, so a slow rank's load counts several times
    std::vector<std::vector<std::size_t>> m_holders; ///< by expert
    std::vector<std::size_t> m_copies; ///< by rank: experts to copy
    std::vector<std::pair<std::size_t, double>> m_changes;
    std::vector<std::pair<std::size_t, double>> m_touched;
    int m_moves = 0;
    double m_mean = 0; ///< time of each rank if all took equally long
};

/** Makes moves in the sets that delay passes most until none is left within the budget. */
void improveAll(std::vector<Improver> &sets)
{
    std::vector<bool> isDone(sets.size(), false);
    for (;;) {
        std::optional<std::size_t> worst;
        for (std::size_t set = 0; set < sets.size(); ++set) {
            if (!isDone[set] && (!worst || sets[set].excess() > sets[*worst].excess())) {
                worst = set;
            }
        }
        if (!worst) {
            return;
        }
        isDone[*worst] = !sets[*worst].improve();
    }
}

ExpertLayout layoutOf(const std::vector<Improver> &sets)
{
    ExpertLayout layout;
    layout.reserve(sets.size());
    for (const auto &set : sets) {
        layout.push_back(set.layout());
    }
    return layout;
}

} // namespace

std::vector<LayoutStage> improveInStages(const ExpertLayout &current, const std::vector<SetDemand> &demand,
                                         const EvenPlacementOptions &options, std::size_t mostCopies)
{
    const auto ranks = current.empty() ? 0 : current.front().size();
    CopyBudget budget{.used = std::vector<std::size_t>(ranks, 0), .most = 0};
    std::vector<Improver> sets;
    sets.reserve(current.size());
    for (std::size_t set = 0; set < current.size(); ++set) {
        sets.emplace_back(current[set], demand[set], options, budget);
    }
    std::vector<LayoutStage> stages;
    for (budget.most = 0; budget.most <= mostCopies; ++budget.most) {
        improveAll(sets);
        const auto copies = budget.used.empty() ? 0 : *std::max_element(budget.used.begin(), budget.used.end());
        if (!stages.empty() && copies < budget.most) {
            break; // no more copies are wanted
        }
        auto layout = layoutOf(sets);
        const double skew = layoutSkew(layout, demand, options.slowness);
        stages.push_back({.layout = std::move(layout), .copies = copies, .skew = skew});
    }
    return stages;
}

std::size_t quickestGain(const std::vector<LayoutStage> &stages, double skew, std::chrono::duration<double> perCopy,
                         std::chrono::duration<double> perSwitch)
{
    std::size_t best = 0;
    double bestRate = 0;
    for (std::size_t index = 0; index < stages.size(); ++index) {
        const auto time = perSwitch + perCopy * static_cast<double>(stages[index].copies);
        const double rate = (skew - stages[index].skew) / time.count();
        if (rate > bestRate) {
            best = index;
            bestRate = rate;
        }
    }
    return best;
}

SetLayout improveEvenly(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options)
{
    CopyBudget budget{.used = std::vector<std::size_t>(current.size(), 0),
                      .most = std::numeric_limits<std::size_t>::max()};
    Improver improver(current, demand, options, budget);
    while (improver.improve()) {
    }
    return improver.layout();
}

} // namespace Heatherridge
