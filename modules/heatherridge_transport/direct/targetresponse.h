#pragma once

#include "heatherridge_state/decisions/attemptresult.h"
#include "heatherridge_transport/direct/trafficcodec.h"
#include "heatherridge_transport/http/httpmessagereader.h"

#include <string>
#include <string_view>

namespace Heatherridge
{

/** A target's response to one attempt, as far as it has arrived, and what it means for the attempt. */
class TargetResponse
{
public:
    /** Largest body of a plain service that is buffered; it is sent to the caller only once it is complete. */
    static constexpr std::size_t MaxBufferedBodyBytes = 8UL << 20U;

    /** Sets the head of the response. @p request is the id of the request that was sent. */
    void setHead(const HttpMessageHead &head, TargetResponseFields fields, const RequestId &request);

    /** Called when body bytes arrive. @returns whether the response may be used */
    bool beginBody();

    /** Buffers @p bytes of the body. A body that is too large makes the response unusable. */
    void append(std::string_view bytes);

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
    TargetResponseFields m_fields;
    std::string m_body;
    bool m_endsWithConnection = false;
    bool m_belongsToRequest = false;
    bool m_isUsable = true;
    bool m_hasBodyBegun = false;
};

} // namespace Heatherridge
