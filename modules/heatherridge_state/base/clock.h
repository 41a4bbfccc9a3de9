#pragma once

#include <chrono>

namespace Heatherridge
{

/** A point on this process's own steady time line; not comparable between processes. */
using SteadyTime = std::chrono::steady_clock::time_point;
/** A point of calendar time, in milliseconds; hosts may disagree by minutes. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** Where a component reads the time from, so that tests can set it. All methods may be called from any thread. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Steady time, for durations. */
    virtual SteadyTime steadyNow() const = 0;

    /** Calendar time, for what people read and for the age of keys. */
    virtual WallTime wallNow() const = 0;
};

/** The machine's clock. */
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
