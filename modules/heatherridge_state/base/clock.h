#pragma once

#include <chrono>

namespace Heatherridge
{

/** A point in time on the monotonic clock of this process; not comparable between processes. */
using SteadyTime = std::chrono::steady_clock::time_point;
/** Wall-clock time in milliseconds; the clocks of two hosts may differ by minutes. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** Source of the current time, which tests can replace. All methods may be called from any thread. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Returns the monotonic time, for measuring durations. */
    virtual SteadyTime steadyNow() const = 0;

    /** Returns the wall-clock time, for human-readable output and for the age of idempotency keys. */
    virtual WallTime wallNow() const = 0;
};

/** Clock that reads the clocks of the operating system. */
class SystemClock final : public Clock
{
public:
    SteadyTime steadyNow() const override
    {
        return std::chrono::steady_clock::now();
    }

    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace Heatherridge
