#pragma once

#include <cstddef>
#include <variant>

namespace Heatherridge
{

/** Options of CostPlacement; each can be switched off to measure what it is worth. */
struct CostPlacementOptions
{
    /** Targets drawn at random for comparison beside those that hold the prefix. With more, entries herd on the target
     * that looks best in reports that lag. */
    std::size_t samples = 2;
    bool usePrefix = true; ///< whether cached prefixes count
    bool useReports = true; ///< whether the targets' own reports count beside this entry's in-flight work
    /** Price of a microsecond of zone delay over one of waiting: links between zones are shared, waiting is not. */
    double zonePrice = 2;

    bool operator==(const CostPlacementOptions &) const = default;
};

/** The next target in turn. */
struct RoundRobinOptions
{
    bool operator==(const RoundRobinOptions &) const = default;
};

/** The target with the fewest own requests in flight. */
struct LeastRequestsOptions
{
    bool operator==(const LeastRequestsOptions &) const = default;
};

/** The better of two drawn at random. */
struct TwoChoicesOptions
{
    bool operator==(const TwoChoicesOptions &) const = default;
};

/** The target that the prompt's beginning hashes to. */
struct HashOptions
{
    bool operator==(const HashOptions &) const = default;
};

/** How entries choose targets, as the rule set's section [placement] says. */
using PlacementRules =
    std::variant<CostPlacementOptions, RoundRobinOptions, LeastRequestsOptions, TwoChoicesOptions, HashOptions>;

} // namespace Heatherridge
