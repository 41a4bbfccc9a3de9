#pragma once

#include "scenario.h"

#include <span>
#include <string_view>

namespace Heatherridge::PolicyModel
{

/** Request rate per second at which goodput peaks with the default engines and workload, as measured by
 * heatherridge-policies.
 */
inline constexpr double PeakRate = 125;

/** A load pattern for the default deployment. */
struct LoadPattern
{
    std::string_view name;
    std::string_view summary; ///< one-line description, printed in tables and by failing tests
    ScenarioOptions (*make)();
};

/** Returns all patterns, which the tests run and heatherridge-policies measures. */
std::span<const LoadPattern> allLoadPatterns();

/** Returns the options of the pattern called @p name, which must exist. */
ScenarioOptions loadPattern(std::string_view name);

} // namespace Heatherridge::PolicyModel
