#include "heatherridge_transport/app/logratelimiter.h"

#include <utility>

namespace Heatherridge
{

LogRateLimiter::Decision LogRateLimiter::admit(std::string_view event, SteadyTime now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto found = m_windows.find(event);
    if (found == m_windows.end()) {
        found = m_windows.emplace(std::string(event), Window{.second = second}).first;
    }
    auto &window = found->second;
    Decision decision;
    if (window.second != second) {
        decision.suppressedLines = std::exchange(window.suppressedLines, 0);
        window.second = second;
        window.lines = 0;
    }
    decision.shouldWrite = window.lines < LinesPerSecond;
    window.lines += decision.shouldWrite ? 1 : 0;
    window.suppressedLines += decision.shouldWrite ? 0 : 1;
    return decision;
}

} // namespace Heatherridge
