#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/ownedpartitions.h"

#include <chrono>
#include <deque>

namespace Heatherridge
{

/** Options of a SlackShare. */
struct SlackShareOptions
{
    std::chrono::seconds window{10}; ///< in which the use of the slack is limited
    SteadyTime start{}; ///< of the process
    bool isSoleUser = false; ///< no other process uses the slack, neither now nor before this one started
};

/**
 * The fraction of a slack, common to all processes, that this process may use.
 *
 * Load pattern: processes start again, join, leave or lose contact with the log while a fault makes all of them use the
 * slack. Each partition of the log stands for a part of the slack. A process uses the part of a partition only after it
 * has owned it for a whole window and a lease: whatever an earlier owner has used, also an earlier run of this process,
 * has left the window by then. All uses in a window thus rest on partitions that were owned at its beginning, when each
 * had one owner.
 *
 * A small reserve is divided by the partitions that a process has for a shorter time, in proportion to that time, and
 * by those whose lease has expired unconfirmed, so that a process without contact to the log is not left with nothing.
 * Single-threaded.
 */
class SlackShare
{
public:
    /** Fraction of the slack that is divided by the partitions held for a whole window. */
    static constexpr double HeldFraction = 0.75;
    /** Fraction for partitions held for a shorter time; as much again is for those whose lease has expired. */
    static constexpr double ReserveFraction = (1 - HeldFraction) / 2;

    explicit SlackShare(SlackShareOptions options);

    void setWindow(std::chrono::seconds window);

    /** Sets the partitions that this process owns. */
    void setPartitions(const OwnedPartitions &owned, SteadyTime now);

    /** Returns the fraction of the slack that this process may use in the window that ends at @p now. */
    double usableFraction(SteadyTime now);

    /** Returns the least fraction of all partitions that this process has owned in the window that ends at @p now. */
    double heldFraction(SteadyTime now);

    /** Returns whether no earlier run of this process has used a budget in the window that ends at @p now. */
    bool isPastKnown(SteadyTime now) const;

private:
    /** A period in which the owned partitions did not change; it lasts until the next one. */
    struct Period
    {
        SteadyTime since{};
        double fraction = 0; ///< of all partitions, as last confirmed
        bool isConfirmed = false;
    };

    SteadyTime windowStart(SteadyTime now) const;
    void advance(SteadyTime now);
    double meanFraction(SteadyTime now) const;

    SlackShareOptions m_options;
    std::deque<Period> m_periods; ///< since the start of the window, oldest first
    SteadyTime m_validUntil{};
    std::chrono::milliseconds m_lease{0};
};

} // namespace Heatherridge
