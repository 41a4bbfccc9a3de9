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
    m_waiting += bytes;
    if (!m_writing && !m_waiting.empty()) {
        flush();
    }
}

void CallerStream::end()
{
    flushRest();
    m_exchange->end();
}

void CallerStream::abort()
{
    flushRest();
    m_exchange->abort();
}

std::size_t CallerStream::waitingBytes() const
{
    return m_waiting.size();
}

void CallerStream::flush()
{
    m_writing = true;
    const auto bytes = m_waiting.size();
    m_exchange->write(std::exchange(m_waiting, {}), [self = shared_from_this(), bytes](bool sent) {
        self->m_loop.post([self, bytes, sent] { self->takeWritten(bytes, sent); });
    });
}

void CallerStream::flushRest()
{
    if (!std::exchange(m_closed, true) && !m_waiting.empty()) {
        m_exchange->write(std::exchange(m_waiting, {}), [](bool) {});
    }
}

void CallerStream::takeWritten(std::size_t bytes, bool sent)
{
    m_writing = false;
    if (m_closed) {
        return;
    }
    if (!sent) {
        m_closed = true;
        m_events.gone();
        return;
    }
    m_unreported += bytes;
    if (m_unreported >= ReportBytes) {
        m_events.written(std::exchange(m_unreported, 0));
    }
    if (!m_waiting.empty()) {
        flush();
    }
}

} // namespace Heatherridge
