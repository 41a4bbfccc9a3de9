#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/groups/placement.h"
#include "heatherridge_state/groups/popularityestimator.h"

#include <chrono>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** How the load changes over a trace. */
enum class TraceKind {
    Drift, ///< each expert's popularity follows a random walk
    Season, ///< popularity oscillates, with a different phase for each expert
    HotExpert, ///< two experts per layer suddenly become six times as popular, and later return to normal
    SlowRank, ///< one rank takes longer for the same work during the middle half of the trace
    Noise, ///< no change other than the sampling noise that all traces have
};

/** Returns all kinds in the order in which they are reported. */
std::span<const TraceKind> allTraceKinds();

/** Returns the name of @p kind for the command line and tables. */
std::string_view toString(TraceKind kind);

/** Parameters of a trace. */
struct TraceOptions
{
    GroupShape shape{};
    TraceKind kind = TraceKind::Drift;
    std::uint64_t seed = 1;
    int windows = 1;
    std::chrono::duration<double> windowLength{10};
    double tokensPerLayer = 500'000; ///< tokens routed in one window; determines the sampling noise
};

/** Generates the actual load of a group over time and the reports of its ranks; deterministic for given options. */
class LoadTrace
{
public:
    /** Creates a trace positioned before its first window. */
    explicit LoadTrace(const TraceOptions &options);

    /** Advances to the next window. */
    void advance();

    /** Returns the actual number of tokens routed to each expert in this window, and each rank's actual slowness. */
    const GroupProblem &currentProblem() const;

    /** Returns what the ranks measure in this window with @p map in effect. */
    std::vector<RankReport> reports(const ExpertMap &map, std::uint64_t window) const;

private:
    double popularity(int layer, int expert);

    TraceOptions m_options;
    SeededRandom m_random;
    std::vector<double> m_logPopularity; ///< logarithm of each expert's base popularity, layer by layer
    std::vector<double> m_phaseTurns; ///< phase of each expert's seasonal oscillation, in turns
    int m_window = 0;
    GroupProblem m_problem;
};

} // namespace Heatherridge
