#pragma once

#include "heatherridge_protocol/envelope.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Heatherridge
{

/**
 * Where a broken stream of tokens may be taken up again, and the check that it continues at the same token.
 *
 * It remembers the last tokens that the caller has got. The engine is asked to start some tokens earlier; what it
 * repeats must be the same, byte for byte, before anything new is passed on. An engine that samples anew, or whose
 * model was changed in between, differs in the repeated part and is refused; the answer then ends as broken.
 * No I/O; one thread.
 */
class ResumePoint
{
public:
    struct Options
    {
        std::size_t overlapTokens = 16; ///< how many tokens are repeated and compared
        std::size_t maxOverlapBytes = 16UL << 10U; ///< fewer are compared when they are larger than this
    };

    /** The start of an answer. */
    explicit ResumePoint(Options options);

    /** Notes that the caller has got one more token. */
    void addDeliveredToken(const Bytes &token);

    /** How many tokens the caller has got. */
    std::uint64_t deliveredTokens() const;

    /** The token from which the engine is to start again; the first is 0. Begins the comparison. */
    std::uint64_t beginResume();

    /**
     * Takes token @p position of the resumed stream.
     * @returns the token when it is the next new one, nothing when it was a repeated one and the same, or StreamBroken
     *          when it differs or is out of place
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
