#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/http/httpmessages.h"

namespace Heatherridge
{

/** Name of the response header that carries the request id. Every response has it. */
inline constexpr std::string_view RequestIdHeader = "X-Request-Id";

/** Returns the response for @p error as `application/problem+json`: its kind, whether the request was executed, and
 * when to retry. */
HttpResponse problemResponse(const Error &error, const RequestId &id);

/** Returns the same details as the final event of a stream that has already started, which tells the caller that the
 * stream is incomplete. */
std::string problemEvent(const Error &error, const RequestId &id);

} // namespace Heatherridge
