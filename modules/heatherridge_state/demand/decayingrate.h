#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>

namespace Heatherridge
{

/**
 * Exponentially weighted rate of events.
 *
 * After a step of the true rate the value has covered 63% of the step within one time constant. Events with a time
 * before the last recorded one count as simultaneous with it. Value type, single-threaded.
 */
class DecayingRate
{
public:
    /** A shorter one gives rates of small workspaces that are mostly noise, a longer one lags behind bursts. */
    static constexpr std::chrono::duration<double> TimeConstant{1};

    void record(SteadyTime now);

    /** Returns events per second. */
    double perSecond(SteadyTime now) const;

private:
    double m_perSecond = 0; ///< at m_updatedAt
    SteadyTime m_updatedAt{};
};

} // namespace Heatherridge
