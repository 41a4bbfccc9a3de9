#include "heatherridge_state/decisions/slownesstracker.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr double SmoothingFactor = 0.1;
/** The median changes slowly, and sorting thousands of targets for each answer would cost more than it gains. */
constexpr std::chrono::milliseconds MedianLifetime{250};

} // namespace

void SlownessTracker::record(std::size_t target, std::chrono::microseconds timePerUnit, SteadyTime now)
{
    if (target >= m_states.size()) {
        m_states.resize(target + 1);
    }
    State &state = m_states[target];
    const auto measured = static_cast<double>(std::max(timePerUnit, std::chrono::microseconds(1)).count());
    state.smoothedTime =
        state.smoothedTime == 0 ? measured : state.smoothedTime * (1 - SmoothingFactor) + measured * SmoothingFactor;
    refreshMedian(now);
    // A target faster than its peers is treated as equally fast: it may look fast only because it is less loaded.
    const double relativeSpeed = std::clamp(m_median / state.smoothedTime, 1 / MaxSlowness, 1.0);
    state.slowness = 1 / state.relativeSpeed.moveTowards(relativeSpeed, now);
}

double SlownessTracker::slowness(std::size_t target) const
{
    return target < m_states.size() ? m_states[target].slowness : 1;
}

void SlownessTracker::reset(std::size_t target)
{
    if (target < m_states.size()) {
        m_states[target] = State{};
    }
}

void SlownessTracker::refreshMedian(SteadyTime now)
{
    if (m_medianAt && now - *m_medianAt < MedianLifetime) {
        return;
    }
    m_medianAt = now;
    std::vector<double> times;
    times.reserve(m_states.size());
    for (const auto &state : m_states) {
        if (state.smoothedTime > 0) {
            times.push_back(state.smoothedTime);
        }
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    m_median = *middle;
}

} // namespace Heatherridge
