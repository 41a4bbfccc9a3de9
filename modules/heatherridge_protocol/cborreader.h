#pragma once

#include "heatherridge_protocol/envelope.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Heatherridge
{

/**
 * Takes checked fields out of one decoded CBOR map.
 *
 * The first field that is absent or of another type or range marks the reader as failed; later reads return null
 * values. A codec reads all fields and then asks ok() once. Holds a reference to the map. One thread.
 */
class CborReader
{
public:
    /** Parses @p bytes into @p into; false when they are no CBOR map. No exception leaves it. */
    static bool parse(const Bytes &bytes, nlohmann::json &result);

    /** Reads from @p map, which must outlive the reader. */
    explicit CborReader(const nlohmann::json &map);

    /** The whole number at @p key, at most @p highest. */
    std::uint64_t number(std::string_view key, std::uint64_t maximum = UINT64_MAX);

    /** The signed whole number at @p key. */
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum);

    /** The fraction at @p key; must be finite. */
    double fraction(std::string_view key);

    /** The text at @p key. */
    std::string text(std::string_view key);

    /** The switch at @p key. */
    bool boolean(std::string_view key);

    /** The byte string at @p key. */
    Bytes bytes(std::string_view key);

    /** The array at @p key, or nullptr (and failed). The map keeps ownership. */
    const nlohmann::json *array(std::string_view key);

    /** The map at @p key, or nullptr (and failed). The map keeps ownership. */
    const nlohmann::json *map(std::string_view key);

    /** Whether @p key is there at all; does not mark the reader as failed. */
    bool has(std::string_view key) const;

    /** Marks the reader as failed for a reason of the codec's own. */
    void fail(std::string_view key);

    /** Whether all fields so far were there and in range. */
    bool ok() const;

    /** The key of the first field that was not, for the log. */
    const std::string &failedKey() const;

private:
    const nlohmann::json *find(std::string_view key);

    const nlohmann::json &m_map;
    std::string m_failedKey;
};

/** A MalformedFrame error that names what was wrong. */
Error malformedError(std::string_view what);

/** @p map as CBOR bytes. */
Bytes toCbor(const nlohmann::json &map);

/** @p bytes as a CBOR byte string. */
nlohmann::json binary(Bytes bytes);

} // namespace Heatherridge
