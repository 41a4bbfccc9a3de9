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
    if (m_isReading || now < m_next) {
        return;
    }
    m_isReading = true;
    if (!m_position) {
        m_log.newest(m_options.kind, whenCurrent(&RegisterFollower::takeNewest, now));
        return;
    }
    m_log.read(m_options.kind, *m_position, m_options.wait, whenCurrent(&RegisterFollower::takeRead, now));
}

void RegisterFollower::restart(std::chrono::milliseconds delay)
{
    ++m_restarts;
    m_isReading = false;
    m_position.reset();
    m_next = m_now + delay;
}

RegisterLog::Done RegisterFollower::whenCurrent(void (RegisterFollower::*take)(Result<RegisterPage>, SteadyTime),
                                                SteadyTime asked)
{
    return [this, take, asked, restarts = m_restarts](Result<RegisterPage> page) {
        if (restarts == m_restarts) {
            (this->*take)(std::move(page), asked);
        }
    };
}

void RegisterFollower::takeNewest(Result<RegisterPage> page, SteadyTime asked)
{
    m_isReading = false;
    if (const auto *error = errorIn(page)) {
        failed(*error);
        return;
    }
    const auto &whole = std::get<RegisterPage>(page);
    m_position = whole.end;
    answered(asked);
    m_events.replaced(whole.changes);
}

void RegisterFollower::takeRead(Result<RegisterPage> page, SteadyTime asked)
{
    m_isReading = false;
    if (const auto *error = errorIn(page)) {
        if (error->kind == ErrorKind::NotFound) {
            m_position.reset();
            m_next = m_now;
            return;
        }
        failed(*error);
        return;
    }
    const auto &news = std::get<RegisterPage>(page);
    m_position = news.end;
    answered(asked);
    if (!news.changes.empty()) {
        m_events.changed(news.changes);
    }
}

void RegisterFollower::failed(const Error &error)
{
    m_next = m_now + m_options.retryPause;
    if (m_answers) {
        m_answers = false;
        m_events.reachable(false, error.detail);
    }
}

void RegisterFollower::answered(SteadyTime asked)
{
    m_answers = true;
    m_next = asked + m_options.period;
    m_events.reachable(true, {});
}

} // namespace Heatherridge
