#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/config/inventory.h"

#include <chrono>

namespace Heatherridge
{

/** One target as it registered itself. A value. */
struct TargetEntry
{
    TargetName id{}; ///< of this run of the target, mostly
    ServiceName service{};
    Endpoint address{};
    ZoneName zone{};
    int slots = 1; ///< requests that it runs at once
    bool isDraining = false; ///< takes nothing new
    std::chrono::milliseconds coldFor{0}; ///< how much longer it is slow after its start

    bool operator==(const TargetEntry &) const = default;
};

} // namespace Heatherridge
