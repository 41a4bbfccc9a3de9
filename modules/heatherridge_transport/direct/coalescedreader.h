#pragma once

#include "heatherridge_state/base/result.h"

#include <functional>
#include <utility>
#include <vector>

namespace Heatherridge
{

/**
 * Coalesces concurrent requests for one value into a single read at a time.
 *
 * Every gateway queries every sidecar several times a second, and all of them at the same time after a start or a
 * change. One engine connection per query would cost one handshake each, since few connections can be kept open. A
 * request made while a read is in progress shares the next read, not the current one, because its result must not be
 * older than the request. Not thread-safe.
 */
template<typename T>
class CoalescedReader
{
public:
    using Done = std::function<void(const Result<T> &)>;

    /** @param read starts a read and calls back when it has finished, never before it returns */
    explicit CoalescedReader(std::function<void(std::function<void(Result<T>)>)> read)
        : m_startRead(std::move(read))
    {
    }

    /** Calls @p done with the result of the next read that starts. */
    void request(Done done)
    {
        m_waiting.push_back(std::move(done));
        if (!m_isReading) {
            startRead();
        }
    }

    /** Returns whether no read is in progress and no request waits. */
    bool isIdle() const
    {
        return !m_isReading && m_waiting.empty();
    }

private:
    void startRead()
    {
        m_isReading = true;
        m_startRead([this, waiters = std::exchange(m_waiting, {})](Result<T> result) {
            m_isReading = false;
            if (!m_waiting.empty()) {
                startRead();
            }
            for (const auto &done : waiters) {
                done(result);
            }
        });
    }

    std::function<void(std::function<void(Result<T>)>)> m_startRead;
    std::vector<Done> m_waiting;
    bool m_isReading = false;
};

} // namespace Heatherridge
