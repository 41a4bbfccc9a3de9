#pragma once

#include <cstddef>
#include <variant>

namespace Heatherridge
{

/** Options of CostPlacement. Each can be switched off to measure its benefit. */
struct CostPlacementOptions
{
    /**
     * Number of targets drawn at random for comparison, in addition to those that hold the prefix. With more, entries
     * herd on the target that looks best in delayed reports.
     */
    std::size_t samples = 2;
    bool usePrefix = true; ///< whether cached prefixes are considered
    bool useReports =
        true; ///< whether the targets' reports are considered in addition to this entry's requests in flight
    /**
     * Price of a microsecond of zone delay relative to one of waiting: links between zones are shared, waiting is not.
     */
    double zonePrice = 2;

    bool operator==(const CostPlacementOptions &) const = default;
};

/** Chooses the usable targets in turn. */
struct RoundRobinOptions
{
    bool operator==(const RoundRobinOptions &) const = default;
};

/** Chooses the target with the fewest of this entry's requests in flight. */
struct LeastRequestsOptions
{
    bool operator==(const LeastRequestsOptions &) const = default;
};

/** Chooses the better of two targets drawn at random. */
struct TwoChoicesOptions
{
    bool operator==(const TwoChoicesOptions &) const = default;
};

/** Chooses the target that the beginning of the prompt hashes to. */
struct HashOptions
{
    bool operator==(const HashOptions &) const = default;
};

/** Placement policy and its options, from the section [placement] of the rule set. */
using PlacementRules =
    std::variant<CostPlacementOptions, RoundRobinOptions, LeastRequestsOptions, TwoChoicesOptions, HashOptions>;

} // namespace Heatherridge
