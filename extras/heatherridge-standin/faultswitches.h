#pragma once

#include "heatherridge_state/base/result.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** A switch that a test or an operator can set while a stand-in runs. */
struct FaultSwitch
{
    std::string name{}; ///< the key in the JSON map and, after `--`, the option on the command line
    long long value = 0; ///< the initial value; 0 disables a fault
    std::string summary{}; ///< one line of text for --help
};

/** The switches of one stand-in. All values are whole numbers; true and false are 1 and 0. Not thread-safe. */
class FaultSwitches
{
public:
    /** Declares @p switches; no other names can be set later. */
    explicit FaultSwitches(std::vector<FaultSwitch> switches);

    /** Returns the value of @p name, which must have been declared. */
    long long value(std::string_view name) const;

    /** Sets all switches named in @p map, or none of them if one is unknown or not a whole number. */
    Outcome set(const nlohmann::json &map);

    /** Returns all switches and their values as a JSON object. */
    nlohmann::json toJson() const;

    /** Returns the declared switches with their current values. */
    const std::map<std::string, FaultSwitch, std::less<>> &all() const;

private:
    std::map<std::string, FaultSwitch, std::less<>> m_switches;
};

} // namespace Heatherridge
