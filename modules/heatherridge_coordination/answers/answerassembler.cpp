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

Result<Bytes> AnswerAssembler::addFrame(std::uint64_t sequence, Bytes bytes)
{
    if (m_error) {
        return *m_error;
    }
    if (m_frameCount && sequence >= *m_frameCount) {
        return fail("frame past the end");
    }
    if (sequence < m_nextSequence || m_bufferedFrames.contains(sequence)) {
        return checkDuplicate(sequence, bytes);
    }
    if (sequence > m_nextSequence) {
        if (auto error = bufferFrame(sequence, std::move(bytes))) {
            return *error;
        }
        return Bytes{};
    }
    Bytes readyBytes;
    deliverFrame(readyBytes, bytes);
    for (auto nextFrame = m_bufferedFrames.begin();
         nextFrame != m_bufferedFrames.end() && nextFrame->first == m_nextSequence;
         nextFrame = m_bufferedFrames.erase(nextFrame)) {
        m_bufferedBytes -= nextFrame->second.size();
        deliverFrame(readyBytes, nextFrame->second);
    }
    return readyBytes;
}

Outcome AnswerAssembler::setFrameCount(std::uint64_t frameCount)
{
    if (m_error) {
        return *m_error;
    }
    if (m_frameCount && *m_frameCount != frameCount) {
        return fail("two ends with different frame counts");
    }
    const auto receivedFrames = m_bufferedFrames.empty() ? m_nextSequence : m_bufferedFrames.rbegin()->first + 1;
    if (receivedFrames > frameCount) {
        return fail("end before frames that were received");
    }
    m_frameCount = frameCount;
    return {};
}

bool AnswerAssembler::isComplete() const
{
    return !m_error && m_frameCount == m_nextSequence;
}

std::uint64_t AnswerAssembler::nextSequence() const
{
    return m_nextSequence;
}

std::size_t AnswerAssembler::bufferedBytes() const
{
    return m_bufferedBytes;
}

const AssemblerCounters &AnswerAssembler::counters() const
{
    return m_counters;
}

Error AnswerAssembler::fail(const char *reason)
{
    ++m_counters.failures;
    m_error = Error{.kind = ErrorKind::StreamBroken, .detail = reason};
    m_bufferedFrames.clear();
    m_bufferedBytes = 0;
    return *m_error;
}

/** Handles a frame whose number was received before: ignored if its bytes are the same; an error if they differ. */
Result<Bytes> AnswerAssembler::checkDuplicate(std::uint64_t sequence, const Bytes &bytes)
{
    if (const auto buffered = m_bufferedFrames.find(sequence); buffered != m_bufferedFrames.end()) {
        if (buffered->second != bytes) {
            return fail("two different frames with the same number");
        }
    } else if (const auto age = m_nextSequence - sequence; age <= m_deliveredHashes.size()) {
        if (m_deliveredHashes[m_deliveredHashes.size() - age] != hashOf(bytes)) {
            return fail("two different frames with the same number");
        }
    }
    ++m_counters.duplicateFrames;
    return Bytes{};
}

std::optional<Error> AnswerAssembler::bufferFrame(std::uint64_t sequence, Bytes bytes)
{
    if (m_bufferedFrames.size() >= m_options.maxBufferedFrames
        || m_bufferedBytes + bytes.size() > m_options.maxBufferedBytes) {
        return fail("too much data buffered while waiting for a missing frame");
    }
    ++m_counters.outOfOrderFrames;
    m_bufferedBytes += bytes.size();
    m_bufferedFrames.emplace(sequence, std::move(bytes));
    return std::nullopt;
}

void AnswerAssembler::deliverFrame(Bytes &output, const Bytes &bytes)
{
    output.insert(output.end(), bytes.begin(), bytes.end());
    ++m_nextSequence;
    m_deliveredHashes.push_back(hashOf(bytes));
    if (m_deliveredHashes.size() > m_options.maxRememberedHashes) {
        m_deliveredHashes.pop_front();
    }
}

} // namespace Heatherridge
