#pragma once

#include "heatherridge_transport/http/httpexchange.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** A target's complete answer that is not a stream of events. */
struct WholeAnswer
{
    HttpResponse response{};
};

/** The last event of a stream has been forwarded. */
struct CompleteStream
{
    int status = 200; ///< of the target's answer, for a stream without events
    std::vector<HttpHeader> headers{}; ///< as above
};

/** No target has answered, or none may. */
struct LocalError
{
    HttpResponse response{};
    std::string reason{}; ///< for the log
};

/** The process stops, and the call gets no answer. */
struct AbandonedCall
{
};

/** How a call ends for its caller. */
using CallOutcome = std::variant<WholeAnswer, CompleteStream, LocalError, AbandonedCall>;

/**
 * What the caller of one call receives: at most one response, which is either complete or recognisably cut off.
 *
 * All paths on which a call can end lead to conclude(). Once a stream has begun, anything but its completion ends the
 * connection. Used on the traffic thread only.
 */
class CallerResponse : public std::enable_shared_from_this<CallerResponse>
{
public:
    /** Unsent bytes of an answer to a slow caller above which no more should be read from its target. */
    static constexpr std::size_t MaxUnsentBytes = 256UL << 10U;

    /** How the call ended, as the log tells it. */
    struct Conclusion
    {
        std::string outcome{};
        int status = 0; ///< that the caller received; 0 if none
    };

    explicit CallerResponse(std::shared_ptr<HttpExchange> exchange);

    /** Sets what is called when isFull() becomes false. */
    void onDrained(std::function<void()> drained);

    /** Returns whether the head of a stream has been sent. */
    bool hasBegun() const;

    /** Returns whether more than MaxUnsentBytes wait for the caller. */
    bool isFull() const;

    /** Sends @p event of a stream; before the first one the head, with @p status and @p headers. */
    void forward(std::string event, int status, const std::vector<HttpHeader> &headers);

    /** Ends the response. Call once. */
    Conclusion conclude(CallOutcome outcome);

private:
    Conclusion breakOff(std::string_view reason);

    std::shared_ptr<HttpExchange> m_exchange;
    std::function<void()> m_onDrained;
    bool m_hasBegun = false;
    std::size_t m_unsentBytes = 0;
};

} // namespace Heatherridge
