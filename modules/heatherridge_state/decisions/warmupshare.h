#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/decisions/ownedpartitions.h"

#include <map>

namespace Heatherridge
{

/** Requests a second that a target accepts from all entries together while it warms up. */
struct WarmUpRate
{
    double perSecond = 0;
    double reserve = 0; ///< that it bears beyond `perSecond`
};

/**
 * Divides the request rate of warming targets among the entries.
 *
 * Each partition of the log stands for a fixed part of a target's rate, and the parts of all partitions add up to the
 * rate. An entry uses the parts of the partitions that it owns. It uses a new partition only after the previous owner
 * has stopped and the previous owner's requests have left the window in which requests are counted, and uses none while
 * its ownership is not confirmed. An entry that has just started must not refuse everything for that long: it uses the
 * parts of its partitions in a half of the reserve instead, so that a partition may change its owner twice meanwhile.
 * Which partitions stand for one request more than others differs from target to target. Single-threaded.
 */
class WarmUpShare
{
public:
    /** Replaces the partitions that this process owns. */
    void setPartitions(const OwnedPartitions &owned, SteadyTime now);

    /** Returns how many requests this entry may send to @p target in WarmUpLimit::Window while the target warms up. */
    int maxRequests(const TargetName &target, const WarmUpRate &rate, SteadyTime now) const;

private:
    /** From when on this entry may use the parts of a partition. */
    struct Use
    {
        SteadyTime rateFrom{};
        bool usesReserveBefore = false;
    };

    OwnedPartitions m_owned;
    std::map<int, Use> m_uses; ///< of each owned partition
    bool m_hasOwned = false; ///< whether this process has owned partitions before
};

} // namespace Heatherridge
