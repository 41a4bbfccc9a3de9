#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/http/httpmessages.h"

namespace Heatherridge
{

/** The name of the header that carries a request's id in every answer. */
inline constexpr std::string_view RequestIdHeader = "X-Request-Id";

/** The answer for @p error as `application/problem+json`, with kind, whether the request ran, and when to ask again. */
HttpResponse problemResponse(const Error &error, const RequestId &id);

/** The same as the last event of a stream that had begun, so that its end says plainly that it is broken. */
std::string problemEvent(const Error &error, const RequestId &id);

} // namespace Heatherridge
