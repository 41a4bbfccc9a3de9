#pragma once

#include "heatherridge_protocol/envelope.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Heatherridge
{

/**
 * Determines where an interrupted stream of tokens can resume, and verifies that the resumed stream continues it.
 *
 * Keeps the tokens most recently delivered to the caller. The engine is asked to start a few tokens earlier; the
 * repeated tokens must match byte for byte before any new token is accepted. An engine that samples different tokens,
 * or whose model has changed in the meantime, differs in the repeated part and is rejected; the answer then ends as
 * broken. Does no I/O. Not thread-safe; use from one thread.
 */
class ResumePoint
{
public:
    struct Options
    {
        std::size_t overlapTokens = 16; ///< number of tokens that are repeated and compared
        std::size_t maxOverlapBytes = 16UL << 10U; ///< fewer tokens are compared if they exceed this size; at least one
    };

    /** Creates a resume point for a new answer. */
    explicit ResumePoint(Options options);

    /** Records that @p token has been delivered to the caller. */
    void addDeliveredToken(const Bytes &token);

    /** Returns the number of tokens delivered to the caller. */
    std::uint64_t deliveredTokens() const;

    /** Starts the comparison and returns the token, counted from 0, from which the engine has to start. */
    std::uint64_t beginResume();

    /**
     * Verifies token @p position of the resumed stream.
     * @returns the token if it is the next new one, nothing if it repeats a delivered token, or StreamBroken if it
     * differs from the delivered token or is out of sequence
     */
    Result<std::optional<Bytes>> acceptToken(std::uint64_t position, Bytes token);

private:
    Options m_options;
    std::deque<Bytes> m_recentTokens;
    std::size_t m_recentBytes = 0;
    std::uint64_t m_deliveredTokens = 0;
    std::uint64_t m_expectedPosition = 0;
};

} // namespace Heatherridge
