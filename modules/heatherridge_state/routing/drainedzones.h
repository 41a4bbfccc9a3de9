#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <optional>
#include <set>

namespace Heatherridge
{

/** An operator's order about one availability zone, as stored in the register of rules. */
struct ZoneDrain
{
    ZoneName zone{};
    bool isInForce = true; ///< false once the order has been withdrawn
    bool isMalformed = false; ///< the order has a value that cannot be read; the order itself still holds
};

/**
 * The availability zones that the operator has drained: their targets get no new requests until the order is withdrawn.
 *
 * After the register was restored from an older copy, an order may be missing until the operator writes it again. Such
 * an order stays in force for RestoreGrace. Must be used from one thread.
 */
class DrainedZones
{
public:
    /** How long after a restore of the register an order may be missing that is still in force. */
    static constexpr std::chrono::milliseconds RestoreGrace{5'000};

    /** Applies one order. @returns whether it changes the drained zones */
    bool apply(const ZoneDrain &order);

    /** Replaces all orders by those for @p zones. @returns whether that changes the drained zones */
    bool replaceAll(const std::set<ZoneName> &zones, SteadyTime now);

    /** Records that the register was restored from an older copy. */
    void noteRegisterRestored(SteadyTime now);

    /** Ends the orders that are still missing after a restore. @returns whether that changes the drained zones */
    bool tick(SteadyTime now);

    /** Returns the drained zones. */
    const std::set<ZoneName> &zones() const;

private:
    std::set<ZoneName> m_zones;
    std::set<ZoneName> m_missing; ///< of these, those whose order is missing since a restore of the register
    std::optional<SteadyTime> m_restoredAt;
};

} // namespace Heatherridge
