#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/http/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace Heatherridge
{

/**
 * Writes the body of a streamed answer to the caller.
 *
 * Chunks that arrive during a write are combined into the next one: under load this saves a system call and two thread
 * switches per token, while a single chunk is still sent immediately. Reports written bytes in batches, so that credit
 * is granted to the target in batches too. All methods and callbacks run on the thread of one loop.
 */
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    /** Number of written bytes after which they are reported: an eighth of the window by which a target may be ahead.
     */
    static constexpr std::size_t ReportThresholdBytes = 32UL << 10U;

    /** Callbacks to the owner. */
    struct Events
    {
        std::function<void(std::size_t bytes)> written{}; ///< called when further bytes have been written
        std::function<void()> disconnected{}; ///< called when the caller has disconnected; no callback follows
    };

    /** Creates a stream that writes to @p exchange, whose answer has started. @p loop must outlive the stream. */
    CallerStream(std::shared_ptr<HttpExchange> exchange, EventLoop &loop, Events events);

    /** Sends @p bytes immediately, or after the write in progress. */
    void write(std::string_view bytes);

    /** Sends the buffered bytes and ends the answer as complete. */
    void end();

    /** Sends the buffered bytes and closes the connection without terminating the answer. */
    void abort();

    /** Returns the number of bytes that are buffered until the write in progress completes. */
    std::size_t bufferedBytes() const;

private:
    void flush();
    void flushRemaining();
    void handleWritten(std::size_t bytes, bool sent);

    std::shared_ptr<HttpExchange> m_exchange;
    EventLoop &m_loop;
    Events m_events;
    std::string m_buffer;
    std::size_t m_unreportedBytes = 0;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace Heatherridge
