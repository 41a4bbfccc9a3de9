#pragma once

#include "heatherridge_protocol/envelope.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** Event counts of an assembler. */
struct AssemblerCounters
{
    std::uint64_t outOfOrderFrames = 0; ///< frames that arrived before a frame with a lower number
    std::uint64_t duplicateFrames = 0; ///< frames received more than once
    std::uint64_t failures = 0; ///< errors that broke the answer
};

/**
 * Reassembles the frames of one answer in order.
 *
 * Frames are numbered from 0, and the end message carries their count. One assembler serves one request and is looked
 * up by the request's id, so that it never receives frames of another answer. The delivered bytes are always a prefix
 * of the answer, without gaps or repetitions. Frames that arrive early are buffered within limits. Unrecoverable errors
 * break the answer permanently: two frames with the same number but different bytes, a frame past the end, two ends
 * with different counts, an end before frames that were received, or more buffered bytes or frames than allowed. Does
 * no I/O and reads no clock. Not thread-safe; use from one thread.
 */
class AnswerAssembler
{
public:
    struct Options
    {
        std::size_t maxBufferedBytes = 256UL << 10U; ///< bytes of frames that arrived early
        std::size_t maxBufferedFrames = 256; ///< frames that arrived early
        std::size_t maxRememberedHashes = 256; ///< delivered frames whose duplicates are compared by hash
    };

    /** Creates an assembler that expects frame 0. */
    explicit AnswerAssembler(Options options);

    /**
     * Adds the frame with number @p sequence.
     * @returns the bytes that can be delivered now, in order (empty if the frame is buffered or a duplicate), or
     *          StreamBroken, after which every call returns the same error
     */
    Result<Bytes> addFrame(std::uint64_t sequence, Bytes bytes);

    /**
     * Sets the number of frames of the answer, as stated by its end message. May be called at any time, and repeatedly
     * with the same count.
     * @returns StreamBroken if frames past the end have been received or a different count was set before
     */
    Outcome setFrameCount(std::uint64_t frameCount);

    /** Whether the frame count is known and all frames have been delivered. */
    bool isComplete() const;

    /** Returns the number of the next frame to be delivered. */
    std::uint64_t nextSequence() const;

    /** Returns the number of buffered bytes that wait for an earlier frame. */
    std::size_t bufferedBytes() const;

    /** Returns the event counts since construction. */
    const AssemblerCounters &counters() const;

private:
    Error fail(const char *reason);
    Result<Bytes> checkDuplicate(std::uint64_t sequence, const Bytes &bytes);
    std::optional<Error> bufferFrame(std::uint64_t sequence, Bytes bytes);
    void deliverFrame(Bytes &output, const Bytes &bytes);

    Options m_options;
    std::map<std::uint64_t, Bytes> m_bufferedFrames;
    std::deque<std::uint64_t> m_deliveredHashes; ///< hashes of the most recently delivered frames, newest last
    std::optional<std::uint64_t> m_frameCount;
    std::optional<Error> m_error;
    std::uint64_t m_nextSequence = 0;
    std::size_t m_bufferedBytes = 0;
    AssemblerCounters m_counters;
};

} // namespace Heatherridge
