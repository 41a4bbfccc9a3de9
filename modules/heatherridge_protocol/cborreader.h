#pragma once

#include "heatherridge_protocol/envelope.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Heatherridge
{

/**
 * Reads and validates the fields of one decoded CBOR map.
 *
 * A field that is missing, has the wrong type or is out of range marks the reader as failed, and its read returns a
 * null value. failedKey() names the first such field. A codec reads all fields and then checks ok() once. Holds a
 * reference to the map. Not thread-safe.
 */
class CborReader
{
public:
    /** Parses @p bytes into @p result. Returns false if they are not a CBOR map. Does not throw. */
    static bool parse(const Bytes &bytes, nlohmann::json &result);

    /** Creates a reader for @p map, which must outlive it. */
    explicit CborReader(const nlohmann::json &map);

    /** Returns the unsigned integer at @p key, which must not exceed @p maximum. */
    std::uint64_t number(std::string_view key, std::uint64_t maximum = UINT64_MAX);

    /** Returns the signed integer at @p key, which must lie in the range [@p minimum, @p maximum]. */
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum);

    /** Returns the floating-point number at @p key, which must be finite. */
    double fraction(std::string_view key);

    /** Returns the text string at @p key. */
    std::string text(std::string_view key);

    /** Returns the boolean at @p key. */
    bool boolean(std::string_view key);

    /** Returns the byte string at @p key. */
    Bytes bytes(std::string_view key);

    /** Returns the array at @p key, owned by the map. Returns nullptr and marks the reader as failed if there is none.
     */
    const nlohmann::json *array(std::string_view key);

    /** Returns the map at @p key, owned by the enclosing map. Returns nullptr and marks the reader as failed if there
     * is none. */
    const nlohmann::json *map(std::string_view key);

    /** Returns whether @p key is present. Never marks the reader as failed. */
    bool has(std::string_view key) const;

    /** Marks the reader as failed at @p key, for a check that the codec makes itself. */
    void fail(std::string_view key);

    /** Returns whether all fields read so far were present and valid. */
    bool ok() const;

    /** Returns the key of the first invalid field, for log messages. */
    const std::string &failedKey() const;

private:
    const nlohmann::json *find(std::string_view key);

    const nlohmann::json &m_map;
    std::string m_failedKey;
};

/** Returns a MalformedFrame error whose detail names the invalid part @p what. */
Error malformedError(std::string_view what);

/** Encodes @p map as CBOR. */
Bytes toCbor(const nlohmann::json &map);

/** Returns @p bytes as a JSON value that is encoded as a CBOR byte string. */
nlohmann::json binary(Bytes bytes);

} // namespace Heatherridge
