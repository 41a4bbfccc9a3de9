#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/groups/placement.h"
#include "heatherridge_state/groups/popularityestimator.h"

#include <chrono>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** What changes over a trace. */
enum class TraceKind {
    Drift, ///< each expert's popularity walks at random
    Season, ///< popularity swings there and back, experts out of phase
    HotExpert, ///< at once two experts a layer get six times as popular; later they cool again
    SlowRank, ///< one rank takes longer for the same work during the middle half
    Noise, ///< nothing but the sampling noise that all traces have
};

/** All kinds in the order in which they are reported. */
std::span<const TraceKind> allTraceKinds();

/** The word for @p kind on the command line and in tables. */
std::string_view toString(TraceKind kind);

/** Sizes of a trace. */
struct TraceOptions
{
    GroupShape shape{};
    TraceKind kind = TraceKind::Drift;
    std::uint64_t seed = 1;
    int windows = 1;
    std::chrono::duration<double> windowLength{10};
    double tokensPerLayer = 500'000; ///< routed in one window; sets the sampling noise
};

/** The true load of a group over time, and what its ranks would report of it. The same for the same options. */
class LoadTrace
{
public:
    /** Starts before the first window. */
    explicit LoadTrace(const TraceOptions &options);

    /** Goes on by one window. */
    void advance();

    /** The tokens that really went to each expert in this window, and each rank's true speed. */
    const GroupProblem &currentProblem() const;

    /** What the ranks measured in this window with @p map in force. */
    std::vector<RankReport> reports(const ExpertMap &map, std::uint64_t window) const;

private:
    double popularity(int layer, int expert);

    TraceOptions m_options;
    SeededRandom m_random;
    std::vector<double> m_logPopularity; ///< logarithm of each expert's popularity, layer by layer
    std::vector<double> m_phaseTurns; ///< of the seasonal swing, in turns
    int m_window = 0;
    GroupProblem m_problem;
};

} // namespace Heatherridge
