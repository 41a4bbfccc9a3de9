#include "heatherridge_protocol/cborstructure.h"

#include <array>
#include <optional>

namespace Heatherridge
{

namespace
{

constexpr unsigned MajorShift = 5;
constexpr unsigned InfoMask = 0x1F;
constexpr unsigned FirstLongInfo = 24;
constexpr unsigned LastLongInfo = 27;
constexpr unsigned BitsPerByte = 8;

/** The major types of CBOR. */
enum class Major : std::uint8_t { Unsigned, Negative, ByteString, TextString, Array, Map, Tag, Simple };

/** Walks over the bytes of one item, with a fixed stack of open maps and arrays. */
class Scanner
{
public:
    explicit Scanner(const Bytes &bytes)
        : m_bytes(bytes)
    {
    }

    bool scan()
    {
        m_open[0] = 1;
        m_depth = 1;
        while (m_depth > 0) {
            if (m_open.at(m_depth - 1) == 0) {
                --m_depth;
                continue;
            }
            --m_open.at(m_depth - 1);
            if (!scanItem()) {
                return false;
            }
        }
        return m_at == m_bytes.size();
    }

private:
    bool scanItem()
    {
        if (m_at == m_bytes.size()) {
            return false;
        }
        const unsigned initial = m_bytes[m_at++];
        const auto argument = readArgument(initial & InfoMask);
        if (!argument) {
            return false;
        }
        switch (static_cast<Major>(initial >> MajorShift)) {
        case Major::Unsigned:
        case Major::Negative:
        case Major::Simple:
            return true;
        case Major::ByteString:
        case Major::TextString:
            return skip(*argument);
        case Major::Array:
            return open(*argument, 1);
        case Major::Map:
            return open(*argument, 2);
        case Major::Tag:
            return false;
        }
        return false;
    }

    std::optional<std::uint64_t> readArgument(unsigned info)
    {
        if (info < FirstLongInfo) {
            return info;
        }
        if (info > LastLongInfo) {
            return std::nullopt;
        }
        const std::size_t width = 1UL << (info - FirstLongInfo);
        if (m_bytes.size() - m_at < width) {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < width; ++i) {
            value = value << BitsPerByte | m_bytes[m_at++];
        }
        return value;
    }

    bool skip(std::uint64_t length)
    {
        if (length > m_bytes.size() - m_at) {
            return false;
        }
        m_at += length;
        return true;
    }

    bool open(std::uint64_t entries, std::uint64_t itemsPerEntry)
    {
        // An item takes at least one byte, so more entries than bytes left cannot be true.
        if (entries > m_bytes.size() - m_at || m_depth > MaxCborDepth) {
            return false;
        }
        m_open.at(m_depth++) = entries * itemsPerEntry;
        return true;
    }

    const Bytes &m_bytes;
    std::size_t m_at = 0;
    std::array<std::uint64_t, MaxCborDepth + 1> m_open{}; ///< items still to come, one count a level
    std::size_t m_depth = 0;
};

} // namespace

bool isPlainCbor(const Bytes &bytes)
{
    return Scanner(bytes).scan();
}

} // namespace Heatherridge
