#pragma once

#include "heatherridge_protocol/envelope.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** What an assembler met, for counters. */
struct AssemblerCounters
{
    std::uint64_t outOfOrderFrames = 0; ///< frames that arrived before one with a lower number
    std::uint64_t duplicateFrames = 0; ///< frames that had come before
    std::uint64_t failures = 0; ///< frames that ended the answer as broken
};

/**
 * Puts the frames of one answer back into order.
 *
 * Each frame carries its number, from 0, and the end carries how many there are; one assembler serves one request and
 * is reached through the request's id, so that frames of another answer never meet it. What it hands out is a prefix
 * of the answer at all times: no gap, no repeat. Frames that come early wait, within bounds. What can't be put right
 * breaks the answer for good: a frame with the number of another but other bytes, a frame past the end, more waiting
 * bytes or frames than the bounds. No I/O, no clock; one thread.
 */
class AnswerAssembler
{
public:
    struct Options
    {
        std::size_t maxBufferedBytes = 256UL << 10U; ///< bytes that came early
        std::size_t maxBufferedFrames = 256; ///< frames that came early
        std::size_t maxRememberedHashes = 256; ///< handed-out frames whose doubles are still compared byte for byte
    };

    /** An assembler that waits for frame 0. */
    explicit AnswerAssembler(Options options);

    /**
     * Takes frame @p sequence.
     * @returns the bytes that may be passed on now, in order (empty when the frame has to wait or was a double), or
     *          StreamBroken, after which every call yields the same error
     */
    Result<Bytes> addFrame(std::uint64_t sequence, Bytes bytes);

    /**
     * Takes the end: the answer has @p count frames. Comes at most once, at any time, doubles aside.
     * @returns StreamBroken when frames beyond the end have come, or when another end came before
     */
    Outcome setFrameCount(std::uint64_t frameCount);

    /** Whether every byte has been handed out and the end is known. */
    bool isComplete() const;

    /** The number of the next frame to be handed out. */
    std::uint64_t nextSequence() const;

    /** Bytes that wait for an earlier frame. */
    std::size_t bufferedBytes() const;

    /** What was met so far. */
    const AssemblerCounters &counters() const;

private:
    Error fail(const char *reason);
    Result<Bytes> checkDuplicate(std::uint64_t sequence, const Bytes &bytes);
    std::optional<Error> bufferFrame(std::uint64_t sequence, Bytes bytes);
    void deliverFrame(Bytes &output, const Bytes &bytes);

    Options m_options;
    std::map<std::uint64_t, Bytes> m_bufferedFrames;
    std::deque<std::uint64_t> m_deliveredHashes; ///< hashes of the last frames handed out, newest last
    std::optional<std::uint64_t> m_frameCount;
    std::optional<Error> m_error;
    std::uint64_t m_nextSequence = 0;
    std::size_t m_bufferedBytes = 0;
    AssemblerCounters m_counters;
};

} // namespace Heatherridge
