#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/http/httpmessages.h"

namespace Heatherridge
{

/** Returns the HTTP request that is sent to the back end for @p request: the caller's request with its id and priority
 * added as headers. */
HttpRequest backendRequest(const SubmitRequest &request);

/** Returns the head of the back end's answer to the attempt @p id in the form sent to the entry, without headers that
 * apply to a single connection.
 */
AnswerHead answerHead(const RequestId &id, int status, const std::vector<HttpHeader> &headers);

} // namespace Heatherridge
