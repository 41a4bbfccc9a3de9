#pragma once

#include "heatherridge_state/base/result.h"

#include <functional>
#include <utility>
#include <vector>

namespace Heatherridge
{

/**
 * Reads one thing for all who ask, one reading at a time.
 *
 * Every gateway asks every sidecar several times a second, and all at once after a start or a change: a connection to
 * the engine for each question costs a handshake each, since few can be kept. Who asks while a reading is open shares
 * the next one, not that one: what it tells must be as it was after the question. One thread.
 */
template<typename T>
class CoalescedReader
{
public:
    using Done = std::function<void(const Result<T> &)>;

    /** @param read begins a reading and calls back when it has ended, not at once */
    explicit CoalescedReader(std::function<void(std::function<void(Result<T>)>)> read)
        : m_startRead(std::move(read))
    {
    }

    /** Tells @p done what the next reading says. */
    void request(Done done)
    {
        m_waiting.push_back(std::move(done));
        if (!m_isReading) {
            startRead();
        }
    }

    /** Whether nobody waits for anything. */
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
