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
 * Values sort by creation time. Because the key itself carries its creation time, old keys can be distinguished from
 * new ones without storing them. Value type.
 */
class Uuid7
{
public:
    using Octets = std::array<std::uint8_t, 16>;

    Uuid7() = default;

    /**
     * Parses the standard form of 32 hexadecimal digits and four hyphens. Returns nothing for any other text, version
     * or variant.
     */
    static std::optional<Uuid7> parse(std::string_view text);

    /** Creates a UUID from 16 octets. Returns nothing for any other version or variant. */
    static std::optional<Uuid7> fromOctets(const Octets &octets);

    /** Creates a UUID with creation time @p time and the random bits of @p randomHigh and @p randomLow. */
    static Uuid7 make(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow);

    /** Returns the creation time stated by whoever generated the UUID. */
    WallTime time() const;

    /** Returns the 16 octets in network byte order. */
    const Octets &octets() const;

    /** Returns the standard text form in lower case. */
    std::string toString() const;

    auto operator<=>(const Uuid7 &) const = default;
    bool operator==(const Uuid7 &) const = default;

private:
    Octets m_octets{};
};

} // namespace Heatherridge
