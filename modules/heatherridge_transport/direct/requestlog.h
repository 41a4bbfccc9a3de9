#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/decisions/attemptresult.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace Heatherridge
{

/** What a gateway believed of the target of a request when it sent the request. */
struct RequestPlacement
{
    GroupName group{}; ///< the target's expert group; empty if it has none
    double load = 0; ///< estimated number of requests at the target
    std::chrono::milliseconds passTime{0}; ///< of the group
    std::chrono::milliseconds wait{0}; ///< from the request's arrival
};

/** The end of a request, as the log tells it. */
struct RequestEnd
{
    RequestId request{};
    std::string_view route{};
    ServiceName service{};
    int rank = 0; ///< priority of the caller, 0 is the highest
    bool isOverShare = false; ///< whether it last waited as a stream of a workspace over its fair share
    TargetName target{}; ///< of the last attempt
    RequestPlacement placement{}; ///< of the last attempt
    int attempts = 0;
    std::string_view outcome{};
    int status = 0;
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds timeToFirstEvent{0};
    std::chrono::milliseconds longestPause{0};
    std::chrono::milliseconds retryAfter{0}; ///< that a refused caller is told
    std::uint64_t configVersion = 0;
};

/** Writes the log line `request`. */
void logRequestEnd(const RequestEnd &end);

/** An attempt that did not bring the answer. */
struct AttemptEnd
{
    RequestId request{};
    AttemptResult result{};
    TargetName target{};
    std::string_view reason{};
    int attempts = 0;
    std::chrono::milliseconds age{0};
};

/** Writes the log line @p event about what follows an attempt. */
void logAttemptEnd(std::string_view event, const AttemptEnd &end);

} // namespace Heatherridge
