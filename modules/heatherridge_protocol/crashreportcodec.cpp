#include "heatherridge_protocol/crashreportcodec.h"

#include "heatherridge_protocol/cborvalue.h"

namespace Heatherridge
{

namespace
{

using nlohmann::json;

CrashReport reportFrom(const json &fields)
{
    const bool hasAnswered = fields.at(0).get<bool>();
    return {.kind = hasAnswered ? CrashReport::Kind::Answered : CrashReport::Kind::TargetDied,
            .request = {.high = fields.at(1).get<std::uint64_t>(), .low = fields.at(2).get<std::uint64_t>()},
            .target = TargetName(fields.at(3).get<std::string>())};
}

} // namespace

std::string encode(const CrashReport &report)
{
    const bool hasAnswered = report.kind == CrashReport::Kind::Answered;
    return encodeCbor(json::array({hasAnswered, report.request.high, report.request.low, report.target.text()}));
}

Result<CrashReport> decodeCrashReport(std::string_view bytes)
{
    return decodeCbor(bytes, reportFrom);
}

} // namespace Heatherridge
