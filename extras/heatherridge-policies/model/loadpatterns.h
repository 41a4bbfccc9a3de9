#pragma once

#include "scenario.h"

#include <span>
#include <string_view>

namespace Heatherridge::PolicyModel
{

/** Requests a second at which goodput peaks with the default engines and workload, as the measuring program finds it.
 */
inline constexpr double PeakRate = 125;

/** One pattern of load, on the default deployment. */
struct LoadPattern
{
    std::string_view name;
    std::string_view summary; ///< what happens, for the tables and for failing tests
    ScenarioOptions (*make)();
};

/** All patterns that the tests play and the measuring program measures. */
std::span<const LoadPattern> allLoadPatterns();

/** The options of the pattern named @p name, which must exist. */
ScenarioOptions loadPattern(std::string_view name);

} // namespace Heatherridge::PolicyModel
