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
    std::string method{}; ///< of a request
    std::string target{}; ///< of a request, as it was sent: path and query
    int status = 0; ///< of a response
    std::vector<HttpHeader> headers{};
    std::size_t headBytes = 0; ///< size of the start line and all headers
    std::optional<std::uint64_t> contentLength{}; ///< nothing for chunks and for a body that ends with its connection
    bool isKeepAlive = true; ///< whether the sender leaves the connection open behind the message
};

/**
 * Takes the bytes of one connection apart into messages (http_parser).
 *
 * Stops behind each message: bytes that follow are not looked at until reset(), so that what belongs to no message is
 * seen as such. One thread.
 */
class HttpMessageReader
{
public:
    /** Which side's messages are read. */
    enum class Side {
        Requests,
        Responses,
    };

    /** How far the present message has come. */
    enum class State {
        Idle, ///< not a byte of it has come
        Head,
        Body,
        Complete,
        Malformed, ///< the bytes are not HTTP; nothing more can be read
    };

    /** Told of body bytes as they come. */
    using BodyCallback = std::function<void(std::string_view bytes)>;
    /** Told once the head is there. Returns whether a body may follow; false for answers to HEAD. */
    using HeadCallback = std::function<bool(const HttpMessageHead &head)>;

    HttpMessageReader(Side side, HeadCallback onHead, BodyCallback onBody);
    ~HttpMessageReader();

    HttpMessageReader(const HttpMessageReader &) = delete;
    HttpMessageReader &operator=(const HttpMessageReader &) = delete;

    /** Reads @p bytes up to the end of the present message. @returns how many were taken */
    std::size_t feed(std::string_view bytes);

    /** The peer closed in order: completes a body that ends so; cuts any other message off. */
    void feedEndOfStream();

    /** Begins the next message. */
    void reset();

    State state() const;

    /** Whether the head was larger than the parser's own bound of 80 kB. */
    bool isHeadTooLarge() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
