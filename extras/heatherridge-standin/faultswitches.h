#pragma once

#include "heatherridge_state/base/result.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** One switch that a test or an operator can set while a stand-in runs. */
struct FaultSwitch
{
    std::string name{}; ///< as in the JSON map and after `--` on the command line
    long long value = 0; ///< the value at start; 0 is off for faults
    std::string summary{}; ///< one line for --help
};

/** The switches of one stand-in. All values are whole numbers; yes and no are 1 and 0. One thread. */
class FaultSwitches
{
public:
    /** Declares @p switches; no other name can be set later. */
    explicit FaultSwitches(std::vector<FaultSwitch> switches);

    /** The value of @p name, which must have been declared. */
    long long value(std::string_view name) const;

    /** Sets the switches named in @p map, all or, when one is unknown or no whole number, none. */
    Outcome set(const nlohmann::json &map);

    /** All switches and their values. */
    nlohmann::json toJson() const;

    /** The switches as declared, with their present values. */
    const std::map<std::string, FaultSwitch, std::less<>> &all() const;

private:
    std::map<std::string, FaultSwitch, std::less<>> m_switches;
};

} // namespace Heatherridge
