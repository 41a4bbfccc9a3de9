#include "heatherridge_coordination/keys/opencalls.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Heatherridge
{

OpenCall &OpenCalls::open(const KeyedCall &keyedCall)
{
    m_keyOfWaiter[keyedCall.attempt] = keyedCall.key;
    auto &call = m_calls[keyedCall.key];
    call = OpenCall{.fingerprint = keyedCall.fingerprint, .waiters = {keyedCall.attempt}};
    return call;
}

void OpenCalls::join(const KeyedCall &keyedCall)
{
    m_keyOfWaiter[keyedCall.attempt] = keyedCall.key;
    m_calls.at(keyedCall.key).waiters.push_back(keyedCall.attempt);
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
        m_keyOfWaiter.erase(waiter);
    }
    return call;
}

const OpenCall *OpenCalls::removeWaiter(const AttemptId &attempt)
{
    const auto waiting = m_keyOfWaiter.find(attempt);
    if (waiting == m_keyOfWaiter.end()) {
        return nullptr;
    }
    auto &call = m_calls.at(waiting->second);
    std::erase(call.waiters, attempt);
    m_keyOfWaiter.erase(waiting);
    return &call;
}

void OpenCalls::park(const ParkedCall &waiting)
{
    m_parked.push_back(waiting);
}

bool OpenCalls::unpark(const AttemptId &attempt)
{
    return std::erase_if(m_parked, [&](const ParkedCall &parked) { return parked.call.attempt == attempt; }) > 0;
}

std::vector<ParkedCall> OpenCalls::takeParked()
{
    return std::exchange(m_parked, {});
}

bool OpenCalls::hasWaiter(const AttemptId &attempt) const
{
    return m_keyOfWaiter.contains(attempt);
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
