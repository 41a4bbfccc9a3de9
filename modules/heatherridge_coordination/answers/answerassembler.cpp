#include "heatherridge_coordination/answers/answerassembler.h"

#include <xxhash.h>

namespace Heatherridge
{

namespace
{

std::uint64_t hashOf(const Bytes &bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

AnswerAssembler::AnswerAssembler(Options options)
    : m_options(options)
{
}

Result<Bytes> AnswerAssembler::take(std::uint64_t sequence, Bytes bytes)
{
    if (m_broken) {
        return *m_broken;
    }
    if (m_count && sequence >= *m_count) {
        return broken("a frame past the end");
    }
    if (sequence < m_next || m_waiting.contains(sequence)) {
        return takeAgain(sequence, bytes);
    }
    if (sequence > m_next) {
        if (auto error = keepWaiting(sequence, std::move(bytes))) {
            return *error;
        }
        return Bytes{};
    }
    Bytes ready;
    handOut(ready, bytes);
    for (auto first = m_waiting.begin(); first != m_waiting.end() && first->first == m_next;
         first = m_waiting.erase(first)) {
        m_waitingBytes -= first->second.size();
        handOut(ready, first->second);
    }
    return ready;
}

Outcome AnswerAssembler::end(std::uint64_t count)
{
    if (m_broken) {
        return *m_broken;
    }
    if (m_count && *m_count != count) {
        return broken("two ends that differ");
    }
    const auto seen = m_waiting.empty() ? m_next : m_waiting.rbegin()->first + 1;
    if (seen > count) {
        return broken("an end before frames that came");
    }
    m_count = count;
    return {};
}

bool AnswerAssembler::isComplete() const
{
    return !m_broken && m_count == m_next;
}

std::uint64_t AnswerAssembler::nextSequence() const
{
    return m_next;
}

std::size_t AnswerAssembler::waitingBytes() const
{
    return m_waitingBytes;
}

const AssemblerCounters &AnswerAssembler::counters() const
{
    return m_counters;
}

Error AnswerAssembler::broken(const char *why)
{
    ++m_counters.refused;
    m_broken = Error{.kind = ErrorKind::StreamBroken, .detail = why};
    m_waiting.clear();
    m_waitingBytes = 0;
    return *m_broken;
}

/** A frame whose number has come before: harmless when its bytes are the same, proof of a mix-up when they differ. */
Result<Bytes> AnswerAssembler::takeAgain(std::uint64_t sequence, const Bytes &bytes)
{
    if (const auto waiting = m_waiting.find(sequence); waiting != m_waiting.end()) {
        if (waiting->second != bytes) {
            return broken("two frames of one number that differ");
        }
    } else if (const auto age = m_next - sequence; age <= m_handedOut.size()) {
        if (m_handedOut[m_handedOut.size() - age] != hashOf(bytes)) {
            return broken("two frames of one number that differ");
        }
    }
    ++m_counters.doubled;
    return Bytes{};
}

std::optional<Error> AnswerAssembler::keepWaiting(std::uint64_t sequence, Bytes bytes)
{
    if (m_waiting.size() >= m_options.maxWaitingFrames || m_waitingBytes + bytes.size() > m_options.maxWaitingBytes) {
        return broken("too much waits for a missing frame");
    }
    ++m_counters.late;
    m_waitingBytes += bytes.size();
    m_waiting.emplace(sequence, std::move(bytes));
    return std::nullopt;
}

void AnswerAssembler::handOut(Bytes &into, const Bytes &bytes)
{
    into.insert(into.end(), bytes.begin(), bytes.end());
    ++m_next;
    m_handedOut.push_back(hashOf(bytes));
    if (m_handedOut.size() > m_options.rememberedFrames) {
        m_handedOut.pop_front();
    }
}

} // namespace Heatherridge
