#include "heatherridge_coordination/keys/opencalls.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Heatherridge
{

OpenCall &OpenCalls::open(const KeyedCall &asked)
{
    m_waiting[asked.attempt] = asked.key;
    auto &call = m_calls[asked.key];
    call = OpenCall{.fingerprint = asked.fingerprint, .waiters = {asked.attempt}};
    return call;
}

void OpenCalls::join(const KeyedCall &asked)
{
    m_waiting[asked.attempt] = asked.key;
    m_calls.at(asked.key).waiters.push_back(asked.attempt);
}

OpenCall *OpenCalls::find(const Uuid7 &key)
{
    const auto call = m_calls.find(key);
    return call == m_calls.end() ? nullptr : &call->second;
}

OpenCall OpenCalls::close(const Uuid7 &key)
{
    const auto found = m_calls.find(key);
    assert(found != m_calls.end());
    auto call = std::move(found->second);
    m_calls.erase(found);
    for (const auto &waiter : call.waiters) {
        m_waiting.erase(waiter);
    }
    return call;
}

const OpenCall *OpenCalls::leave(const AttemptId &attempt)
{
    const auto waiting = m_waiting.find(attempt);
    if (waiting == m_waiting.end()) {
        return nullptr;
    }
    auto &call = m_calls.at(waiting->second);
    std::erase(call.waiters, attempt);
    m_waiting.erase(waiting);
    return &call;
}

void OpenCalls::park(const KeyedCall &asked, WallTime now)
{
    m_parked.push_back({.call = asked, .since = now});
}

bool OpenCalls::unpark(const AttemptId &attempt)
{
    return std::erase_if(m_parked, [&](const ParkedCall &parked) { return parked.call.attempt == attempt; }) > 0;
}

std::vector<ParkedCall> OpenCalls::takeParked()
{
    return std::exchange(m_parked, {});
}

bool OpenCalls::isWaiting(const AttemptId &attempt) const
{
    return m_waiting.contains(attempt);
}

OpenCalls::Calls &OpenCalls::calls()
{
    return m_calls;
}

std::size_t OpenCalls::size() const
{
    return m_calls.size() + m_parked.size();
}

} // namespace Heatherridge
