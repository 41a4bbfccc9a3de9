#include "heatherridge_protocol/runrecordcodec.h"

#include "heatherridge_protocol/cborvalue.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

/** First field of each record. */
constexpr std::uint64_t Format = 1;
constexpr std::size_t FieldCount = 11;
/** The end of the year 9999. */
constexpr std::uint64_t MaxWallMilliseconds = 253'402'300'799'999;

[[noreturn]] void rejectField(const json &field)
{
    throw json::type_error::create(302, "invalid field of a record of a run", &field);
}

std::uint64_t numberFrom(const json &field, std::uint64_t maximum = UINT64_MAX)
{
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maximum) {
        rejectField(field);
    }
    return field.get<std::uint64_t>();
}

std::string textFrom(const json &field, std::size_t maxBytes)
{
    if (!field.is_string() || field.get_ref<const std::string &>().size() > maxBytes) {
        rejectField(field);
    }
    return field.get<std::string>();
}

RunRecord recordFrom(const json &fields)
{
    if (!fields.is_array() || fields.size() != FieldCount || numberFrom(fields.at(0)) != Format) {
        rejectField(fields);
    }
    constexpr auto lastState = static_cast<std::uint64_t>(RunState::Ended);
    return {.run = static_cast<Incarnation>(numberFrom(fields.at(1))),
            .startedAt = WallTime(std::chrono::milliseconds(numberFrom(fields.at(2), MaxWallMilliseconds))),
            .state = static_cast<RunState>(numberFrom(fields.at(3), lastState)),
            .use = {.peakMemory = numberFrom(fields.at(4)),
                    .memoryLimit = numberFrom(fields.at(5)),
                    .descriptors = numberFrom(fields.at(6)),
                    .descriptorLimit = numberFrom(fields.at(7))},
            .handlerFailures = numberFrom(fields.at(8)),
            .lastFailure = textFrom(fields.at(9), MaxFailureReasonBytes),
            .version = textFrom(fields.at(10), MaxVersionBytes)};
}

} // namespace

std::string encodeRunRecord(const RunRecord &record)
{
    const auto startedAt = std::max<std::int64_t>(record.startedAt.time_since_epoch().count(), 0);
    return encodeCbor(
        json::array({Format, toNumber(record.run), static_cast<std::uint64_t>(startedAt),
                     static_cast<std::uint64_t>(record.state), record.use.peakMemory, record.use.memoryLimit,
                     record.use.descriptors, record.use.descriptorLimit, record.handlerFailures,
                     record.lastFailure.substr(0, MaxFailureReasonBytes), record.version.substr(0, MaxVersionBytes)}));
}

Result<RunRecord> decodeRunRecord(std::string_view bytes)
{
    // Also bounds the depth to which the decoder nests.
    if (bytes.size() > MaxRunRecordBytes) {
        return Error{.kind = ErrorKind::MalformedFrame, .detail = "the record of a run is too large"};
    }
    return decodeCbor(bytes, recordFrom);
}

} // namespace Heatherridge
