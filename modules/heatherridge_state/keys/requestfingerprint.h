#pragma once

#include "heatherridge_state/base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** 128-bit hash of the parts that identify a call: workspace, method, path and body. */
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
    bool operator==(const RequestFingerprint &) const = default;
};

/**
 * Computes the fingerprint of a call. Each part is hashed with its length, so that moving bytes from one part to the
 * next changes the fingerprint.
 */
RequestFingerprint fingerprintOf(const WorkspaceName &workspace, std::string_view method, std::string_view path,
                                 std::string_view body);

/** Returns @p fingerprint as 32 hexadecimal digits. */
std::string toString(const RequestFingerprint &fingerprint);

} // namespace Heatherridge
