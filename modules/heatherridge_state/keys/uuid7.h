#pragma once

#include "heatherridge_state/base/clock.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Heatherridge
{

/**
 * A UUID of version 7 (RFC 9562): 48 bits of creation time in milliseconds, then 74 random bits.
 *
 * The order of two values is the order of their creation times. A key of this form can be dated by whoever holds it,
 * so that an old key is told from a new one without any memory of it. Value type.
 */
class Uuid7
{
public:
    using Octets = std::array<std::uint8_t, 16>;

    Uuid7() = default;

    /** Reads the usual form of 32 hexadecimal digits and four hyphens; nothing for any other text, version or variant.
     */
    static std::optional<Uuid7> parse(std::string_view text);

    /** Takes 16 octets; nothing when version or variant differ. */
    static std::optional<Uuid7> fromOctets(const Octets &octets);

    /** A key created at @p time whose random bits are filled from @p randomHigh and @p randomLow. */
    static Uuid7 make(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow);

    /** When its maker says that it was created. */
    WallTime time() const;

    /** The 16 octets, in network order. */
    const Octets &octets() const;

    /** The usual text form in lower case. */
    std::string toString() const;

    auto operator<=>(const Uuid7 &) const = default;
    bool operator==(const Uuid7 &) const = default;

private:
    Octets m_octets{};
};

} // namespace Heatherridge
