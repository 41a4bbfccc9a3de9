#pragma once

#include "heatherridge_state/fold/controlrecord.h"

#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace Heatherridge
{

/**
 * Hashes typed fields in a canonical form: numbers as eight little-endian bytes, and texts preceded by their length, so
 * that different sequences of fields never produce the same bytes. Must be used from one thread.
 */
class DigestBuilder
{
public:
    DigestBuilder();
    ~DigestBuilder();
    DigestBuilder(const DigestBuilder &) = delete;
    DigestBuilder &operator=(const DigestBuilder &) = delete;

    /** Adds @p value. */
    DigestBuilder &add(std::uint64_t value);

    /** Adds the length of @p text and its bytes. */
    DigestBuilder &add(std::string_view text);

    /** Returns the hash of all fields added so far. */
    std::uint64_t finish() const;

private:
    struct Free
    {
        void operator()(XXH3_state_s *state) const;
    };

    std::unique_ptr<XXH3_state_s, Free> m_state;
};

} // namespace Heatherridge
