#include "heatherridge_transport/direct/targetresponse.h"

namespace Heatherridge
{

namespace
{

/** Returns whether @p head can begin a final response to the caller. */
bool isFinalInProtocol(const HttpMessageHead &head)
{
    // The length in a 304 is that of the full response, which it stands for.
    const bool isEmpty = !head.isChunked && (head.status == 304 || head.contentLength.value_or(0) == 0);
    return head.status >= 200 && head.status <= 599 && (isEmpty || isBodyAllowed(head.status));
}

} // namespace

void TargetResponse::setHead(const HttpMessageHead &head, TargetResponseFields fields, const RequestId &request)
{
    m_status = head.status;
    m_headers = head.headers;
    m_headBytes = allocatedBytes(m_headers);
    m_endsWithConnection = head.endsWithConnection;
    m_fields = std::move(fields);
    m_belongsToRequest = m_fields.id == request;
    const bool isAnswer = m_fields.isSigned && !m_fields.isNotExecuted;
    m_isUsable = m_belongsToRequest && isAnswer && !m_fields.isEncoded && isFinalInProtocol(head);
}

bool TargetResponse::beginBody(std::size_t size)
{
    m_hasBodyBegun = m_hasBodyBegun || m_isUsable;
    m_ignoredBytes += m_isUsable ? 0 : size;
    return m_isUsable;
}

bool TargetResponse::hasExcessBytes() const
{
    return m_ignoredBytes > MaxIgnoredBytes;
}

void TargetResponse::append(std::string_view bytes)
{
    m_body.append(bytes);
}

std::size_t TargetResponse::bufferedBytes() const
{
    return m_headBytes + m_body.size();
}

void TargetResponse::discard()
{
    m_isUsable = false;
    m_body = {};
    m_headers = {};
    m_headBytes = 0;
}

int TargetResponse::status() const
{
    return m_status;
}

const std::vector<HttpHeader> &TargetResponse::headers() const
{
    return m_headers;
}

const TargetResponseFields &TargetResponse::fields() const
{
    return m_fields;
}

bool TargetResponse::hasBodyBegun() const
{
    return m_hasBodyBegun;
}

bool TargetResponse::isUsable() const
{
    return m_isUsable;
}

bool TargetResponse::endsWithConnection() const
{
    return m_endsWithConnection;
}

bool TargetResponse::belongsToRequest() const
{
    return m_belongsToRequest;
}

AttemptResult TargetResponse::plainResult() const
{
    if (m_fields.isNotExecuted && m_belongsToRequest) {
        return AttemptResult::RefusedAtTarget;
    }
    if (!m_isUsable) {
        return AttemptResult::InvalidAnswer;
    }
    const bool impliesNotExecuted = m_status == 408 || m_status == 421 || m_status == 429 || m_status == 503;
    if (impliesNotExecuted) {
        // The status implies that the request has not run, but the target does not confirm it.
        return AttemptResult::InvalidAnswer;
    }
    return m_status >= 500 ? AttemptResult::FailedAtTarget : AttemptResult::Answered;
}

HttpResponse TargetResponse::take()
{
    return {.status = m_status, .headers = std::move(m_headers), .body = m_body.take()};
}

} // namespace Heatherridge
