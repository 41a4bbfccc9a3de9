#pragma once

#include "heatherridge_state/decisions/attemptresult.h"
#include "heatherridge_transport/direct/bufferedbody.h"
#include "heatherridge_transport/direct/trafficcodec.h"
#include "heatherridge_transport/http/httpmessagereader.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** A target's response to one attempt, as far as it has arrived, and what it means for the attempt. */
class TargetResponse
{
public:
    /** Bytes of the body of an unusable response that are read to keep the connection. */
    static constexpr std::size_t MaxIgnoredBytes = 64UL << 10U;

    /** Sets the head of the response. @p request is the id of the request that was sent. */
    void setHead(const HttpMessageHead &head, TargetResponseFields fields, const RequestId &request);

    /** Called when @p size body bytes arrive. @returns whether the response may be used */
    bool beginBody(std::size_t size);

    /** Returns whether an unusable response has a body that is not worth reading to its end. */
    bool hasExcessBytes() const;

    /** Buffers @p bytes of the body, which is sent to the caller only once it is complete. */
    void append(std::string_view bytes);

    /** Returns the memory in bytes of the headers and of what is buffered of the body. */
    std::size_t bufferedBytes() const;

    /** Drops the headers and the buffered bytes and makes the response unusable. */
    void discard();

    /** Returns the status; 0 before the head. */
    int status() const;
    const std::vector<HttpHeader> &headers() const;
    const TargetResponseFields &fields() const;

    /** Returns whether body bytes of a usable response have arrived. */
    bool hasBodyBegun() const;

    /** Returns whether the bytes so far are the target's own response to the request. */
    bool isUsable() const;

    /** Returns whether only the end of the connection ends the body. */
    bool endsWithConnection() const;

    /** Returns whether the response has the id of the request. */
    bool belongsToRequest() const;

    /** Returns the result of an attempt with a complete response that is not a stream of events. */
    AttemptResult plainResult() const;

    /** Moves the response out, to send it to the caller. */
    HttpResponse take();

private:
    int m_status = 0;
    std::vector<HttpHeader> m_headers;
    std::size_t m_headBytes = 0; ///< memory of the headers
    TargetResponseFields m_fields;
    BufferedBody m_body;
    std::size_t m_ignoredBytes = 0;
    bool m_endsWithConnection = false;
    bool m_belongsToRequest = false;
    bool m_isUsable = true;
    bool m_hasBodyBegun = false;
};

} // namespace Heatherridge
