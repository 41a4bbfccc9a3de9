#include "heatherridge_transport/direct/requestlog.h"

#include "heatherridge_transport/app/logger.h"

#include <string>

namespace Heatherridge
{

void logRequestEnd(const RequestEnd &end)
{
    logEvent(Severity::Info, "request",
             {{"request", end.request.text()},
              {"route", std::string(end.route)},
              {"service", end.service.text()},
              {"rank", std::to_string(end.rank)},
              {"over-share", end.isOverShare ? "yes" : "no"},
              {"target", end.target.text()},
              {"group", end.placement.group.text()},
              {"load", std::to_string(static_cast<int>(end.placement.load))},
              {"pass-ms", std::to_string(end.placement.passTime.count())},
              {"waited-ms", std::to_string(end.placement.wait.count())},
              {"tries", std::to_string(end.attempts)},
              {"outcome", std::string(end.outcome)},
              {"status", std::to_string(end.status)},
              {"ms", std::to_string(end.age.count())},
              {"first-event-ms", std::to_string(end.timeToFirstEvent.count())},
              {"longest-pause-ms", std::to_string(end.longestPause.count())},
              {"retry-after-ms", std::to_string(end.retryAfter.count())},
              {"config", std::to_string(end.configVersion)}});
}

void logAttemptEnd(std::string_view event, const AttemptEnd &end)
{
    logEvent(Severity::Info, event,
             {{"request", end.request.text()},
              {"after", std::string(toString(end.result))},
              {"target", end.target.text()},
              {"reason", std::string(end.reason)},
              {"tries", std::to_string(end.attempts)},
              {"age-ms", std::to_string(end.age.count())}});
}

} // namespace Heatherridge
