#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/http/httpmessages.h"

namespace Heatherridge
{

/** What the back end is sent for @p request: the caller's own, with its id and priority in headers. */
HttpRequest backendRequest(const SubmitRequest &request);

/** The head of the back end's answer to the attempt @p id as the entry gets it, without what concerns one connection.
 */
AnswerHead answerHead(const RequestId &id, int status, const std::vector<HttpHeader> &headers);

} // namespace Heatherridge
