#include "heatherridge_state/decisions/healthtracker.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Part that older attempts keep when a new one comes: a memory of about 20. */
constexpr double Fading = 0.95;

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
        m_ejected -= state->second.ejected ? 1 : 0;
        m_states.erase(state);
    }
}

void HealthTracker::record(const TargetName &target, Attempt attempt, SteadyTime now)
{
    const auto entry = m_states.find(target);
    if (entry == m_states.end()) {
        return;
    }
    State &state = entry->second;
    const bool succeeded = attempt == Attempt::Succeeded;
    if (state.ejected) {
        recordProbe(state, succeeded, now);
        return;
    }
    state.attempts = state.attempts * Fading + 1;
    state.failures = state.failures * Fading + (succeeded ? 0 : 1);
    state.failuresInRow = succeeded ? 0 : state.failuresInRow + 1;
    const bool failsOften =
        state.attempts >= m_options.fewestAttempts && state.failures >= m_options.errorShareToEject * state.attempts;
    if (state.failuresInRow >= m_options.failuresToEject || (!succeeded && failsOften)) {
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
    const bool crawls = slowness >= m_options.slownessToEject;
    if (crawls && !state.ejected) {
        eject(state, now);
    } else if (crawls && now >= state.until) {
        recordProbe(state, false, now);
    }
}

Health HealthTracker::healthOf(const TargetName &target, SteadyTime now) const
{
    const auto entry = m_states.find(target);
    if (entry == m_states.end() || !entry->second.ejected) {
        return Health::Healthy;
    }
    return now < entry->second.until ? Health::Ejected : Health::Probing;
}

std::size_t HealthTracker::ejectedCount() const
{
    return m_ejected;
}

/** Answers that come while the target is still out belong to work sent before; they neither free nor blame it. */
void HealthTracker::recordProbe(State &state, bool succeeded, SteadyTime now)
{
    if (now < state.until) {
        return;
    }
    if (!succeeded) {
        state.probesPassed = 0;
        state.span = std::min(state.span * 2, m_options.longestEjection);
        state.until = now + state.span;
        return;
    }
    if (++state.probesPassed >= m_options.probesToRecover) {
        state = State{};
        --m_ejected;
    }
}

void HealthTracker::eject(State &state, SteadyTime now)
{
    if (!mayEject()) {
        return;
    }
    state = State{.ejected = true, .until = now + m_options.firstEjection, .span = m_options.firstEjection};
    ++m_ejected;
}

/** With few targets the share rounds down to none; then one of two or more may still go. */
bool HealthTracker::mayEject() const
{
    const auto share = static_cast<std::size_t>(m_options.mostEjected * static_cast<double>(m_states.size()));
    const std::size_t most = m_states.size() >= 2 ? std::max<std::size_t>(share, 1) : 0;
    return m_ejected < most;
}

} // namespace Heatherridge
