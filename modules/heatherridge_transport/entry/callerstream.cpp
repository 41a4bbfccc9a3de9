#include "heatherridge_transport/entry/callerstream.h"

#include <utility>

namespace Heatherridge
{

CallerStream::CallerStream(std::shared_ptr<HttpExchange> exchange, EventLoop &loop, Events events)
    : m_exchange(std::move(exchange))
    , m_loop(loop)
    , m_events(std::move(events))
{
}

void CallerStream::write(std::string_view bytes)
{
    if (m_closed) {
        return;
    }
    m_buffer += bytes;
    if (!m_writing && !m_buffer.empty()) {
        flush();
    }
}

void CallerStream::end()
{
    flushRemaining();
    m_exchange->end();
}

void CallerStream::abort()
{
    flushRemaining();
    m_exchange->abort();
}

std::size_t CallerStream::bufferedBytes() const
{
    return m_buffer.size();
}

void CallerStream::flush()
{
    m_writing = true;
    const auto bytes = m_buffer.size();
    m_exchange->write(std::exchange(m_buffer, {}), [self = shared_from_this(), bytes](bool sent) {
        self->m_loop.post([self, bytes, sent] { self->handleWritten(bytes, sent); });
    });
}

void CallerStream::flushRemaining()
{
    if (!std::exchange(m_closed, true) && !m_buffer.empty()) {
        m_exchange->write(std::exchange(m_buffer, {}), [](bool) {});
    }
}

void CallerStream::handleWritten(std::size_t bytes, bool sent)
{
    m_writing = false;
    if (m_closed) {
        return;
    }
    if (!sent) {
        m_closed = true;
        m_events.disconnected();
        return;
    }
    m_unreportedBytes += bytes;
    if (m_unreportedBytes >= ReportThresholdBytes) {
        m_events.written(std::exchange(m_unreportedBytes, 0));
    }
    if (!m_buffer.empty()) {
        flush();
    }
}

} // namespace Heatherridge
