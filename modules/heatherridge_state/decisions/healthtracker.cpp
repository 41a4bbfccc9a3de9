#include "heatherridge_state/decisions/healthtracker.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Factor applied to the weight of earlier attempts at each new one: an effective memory of about 20 attempts. */
constexpr double DecayFactor = 0.95;

} // namespace

HealthTracker::HealthTracker(HealthOptions options)
    : m_options(options)
{
}

void HealthTracker::add(const TargetName &target)
{
    m_states.try_emplace(target);
}

void HealthTracker::remove(const TargetName &target)
{
    const auto state = m_states.find(target);
    if (state != m_states.end()) {
        m_ejectedCount -= state->second.ejected ? 1 : 0;
        m_states.erase(state);
    }
}

void HealthTracker::record(const TargetName &target, AttemptOutcome attempt, SteadyTime now)
{
    const auto entry = m_states.find(target);
    if (entry == m_states.end()) {
        return;
    }
    State &state = entry->second;
    const bool succeeded = attempt == AttemptOutcome::Succeeded;
    if (state.ejected) {
        recordProbeResult(state, succeeded, now);
        return;
    }
    state.attempts = state.attempts * DecayFactor + 1;
    state.failures = state.failures * DecayFactor + (succeeded ? 0 : 1);
    state.failuresInRow = succeeded ? 0 : state.failuresInRow + 1;
    const bool exceedsErrorRate =
        state.attempts >= m_options.minAttempts && state.failures >= m_options.errorRateToEject * state.attempts;
    if (state.failuresInRow >= m_options.failuresToEject || (!succeeded && exceedsErrorRate)) {
        eject(state, now);
    }
}

void HealthTracker::recordSlowness(const TargetName &target, double slowness, SteadyTime now)
{
    const auto entry = m_states.find(target);
    if (entry == m_states.end()) {
        return;
    }
    State &state = entry->second;
    const bool isTooSlow = slowness >= m_options.slownessToEject;
    if (isTooSlow && !state.ejected) {
        eject(state, now);
    } else if (isTooSlow && now >= state.ejectedUntil) {
        recordProbeResult(state, false, now);
    }
}

Health HealthTracker::healthOf(const TargetName &target, SteadyTime now) const
{
    const auto entry = m_states.find(target);
    if (entry == m_states.end() || !entry->second.ejected) {
        return Health::Healthy;
    }
    return now < entry->second.ejectedUntil ? Health::Ejected : Health::Probing;
}

std::size_t HealthTracker::ejectedCount() const
{
    return m_ejectedCount;
}

/**
 * Ignores outcomes that arrive while the target is still ejected: they belong to requests sent before the ejection and
 * count neither for nor against it.
 */
void HealthTracker::recordProbeResult(State &state, bool succeeded, SteadyTime now)
{
    if (now < state.ejectedUntil) {
        return;
    }
    if (!succeeded) {
        state.successfulProbes = 0;
        state.ejectionDuration = std::min(state.ejectionDuration * 2, m_options.maxEjection);
        state.ejectedUntil = now + state.ejectionDuration;
        return;
    }
    if (++state.successfulProbes >= m_options.probesToRecover) {
        state = State{};
        --m_ejectedCount;
    }
}

void HealthTracker::eject(State &state, SteadyTime now)
{
    if (!canEject()) {
        return;
    }
    state = State{.ejected = true,
                  .ejectedUntil = now + m_options.initialEjection,
                  .ejectionDuration = m_options.initialEjection};
    ++m_ejectedCount;
}

/** With few targets the share rounds down to zero; one of two or more targets may still be ejected. */
bool HealthTracker::canEject() const
{
    const auto share = static_cast<std::size_t>(m_options.maxEjectedShare * static_cast<double>(m_states.size()));
    const std::size_t maxEjected = m_states.size() >= 2 ? std::max<std::size_t>(share, 1) : 0;
    return m_ejectedCount < maxEjected;
}

} // namespace Heatherridge
