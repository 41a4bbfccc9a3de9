#pragma once

#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What a caller says of its request beside method, target and body. */
struct CallerFields
{
    RequestId id{}; ///< of this attempt of the caller; null when it gave none
    std::optional<std::chrono::milliseconds> timeout{}; ///< how long the caller waits
    std::string apiKey{};
    std::optional<std::uint64_t> lastEventId{}; ///< it has the stream up to this event
    bool isWellFormed = true; ///< false when one of the fields cannot be read
};

/** What a target is told beside what the caller said. */
struct ForwardFields
{
    std::chrono::milliseconds timeLeft{}; ///< the target stops work then
    TargetName target{}; ///< any other target refuses the request
    WorkspaceName workspace{}; ///< null for a public route without a known key
    std::optional<std::uint64_t> lastEventId{}; ///< a stream goes on behind this event
    std::optional<int> priority{}; ///< 0 is the most urgent; of a stream, which an engine lets in by priority
};

/** How busy a target says it is. */
struct TargetLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** What a target's answer says beside status and body. */
struct TargetResponseFields
{
    RequestId id{}; ///< of the request that it answers
    bool isSigned = false; ///< it bears the target's own signature
    bool isNotExecuted = false; ///< the target says that it did not run the request and will not
    std::optional<TargetLoad> load{};
    std::optional<double> requestsPerSecond{}; ///< that the target takes from all entries together, while it says so
    std::optional<std::chrono::seconds> idleTimeout{}; ///< when the target closes this connection
    bool isEncoded = false; ///< the body is not the target's own
};

/** How traffic is spelled on one platform. Stateless; any thread. Decides nothing. */
class TrafficCodec
{
public:
    virtual ~TrafficCodec() = default;

    /** What @p headers of a caller say. */
    virtual CallerFields readCallerFields(const std::vector<HttpHeader> &headers) const = 0;

    /** @p callerHeaders with the caller's own words on routing, deadline and identity replaced by @p fields. */
    virtual std::vector<HttpHeader> forwardedHeaders(std::vector<HttpHeader> callerHeaders,
                                                     const ForwardFields &fields) const = 0;

    /** What the head of a target's answer says. */
    virtual TargetResponseFields readResponseFields(int status, const std::vector<HttpHeader> &headers) const = 0;

    /** A refusal or failure of this process's own. */
    virtual HttpResponse errorResponse(const Error &error, const RequestId &id) const = 0;
};

} // namespace Heatherridge
