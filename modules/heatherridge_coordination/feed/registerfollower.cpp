#include "heatherridge_coordination/feed/registerfollower.h"

namespace Heatherridge
{

RegisterFollower::RegisterFollower(RegisterLog &log, Options options, RegisterEvents events)
    : m_log(log)
    , m_options(options)
    , m_events(std::move(events))
{
}

void RegisterFollower::tick(SteadyTime now)
{
    m_now = now;
    if (m_isReading || now < m_nextReadAt) {
        return;
    }
    m_isReading = true;
    if (!m_nextOffset) {
        m_log.readNewest(m_options.kind, ifNotRestarted(&RegisterFollower::handleNewest, now));
        return;
    }
    m_log.read(m_options.kind, *m_nextOffset, m_options.pollTimeout,
               ifNotRestarted(&RegisterFollower::handleRead, now));
}

void RegisterFollower::restart(std::chrono::milliseconds delay)
{
    ++m_restartCount;
    m_isReading = false;
    m_nextOffset.reset();
    m_nextReadAt = m_now + delay;
}

std::uint64_t RegisterFollower::position() const
{
    return m_position;
}

RegisterLog::Done RegisterFollower::ifNotRestarted(void (RegisterFollower::*handler)(Result<RegisterPage>, SteadyTime),
                                                   SteadyTime requestedAt)
{
    return [this, handler, requestedAt, restartCount = m_restartCount](Result<RegisterPage> page) {
        if (restartCount == m_restartCount) {
            (this->*handler)(std::move(page), requestedAt);
        }
    };
}

void RegisterFollower::handleNewest(Result<RegisterPage> page, SteadyTime requestedAt)
{
    m_isReading = false;
    if (const auto *error = errorIn(page)) {
        handleFailure(*error);
        return;
    }
    const auto &snapshot = std::get<RegisterPage>(page);
    m_nextOffset = snapshot.end;
    m_position = snapshot.end;
    handleAnswer(requestedAt);
    m_events.replaced(snapshot.changes);
}

void RegisterFollower::handleRead(Result<RegisterPage> page, SteadyTime requestedAt)
{
    m_isReading = false;
    if (const auto *error = errorIn(page)) {
        if (error->kind == ErrorKind::NotFound) {
            m_nextOffset.reset();
            m_nextReadAt = m_now;
            return;
        }
        handleFailure(*error);
        return;
    }
    const auto &update = std::get<RegisterPage>(page);
    m_nextOffset = update.end;
    m_position = update.end;
    handleAnswer(requestedAt);
    if (!update.changes.empty()) {
        m_events.changed(update.changes);
    }
}

void RegisterFollower::handleFailure(const Error &error)
{
    m_nextReadAt = m_now + m_options.retryDelay;
    if (m_isReachable) {
        m_isReachable = false;
        m_events.reachable(false, error.detail);
    }
}

void RegisterFollower::handleAnswer(SteadyTime requestedAt)
{
    m_isReachable = true;
    m_nextReadAt = requestedAt + m_options.pollInterval;
    m_events.reachable(true, {});
}

} // namespace Heatherridge
