#include "heatherridge_state/membership/draintracker.h"

#include <algorithm>
#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 3> CauseNames{"planned-stop", "withdrawal", "signal"};

} // namespace

std::string_view toString(DrainCause cause)
{
    return CauseNames.at(static_cast<std::size_t>(cause));
}

void DrainTracker::setCause(DrainCause cause, bool holds, SteadyTime now)
{
    if (holds) {
        m_causes.try_emplace(cause, now);
    } else if (cause != DrainCause::Signal) {
        m_causes.erase(cause);
    }
}

void DrainTracker::begin(const RequestId &id, SteadyTime now)
{
    m_open.try_emplace(id, now);
}

void DrainTracker::end(const RequestId &id)
{
    m_open.erase(id);
}

bool DrainTracker::takesNew() const
{
    return m_causes.empty();
}

DrainPhase DrainTracker::phase() const
{
    if (m_causes.empty()) {
        return DrainPhase::Open;
    }
    return m_open.empty() ? DrainPhase::Drained : DrainPhase::Draining;
}

std::optional<DrainCause> DrainTracker::cause() const
{
    return m_causes.empty() ? std::nullopt : std::optional(m_causes.rbegin()->first);
}

std::optional<SteadyTime> DrainTracker::drainingSince() const
{
    if (m_causes.empty()) {
        return std::nullopt;
    }
    return std::min_element(m_causes.begin(), m_causes.end(),
                            [](const auto &a, const auto &b) { return a.second < b.second; })
        ->second;
}

std::vector<OpenWork> DrainTracker::open(std::size_t most) const
{
    std::vector<OpenWork> work;
    work.reserve(m_open.size());
    for (const auto &[id, since] : m_open) {
        work.push_back({.id = id, .since = since});
    }
    std::sort(work.begin(), work.end(), [](const auto &a, const auto &b) { return a.since < b.since; });
    work.resize(std::min(most, work.size()));
    return work;
}

std::size_t DrainTracker::openCount() const
{
    return m_open.size();
}

} // namespace Heatherridge
