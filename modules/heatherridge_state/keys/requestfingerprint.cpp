#include "heatherridge_state/keys/requestfingerprint.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace Heatherridge
{

namespace
{

struct StateDeleter
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

void hashPart(XXH3_state_t *state, std::string_view part)
{
    const std::uint64_t size = part.size();
    XXH3_128bits_update(state, &size, sizeof size);
    XXH3_128bits_update(state, part.data(), part.size());
}

} // namespace

RequestFingerprint fingerprintOf(const WorkspaceName &workspace, std::string_view method, std::string_view path,
                                 std::string_view body)
{
    const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    hashPart(state.get(), workspace.text());
    hashPart(state.get(), method);
    hashPart(state.get(), path);
    hashPart(state.get(), body);
    const auto hash = XXH3_128bits_digest(state.get());
    return {.high = hash.high64, .low = hash.low64};
}

std::string toString(const RequestFingerprint &fingerprint)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, fingerprint.high, fingerprint.low);
    return text.data();
}

} // namespace Heatherridge
