#include "heatherridge_protocol/rulesmessage.h"

#include "heatherridge_protocol/cborvalue.h"

#include <xxhash.h>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

/** Error id that the JSON library's exceptions require; not evaluated here. */
constexpr int RulesLimitError = 602;

/** Rejects the message unless @p isValid. */
void require(bool isValid, const char *what)
{
    if (!isValid) {
        throw json::other_error::create(RulesLimitError, what, nullptr);
    }
}

std::uint64_t checksum(const std::string &value)
{
    return XXH3_64bits(value.data(), value.size());
}

std::uint64_t wholeNumber(const json &value)
{
    require(value.is_number_unsigned(), "not an unsigned integer");
    return value.get<std::uint64_t>();
}

json encodeRecord(const std::optional<RulesRecord> &record)
{
    if (!record) {
        return {};
    }
    return json::array({record->version, record->key, json::binary({record->value.begin(), record->value.end()}),
                        checksum(record->value)});
}

std::optional<RulesRecord> decodeRecord(const json &value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    require(value.is_array() && value.size() == 4, "wrong number of fields in a record");
    RulesRecord record{.version = wholeNumber(value[0]), .key = value[1].get<std::string>()};
    require(record.version > 0, "record without a version");
    require(!record.key.empty() && record.key.size() <= MaxRulesKeyBytes, "key of invalid length");
    require(value[2].is_binary(), "record without bytes");
    const auto &bytes = value[2].get_binary();
    require(bytes.size() <= MaxRulesRecordBytes, "record too large");
    record.value.assign(bytes.begin(), bytes.end());
    require(wholeNumber(value[3]) == checksum(record.value), "record does not match its checksum");
    return record;
}

json encodeDrains(const std::optional<ZoneDrains> &drains)
{
    if (!drains) {
        return {};
    }
    auto zones = json::array();
    for (const auto &zone : drains->zones) {
        zones.push_back(zone.text());
    }
    return json::array({drains->position, std::move(zones)});
}

std::optional<ZoneDrains> decodeDrains(const json &value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    require(value.is_array() && value.size() == 2, "wrong number of fields in drained zones");
    ZoneDrains drains{.position = wholeNumber(value[0])};
    require(value[1].is_array() && value[1].size() <= MaxDrainedZones, "too many drained zones");
    for (const auto &name : value[1]) {
        const auto zone = name.get<std::string>();
        require(!zone.empty() && zone.size() <= MaxDrainedZoneBytes, "zone name of invalid length");
        require(drains.zones.insert(ZoneName(zone)).second, "zone named twice");
    }
    return drains;
}

/** Decodes @p bytes as an array of @p size elements, the first of which is the format number, with @p read. */
template<typename Read>
auto decodeMessage(std::string_view bytes, std::size_t size, Read read) -> Result<decltype(read(json()))>
{
    return decodeCbor(bytes, [size, &read](const json &message) {
        require(message.is_array() && message.size() == size && wholeNumber(message[0]) == RulesFormat,
                "unknown format");
        return read(message);
    });
}

} // namespace

std::string encode(const RulesRequest &request)
{
    return encodeCbor(
        json::array({RulesFormat, request.version, encodeRecord(request.record), encodeDrains(request.drains)}));
}

std::string encode(const RulesResponse &response)
{
    return encodeCbor(json::array({RulesFormat, response.wantsRecord, encodeRecord(response.record),
                                   response.hasNewDrains, encodeDrains(response.drains)}));
}

Result<RulesRequest> decodeRulesRequest(std::string_view bytes)
{
    return decodeMessage(bytes, 4, [](const json &message) {
        return RulesRequest{
            .version = wholeNumber(message[1]), .record = decodeRecord(message[2]), .drains = decodeDrains(message[3])};
    });
}

Result<RulesResponse> decodeRulesResponse(std::string_view bytes)
{
    return decodeMessage(bytes, 5, [](const json &message) {
        return RulesResponse{.wantsRecord = message[1].get<bool>(),
                             .record = decodeRecord(message[2]),
                             .hasNewDrains = message[3].get<bool>(),
                             .drains = decodeDrains(message[4])};
    });
}

} // namespace Heatherridge
