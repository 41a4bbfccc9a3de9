#include "heatherridge_state/keys/uuid7.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t TextLength = 36;
constexpr std::uint8_t VersionMask = 0xF0;
constexpr std::uint8_t Version7 = 0x70;
constexpr std::uint8_t VariantMask = 0xC0;
constexpr std::uint8_t VariantRfc = 0x80;
constexpr std::size_t VersionOctet = 6;
constexpr std::size_t VariantOctet = 8;
constexpr std::size_t TimeOctets = 6;
constexpr std::string_view Digits = "0123456789abcdef";

bool isHyphenPosition(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

std::optional<std::uint8_t> digitValue(char digit)
{
    if (digit >= 'A' && digit <= 'F') {
        digit = static_cast<char>(digit - 'A' + 'a');
    }
    const auto position = Digits.find(digit);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(position);
}

} // namespace

std::optional<Uuid7> Uuid7::parse(std::string_view text)
{
    if (text.size() != TextLength) {
        return std::nullopt;
    }
    Octets octets{};
    std::size_t digits = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (isHyphenPosition(index)) {
            if (text[index] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto value = digitValue(text[index]);
        if (!value) {
            return std::nullopt;
        }
        octets[digits / 2] = static_cast<std::uint8_t>((octets[digits / 2] << 4U) | *value);
        ++digits;
    }
    return fromOctets(octets);
}

std::optional<Uuid7> Uuid7::fromOctets(const Octets &octets)
{
    if ((octets[VersionOctet] & VersionMask) != Version7 || (octets[VariantOctet] & VariantMask) != VariantRfc) {
        return std::nullopt;
    }
    Uuid7 uuid;
    uuid.m_octets = octets;
    return uuid;
}

Uuid7 Uuid7::make(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    Uuid7 uuid;
    auto milliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(time.time_since_epoch().count(), 0));
    for (std::size_t index = TimeOctets; index-- > 0;) {
        uuid.m_octets[index] = static_cast<std::uint8_t>(milliseconds);
        milliseconds >>= 8U;
    }
    for (std::size_t index = VersionOctet; index < VariantOctet; ++index) {
        uuid.m_octets[index] = static_cast<std::uint8_t>(randomHigh);
        randomHigh >>= 8U;
    }
    for (std::size_t index = VariantOctet; index < uuid.m_octets.size(); ++index) {
        uuid.m_octets[index] = static_cast<std::uint8_t>(randomLow);
        randomLow >>= 8U;
    }
    auto &version = uuid.m_octets[VersionOctet];
    version = static_cast<std::uint8_t>((version & ~VersionMask) | Version7);
    auto &variant = uuid.m_octets[VariantOctet];
    variant = static_cast<std::uint8_t>((variant & ~VariantMask) | VariantRfc);
    return uuid;
}

WallTime Uuid7::time() const
{
    std::int64_t milliseconds = 0;
    for (std::size_t index = 0; index < TimeOctets; ++index) {
        milliseconds = milliseconds * 256 + m_octets[index];
    }
    return WallTime(std::chrono::milliseconds(milliseconds));
}

const Uuid7::Octets &Uuid7::octets() const
{
    return m_octets;
}

std::string Uuid7::toString() const
{
    std::string text;
    text.reserve(TextLength);
    for (const auto octet : m_octets) {
        if (isHyphenPosition(text.size())) {
            text += '-';
        }
        text += Digits[octet >> 4U];
        text += Digits[octet & 0x0FU];
    }
    return text;
}

} // namespace Heatherridge
