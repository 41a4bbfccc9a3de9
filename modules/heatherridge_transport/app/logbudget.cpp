#include "heatherridge_transport/app/logbudget.h"

#include <utility>

namespace Heatherridge
{

LogBudget::Verdict LogBudget::ask(std::string_view event, SteadyTime now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto found = m_windows.find(event);
    if (found == m_windows.end()) {
        found = m_windows.emplace(std::string(event), Window{.second = second}).first;
    }
    auto &window = found->second;
    Verdict verdict;
    if (window.second != second) {
        verdict.leftOut = std::exchange(window.leftOut, 0);
        window.second = second;
        window.lines = 0;
    }
    verdict.isWritten = window.lines < LinesPerSecond;
    window.lines += verdict.isWritten ? 1 : 0;
    window.leftOut += verdict.isWritten ? 0 : 1;
    return verdict;
}

} // namespace Heatherridge
