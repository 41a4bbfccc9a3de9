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
 * The body of a streamed answer on its way to the caller.
 *
 * Chunks that come while a write is under way leave together in the next one: under load that saves a system call and
 * two changes of thread for each token, and a lone chunk still leaves at once. Reports what has left in portions, so
 * that the target is given credit by the portion too. On one loop's thread; the callbacks come there.
 */
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    /** Bytes that leave until they are reported: an eighth of the window that a target may be ahead. */
    static constexpr std::size_t ReportThresholdBytes = 32UL << 10U;

    /** What the owner is told. */
    struct Events
    {
        std::function<void(std::size_t bytes)> written{}; ///< so many more bytes have left
        std::function<void()> disconnected{}; ///< the caller has left; nothing follows
    };

    /** Writes to @p exchange, whose answer has begun. @p loop must outlive it. */
    CallerStream(std::shared_ptr<HttpExchange> exchange, EventLoop &loop, Events events);

    /** Sends @p bytes, at once or behind the write that is under way. */
    void write(std::string_view bytes);

    /** Sends what is left and ends the answer as whole. */
    void end();

    /** Sends what is left and closes the connection without the end of the answer. */
    void abort();

    /** Bytes that wait for the write under way. */
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
