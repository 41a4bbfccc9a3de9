#include "heatherridge_coordination/groups/engineorder.h"

#include "heatherridge_state/base/result.h"

namespace Heatherridge
{

MapNumber mapOf(const EngineOrder &order)
{
    return std::visit(Visitor{
                          [](const LoadWeights &load) { return load.map.number(); },
                          [](const EnterEpoch &enter) { return enter.epoch.map.number(); },
                          [](const PollEngine &) { return MapNumber{}; },
                          [](const LeaveEpoch &) { return MapNumber{}; },
                          [](const auto &other) { return other.map; },
                      },
                      order);
}

} // namespace Heatherridge
