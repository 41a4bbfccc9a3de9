#pragma once

#include "heatherridge_transport/http/httpmessages.h"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * One request and its pending response.
 *
 * Call either respond() once, or beginStream(), any number of write(), and end(). abort() may follow at any time. All
 * methods may be called from any thread. The server and the code that responds share ownership; destroying the exchange
 * without a response closes the connection.
 *
 * A call in any other order sends nothing: it is logged as `response-out-of-order` and counted, and if the response has
 * not ended, the connection is closed, so that the caller recognises the response as cut off. Servers derive from this
 * class and implement the private functions, which are called in the right order only.
 */
class HttpExchange
{
public:
    /** Called with whether the bytes were sent; false if the caller has disconnected. */
    using WriteCallback = std::function<void(bool sent)>;

    HttpExchange() = default;
    virtual ~HttpExchange() = default;

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /** Returns the request, which is valid as long as the exchange. */
    virtual const HttpRequest &request() const = 0;

    /** Sets the id under which the exchange appears in the log. Call it before the response begins. */
    void setLogId(std::string id);

    /** Sends a complete response, without its body if its status allows none. */
    void respond(HttpResponse response);

    /** Starts a chunked response with @p status and @p headers. If @p status allows no body, nothing else is sent. */
    void beginStream(int status, const std::vector<HttpHeader> &headers);

    /**
     * Sends @p bytes as one chunk, or nothing if they are empty. @p done is called once they are sent or the caller has
     * disconnected, on a server thread or, if nothing is sent, before this function returns. Wait for it before reading
     * more from the source; otherwise chunks for a slow reader accumulate without bound.
     */
    void write(std::string bytes, WriteCallback done);

    /** Completes a chunked response. */
    void end();

    /**
     * Closes the connection. The caller can detect that a chunked response is truncated, because its final chunk is not
     * sent. If no response has started, none is sent.
     */
    void abort();

    /** Calls @p closed once, on a server thread, if the connection closes before the response is complete. */
    virtual void onClosed(std::function<void()> closed) = 0;

private:
    /** How far the response has come. */
    enum class State {
        NotBegun,
        Streaming,
        WithoutBody, ///< a stream whose status allows no body: its head is the whole response
        Ended,
    };

    /** Returns the state in which the stream may go on. */
    State begunState() const;
    /** Moves from @p from to @p to. @returns false, after closing the connection, if the state is another one */
    bool advance(State from, State to, std::string_view call);
    static std::string_view toString(State state);

    virtual void sendResponse(HttpResponse response) = 0;
    /** @p status allows a body. */
    virtual void sendStreamHead(int status, const std::vector<HttpHeader> &headers) = 0;
    /** @p bytes are not empty. */
    virtual void sendStreamBytes(std::string bytes, WriteCallback done) = 0;
    virtual void sendStreamEnd() = 0;
    virtual void closeConnection() = 0;
    /** Counts a call that came out of order. */
    virtual void recordOutOfOrder()
    {
    }

    std::atomic<State> m_state{State::NotBegun};
    std::string m_logId;
};

} // namespace Heatherridge
