#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** The head of one HTTP/1.1 message. */
struct HttpMessageHead
{
    std::string method{}; ///< only for requests
    std::string target{}; ///< only for requests: path and query as sent
    int status = 0; ///< only for responses
    std::vector<HttpHeader> headers{};
    std::optional<std::uint64_t>
        contentLength{}; ///< empty for a chunked body and for one that ends when the connection closes
    bool isChunked = false;
    bool endsWithConnection = false; ///< only for responses: the body has neither a length nor chunks
    bool isHttp10 = false; ///< HTTP/1.0 or older: the sender knows neither chunks nor interim responses
    bool isKeepAlive = true; ///< whether the sender keeps the connection open after the message
};

/**
 * Splits the byte stream of one connection into HTTP messages (http_parser).
 *
 * Stops after each message: further bytes are not parsed until reset(), so that the caller can detect bytes that belong
 * to no message. A head is refused at the byte that exceeds its limit. Between head and next head nothing is kept:
 * trailers are dropped. Not thread-safe.
 */
class HttpMessageReader
{
public:
    /** Kind of messages to parse. */
    enum class Side {
        Requests,
        Responses,
    };

    /** Parsing state of the current message. */
    enum class State {
        Idle, ///< no byte received yet, or only blank lines, which belong to no message
        Head,
        Body,
        Complete,
        Malformed, ///< the bytes are not valid HTTP; nothing more can be parsed
    };

    /** Called with body bytes as they arrive. */
    using BodyCallback = std::function<void(std::string_view bytes)>;
    /** Called once the head is complete. Returns whether a body may follow; false for responses to HEAD. */
    using HeadCallback = std::function<bool(HttpMessageHead head)>;

    /** Largest head that the parser library accepts, and the limit unless another one is set. */
    static constexpr std::size_t LargestHeadBytes = 80UL << 10U;

    HttpMessageReader(Side side, HeadCallback onHead, BodyCallback onBody);
    ~HttpMessageReader();

    HttpMessageReader(const HttpMessageReader &) = delete;
    HttpMessageReader &operator=(const HttpMessageReader &) = delete;

    /** Sets the size in bytes, as sent, above which a head is refused, from its first byte to the blank line after its
     * headers. As many bytes of blank lines are accepted before it. At most LargestHeadBytes. */
    void setMaxHeadBytes(std::size_t bytes);

    /** Parses @p bytes up to the end of the current message. @returns the number of bytes consumed */
    std::size_t feed(std::string_view bytes);

    /** Called when the peer has closed the connection in an orderly way. Completes a body that is delimited by the
     * close; any other body becomes Malformed. */
    void feedEndOfStream();

    /** Prepares for the next message. */
    void reset();

    State state() const;

    /** Returns whether the message is malformed because its head, or the blank lines before it, exceeded the limit. */
    bool isHeadTooLarge() const;

    /** Returns whether the request that is being parsed has the method HEAD, also before its head is complete. */
    bool isHeadRequest() const;

    /** Returns the memory in bytes that the incomplete head takes, which is many times its text if its headers are
     * short. */
    std::size_t heldBytes() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
