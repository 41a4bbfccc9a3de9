#pragma once

#include "heatherridge_protocol/rulesmessage.h"
#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * The newest of the drained zones that several gateways have read from the register.
 *
 * Those read up to a higher position are newer. After a restore of the register positions begin lower; then the old
 * ones are not stated any more, and are replaced after Lifetime. Single-threaded; time comes from the caller.
 */
class NewestDrains
{
public:
    /** How long drained zones are kept against those read up to a lower position, after they were last stated. */
    static constexpr std::chrono::milliseconds Lifetime{5'000};

    /** Takes @p drains unless the ones known are newer. @returns whether they have not been known */
    bool take(const ZoneDrains &drains, SteadyTime now);

    /** Replaces the ones known, whatever their position, by those that this process has read itself. */
    void replace(ZoneDrains drains, SteadyTime now);

    /** Records that the ones known are still stated. */
    void confirm(SteadyTime now);

    /** Returns the ones known, however old. */
    const std::optional<ZoneDrains> &value() const;

    /** Returns the ones known, if they were stated within Lifetime. */
    std::optional<ZoneDrains> current(SteadyTime now) const;

private:
    bool isCurrent(SteadyTime now) const;

    std::optional<ZoneDrains> m_newest;
    SteadyTime m_statedAt{};
};

} // namespace Heatherridge
