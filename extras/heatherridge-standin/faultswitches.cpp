#include "faultswitches.h"

#include <cassert>

namespace Heatherridge
{

namespace
{

Error invalidSwitch(const std::string &reason)
{
    return Error{.kind = ErrorKind::BadRequest, .detail = reason};
}

} // namespace

FaultSwitches::FaultSwitches(std::vector<FaultSwitch> switches)
{
    for (auto &entry : switches) {
        auto name = entry.name;
        m_switches.emplace(std::move(name), std::move(entry));
    }
}

long long FaultSwitches::value(std::string_view name) const
{
    const auto found = m_switches.find(name);
    assert(found != m_switches.end());
    return found->second.value;
}

Outcome FaultSwitches::set(const nlohmann::json &map)
{
    if (!map.is_object()) {
        return invalidSwitch("the switches must be a JSON object");
    }
    for (const auto &[name, value] : map.items()) {
        if (!m_switches.contains(name)) {
            return invalidSwitch("unknown switch '" + name + "'");
        }
        if (!value.is_number_integer() && !value.is_boolean()) {
            return invalidSwitch("'" + name + "' must be a whole number");
        }
    }
    for (const auto &[name, value] : map.items()) {
        m_switches.find(name)->second.value =
            value.is_boolean() ? static_cast<long long>(value.get<bool>()) : value.get<long long>();
    }
    return std::monostate{};
}

nlohmann::json FaultSwitches::toJson() const
{
    auto map = nlohmann::json::object();
    for (const auto &[name, entry] : m_switches) {
        map[name] = entry.value;
    }
    return map;
}

const std::map<std::string, FaultSwitch, std::less<>> &FaultSwitches::all() const
{
    return m_switches;
}

} // namespace Heatherridge
