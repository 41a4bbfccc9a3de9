#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** The part of a resumed stream that can be sent to the caller now. */
struct ResumedBytes
{
    Bytes newEvents{}; ///< complete events, in order
    std::size_t duplicateBytes = 0; ///< number of dropped bytes, which the caller already has
};

/**
 * A streamed chat answer that another target can continue when its own target is lost.
 *
 * Splits the answer into server-sent events, one per token, and forwards complete events only: if a stream is cut
 * between two chunks, the caller's part ends at an event boundary, where another engine can continue. Repeated events
 * are compared with those that the caller has; see ResumePoint. Performs no I/O. Not thread-safe.
 */
class StreamResume
{
public:
    /** Maximum size of an event; a larger one fails the stream. */
    static constexpr std::size_t MaxEventBytes = 1UL << 20U;

    /** Creates a stream at the start of an answer. */
    StreamResume();

    /** Appends the next bytes of the answer, which may end within an event. @returns StreamBroken if they contradict
     * the events that the caller has or exceed the size limit */
    Result<ResumedBytes> append(const Bytes &bytes);

    /**
     * Returns why the answer is broken off if the current target's part of it has ended: in the middle of an event, or
     * before the events that the caller has.
     */
    std::optional<std::string_view> brokenOffReason() const;

    /** Prepares for continuing the answer at another target. @returns the token at which that target must start */
    std::uint64_t beginResume();

private:
    ResumePoint m_resumePoint;
    std::uint64_t m_nextEvent = 0; ///< index of the next event within the whole answer
    std::string m_partialEvent; ///< the received part of an incomplete event
};

/** Returns @p body, a chat request, with the token at which the engine must start; unchanged if it is not a JSON
 * object. */
Bytes withResumeFrom(const Bytes &body, std::uint64_t token);

/** Returns whether @p head starts an answer that StreamResume can process. */
bool isEventStream(const AnswerHead &head);

} // namespace Heatherridge
