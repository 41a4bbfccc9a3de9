#pragma once

#include "heatherridge_state/base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** 128-bit hash over what makes two calls the same: caller, method, path and body. */
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
    bool operator==(const RequestFingerprint &) const = default;
};

/**
 * The fingerprint of a call. Each part is hashed with its length, so that no shift of bytes between parts goes
 * unnoticed.
 */
RequestFingerprint fingerprintOf(const WorkspaceName &workspace, std::string_view method, std::string_view path,
                                 std::string_view body);

/** @p fingerprint as 32 hexadecimal digits. */
std::string toString(const RequestFingerprint &fingerprint);

} // namespace Heatherridge
