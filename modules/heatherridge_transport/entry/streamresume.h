#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"

#include <cstdint>
#include <string>

namespace Heatherridge
{

/** What may go to the caller now. */
struct ResumedBytes
{
    Bytes newEvents{}; ///< whole events, in order
    std::size_t duplicateBytes = 0; ///< bytes that the caller has already and that are dropped
};

/**
 * A streamed chat answer that can be taken up at another target when its own is lost.
 *
 * Splits the answer into server-sent events, one a token, and passes on whole events only: a stream that is cut between
 * two chunks ends at an event for the caller, so that another engine can go on behind it. The repeated events
 * are compared with what the caller has; see ResumePoint. No I/O; one thread.
 */
class StreamResume
{
public:
    /** Largest event; a longer one breaks the stream. */
    static constexpr std::size_t MaxEventBytes = 1UL << 20U;

    /** The start of an answer. */
    StreamResume();

    /** Takes the next bytes of the answer, which may end within an event. @returns StreamBroken when they don't fit. */
    Result<ResumedBytes> append(const Bytes &bytes);

    /** The answer begins anew at another target. @returns the token from which that target is to start. */
    std::uint64_t beginResume();

private:
    ResumePoint m_resumePoint;
    std::uint64_t m_nextEvent = 0; ///< number of the next event within the whole answer
    std::string m_partialEvent; ///< the begin of an event
};

/** @p body, a chat request, with the token at which the engine is to start; unchanged when it is no JSON object. */
Bytes withResumeFrom(const Bytes &body, std::uint64_t token);

/** Whether @p head begins an answer that StreamResume understands. */
bool isEventStream(const AnswerHead &head);

} // namespace Heatherridge
