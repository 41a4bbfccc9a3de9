#include "heatherridge_protocol/cborstructure.h"

#include <array>
#include <optional>

namespace Heatherridge
{

namespace
{

constexpr unsigned MajorShift = 5;
constexpr unsigned InfoMask = 0x1F;
constexpr unsigned MinExtendedInfo = 24;
constexpr unsigned MaxExtendedInfo = 27;
constexpr unsigned BitsPerByte = 8;

/** The major types of CBOR (RFC 8949), as the upper three bits of an initial byte. */
enum class MajorType : std::uint8_t { Unsigned, Negative, ByteString, TextString, Array, Map, Tag, Simple };

/** Scans the bytes of one item, using a stack of fixed size for the enclosing maps and arrays. */
class CborScanner
{
public:
    explicit CborScanner(std::span<const std::uint8_t> bytes)
        : m_bytes(bytes)
    {
    }

    bool scanDocument()
    {
        m_remainingItems[0] = 1;
        m_depth = 1;
        while (m_depth > 0) {
            if (m_remainingItems.at(m_depth - 1) == 0) {
                --m_depth;
                continue;
            }
            --m_remainingItems.at(m_depth - 1);
            if (!scanItem()) {
                return false;
            }
        }
        return m_position == m_bytes.size();
    }

private:
    bool scanItem()
    {
        if (m_position == m_bytes.size()) {
            return false;
        }
        const unsigned initial = m_bytes[m_position++];
        const auto argument = readArgument(initial & InfoMask);
        if (!argument) {
            return false;
        }
        switch (static_cast<MajorType>(initial >> MajorShift)) {
        case MajorType::Unsigned:
        case MajorType::Negative:
        case MajorType::Simple:
            return true;
        case MajorType::ByteString:
        case MajorType::TextString:
            return skip(*argument);
        case MajorType::Array:
            return openContainer(*argument, 1);
        case MajorType::Map:
            return openContainer(*argument, 2);
        case MajorType::Tag:
            return false;
        }
        return false;
    }

    std::optional<std::uint64_t> readArgument(unsigned additionalInfo)
    {
        if (additionalInfo < MinExtendedInfo) {
            return additionalInfo;
        }
        if (additionalInfo > MaxExtendedInfo) {
            return std::nullopt;
        }
        const std::size_t width = 1UL << (additionalInfo - MinExtendedInfo);
        if (m_bytes.size() - m_position < width) {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < width; ++i) {
            value = value << BitsPerByte | m_bytes[m_position++];
        }
        return value;
    }

    bool skip(std::uint64_t length)
    {
        if (length > m_bytes.size() - m_position) {
            return false;
        }
        m_position += length;
        return true;
    }

    bool openContainer(std::uint64_t entries, std::uint64_t itemsPerEntry)
    {
        // Each item takes at least one byte, so a count above the number of remaining bytes is invalid.
        if (entries > m_bytes.size() - m_position || m_depth > MaxCborDepth) {
            return false;
        }
        m_remainingItems.at(m_depth++) = entries * itemsPerEntry;
        return true;
    }

    std::span<const std::uint8_t> m_bytes;
    std::size_t m_position = 0;
    std::array<std::uint64_t, MaxCborDepth + 1> m_remainingItems{}; ///< number of remaining items at each nesting level
    std::size_t m_depth = 0;
};

} // namespace

bool isPlainCbor(std::span<const std::uint8_t> bytes)
{
    return CborScanner(bytes).scanDocument();
}

bool isPlainCbor(std::string_view bytes)
{
    return isPlainCbor(std::span(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()));
}

} // namespace Heatherridge
