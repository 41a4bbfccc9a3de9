#pragma once

#include "heatherridge_state/fold/controlrecord.h"

#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace Heatherridge
{

/**
 * Hashes typed fields in a canonical form: numbers as eight little-endian bytes, texts with their length before them,
 * so that no two different sequences of fields feed the same bytes. One thread.
 */
class DigestBuilder
{
public:
    DigestBuilder();
    ~DigestBuilder();
    DigestBuilder(const DigestBuilder &) = delete;
    DigestBuilder &operator=(const DigestBuilder &) = delete;

    /** Feeds @p value. */
    DigestBuilder &add(std::uint64_t value);

    /** Feeds @p text and its length. */
    DigestBuilder &add(std::string_view text);

    /** The hash of all that was fed so far. */
    std::uint64_t finish() const;

private:
    struct Free
    {
        void operator()(XXH3_state_s *state) const;
    };

    std::unique_ptr<XXH3_state_s, Free> m_state;
};

} // namespace Heatherridge
