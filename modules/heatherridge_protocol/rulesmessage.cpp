#include "heatherridge_protocol/rulesmessage.h"

#include "heatherridge_protocol/cborstructure.h"
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

/** Decodes @p bytes as an array of the format number and two fields, which @p readFields gets. */
template<typename ReadFields>
auto decodeMessage(std::string_view bytes, ReadFields readFields) -> Result<decltype(readFields(json(), json()))>
{
    if (!isPlainCbor(Bytes(bytes.begin(), bytes.end()))) {
        return Error{.kind = ErrorKind::MalformedFrame, .detail = "not one plain CBOR item"};
    }
    return decodeCbor(bytes, [&readFields](const json &message) {
        require(message.is_array() && message.size() == 3 && wholeNumber(message[0]) == RulesFormat, "unknown format");
        return readFields(message[1], message[2]);
    });
}

} // namespace

std::string encode(const RulesRequest &request)
{
    return encodeCbor(json::array({RulesFormat, request.version, encodeRecord(request.record)}));
}

std::string encode(const RulesResponse &response)
{
    return encodeCbor(json::array({RulesFormat, response.wantsRecord, encodeRecord(response.record)}));
}

Result<RulesRequest> decodeRulesRequest(std::string_view bytes)
{
    return decodeMessage(bytes, [](const json &version, const json &record) {
        return RulesRequest{.version = wholeNumber(version), .record = decodeRecord(record)};
    });
}

Result<RulesResponse> decodeRulesResponse(std::string_view bytes)
{
    return decodeMessage(bytes, [](const json &wantsRecord, const json &record) {
        return RulesResponse{.wantsRecord = wantsRecord.get<bool>(), .record = decodeRecord(record)};
    });
}

} // namespace Heatherridge
