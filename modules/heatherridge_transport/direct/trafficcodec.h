#pragma once

#include "heatherridge_state/decisions/targetstatement.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What a caller's headers state about its request. */
struct CallerFields
{
    RequestId id{}; ///< of this attempt of the caller; null if it sent none
    std::optional<std::chrono::milliseconds> timeout{}; ///< how long the caller waits for the response
    std::string apiKey{};
    std::optional<std::uint64_t> lastEventId{}; ///< last event of the stream that the caller has received
    /** Ids of the parts of the prompt that it may share with other requests, in order; bounded in number. */
    std::vector<std::uint64_t> promptParts{};
    bool isWellFormed = true; ///< false if one of the fields cannot be parsed
};

/** Fields that the gateway adds to a request before it forwards it to a target. */
struct ForwardFields
{
    std::chrono::milliseconds timeLeft{}; ///< the target stops its work after this time
    TargetName target{}; ///< any other target rejects the request
    WorkspaceName workspace{}; ///< null for a public route without a known key
    std::optional<std::uint64_t> lastEventId{}; ///< the stream resumes after this event
    std::optional<int> priority{}; ///< 0 is the most urgent; set for streams, which engines admit by priority
};

/** Load that a target reports. */
struct TargetLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** What the headers of a target's response state. */
struct TargetResponseFields
{
    RequestId id{}; ///< of the request that the response belongs to
    bool isSigned = false; ///< the response carries the target's own signature
    bool isNotExecuted = false; ///< the target states that it did not execute the request and will not
    std::optional<TargetLoad> load{};
    std::vector<TargetStatement> statements{}; ///< on the requests that the target accepts
    bool hasMalformedStatement = false; ///< a header on them has a value that cannot be used
    std::optional<std::chrono::seconds> idleTimeout{}; ///< idle time after which the target closes this connection
    bool isEncoded = false; ///< the body has a content encoding, so it is not the target's own
};

/** Translates between the HTTP headers of one platform and fields. Stateless; any thread. Makes no decisions. */
class TrafficCodec
{
public:
    virtual ~TrafficCodec() = default;

    /** Returns the fields in the @p headers of a caller's request. */
    virtual CallerFields readCallerFields(const std::vector<HttpHeader> &headers) const = 0;

    /** Returns @p callerHeaders with the caller's headers on routing, deadline and identity replaced by @p fields. */
    virtual std::vector<HttpHeader> forwardedHeaders(std::vector<HttpHeader> callerHeaders,
                                                     const ForwardFields &fields) const = 0;

    /** Returns the fields in the head of a target's response. */
    virtual TargetResponseFields readResponseFields(int status, const std::vector<HttpHeader> &headers) const = 0;

    /** Returns the response for a request that this process itself rejects or fails. */
    virtual HttpResponse errorResponse(const Error &error, const RequestId &id) const = 0;
};

} // namespace Heatherridge
