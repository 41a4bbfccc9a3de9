#include "heatherridge_protocol/crashreportcodec.h"

#include "heatherridge_protocol/cborvalue.h"

namespace Heatherridge
{

namespace
{

using nlohmann::json;

/** Fields of a CrashReport of earlier releases, which do not name its reporter. */
constexpr std::size_t EarlierReportSize = 4;

/** Returns the fingerprint in the two fields from @p index on. */
RequestFingerprint fingerprintFrom(const json &fields, std::size_t index)
{
    return {.high = fields.at(index).get<std::uint64_t>(), .low = fields.at(index + 1).get<std::uint64_t>()};
}

Incarnation incarnationFrom(const json &field)
{
    return static_cast<Incarnation>(field.get<std::uint64_t>());
}

CrashReport reportFrom(const json &fields)
{
    const bool hasAnswered = fields.at(0).get<bool>();
    CrashReport report{.kind = hasAnswered ? CrashReport::Kind::Answered : CrashReport::Kind::TargetDied,
                       .request = fingerprintFrom(fields, 1),
                       .target = TargetName(fields.at(3).get<std::string>())};
    if (fields.size() > EarlierReportSize) {
        report.reporter = incarnationFrom(fields.at(4));
        report.reportedAt = std::chrono::milliseconds(fields.at(5).get<std::int64_t>());
        report.progress = fields.at(6).get<std::uint32_t>();
        report.wasSuspect = fields.at(7).get<bool>();
    }
    return report;
}

/** Kinds of records but a CrashReport, whose first field is a boolean instead. */
enum class RecordKind : std::uint64_t {
    PartsDeath = 1,
    PartsAnswered,
    PartBlocked,
    PartTrial,
    RequestBlocked,
    RequestTrial
};

json fieldsOf(const RequestBlocked &blocked)
{
    return json::array(
        {RecordKind::RequestBlocked, blocked.request.high, blocked.request.low, blocked.trials, blocked.failedTrials});
}

json fieldsOf(const RequestTrial &trial)
{
    return json::array(
        {RecordKind::RequestTrial, trial.request.high, trial.request.low, toNumber(trial.gateway), trial.number});
}

json fieldsOf(const PromptPartsDeath &death)
{
    auto parts = json::array();
    for (const auto &inHand : death.parts) {
        parts.push_back(toNumber(inHand.part));
        parts.push_back(inHand.wasAnswered);
    }
    return json::array({RecordKind::PartsDeath, toNumber(death.reporter), death.reportedAt.count(), death.target.text(),
                        death.progress, std::move(parts)});
}

json fieldsOf(const PromptPartsAnswered &answered)
{
    auto parts = json::array();
    for (const auto part : answered.parts) {
        parts.push_back(toNumber(part));
    }
    return json::array({RecordKind::PartsAnswered, std::move(parts)});
}

json fieldsOf(const PromptPartBlocked &blocked)
{
    return json::array({RecordKind::PartBlocked, toNumber(blocked.part), blocked.trials, blocked.failedTrials});
}

json fieldsOf(const PromptPartTrial &trial)
{
    return json::array({RecordKind::PartTrial, toNumber(trial.part), toNumber(trial.gateway), trial.number});
}

PromptPart partFrom(const json &field)
{
    return static_cast<PromptPart>(field.get<std::uint64_t>());
}

PromptPartsDeath deathFrom(const json &fields)
{
    PromptPartsDeath death{.reporter = incarnationFrom(fields.at(1)),
                           .reportedAt = std::chrono::milliseconds(fields.at(2).get<std::int64_t>()),
                           .target = TargetName(fields.at(3).get<std::string>()),
                           .progress = fields.at(4).get<std::uint32_t>()};
    const auto &parts = fields.at(5);
    for (std::size_t index = 0; index < parts.size(); index += 2) {
        death.parts.push_back({.part = partFrom(parts.at(index)), .wasAnswered = parts.at(index + 1).get<bool>()});
    }
    return death;
}

PromptPartsAnswered answeredFrom(const json &fields)
{
    PromptPartsAnswered answered;
    for (const auto &part : fields.at(1)) {
        answered.parts.push_back(partFrom(part));
    }
    return answered;
}

CrashRecord recordFrom(const json &fields)
{
    if (fields.at(0).is_boolean()) {
        return reportFrom(fields);
    }
    switch (fields.at(0).get<RecordKind>()) {
    case RecordKind::PartsDeath:
        return deathFrom(fields);
    case RecordKind::PartsAnswered:
        return answeredFrom(fields);
    case RecordKind::PartBlocked:
        return PromptPartBlocked{.part = partFrom(fields.at(1)),
                                 .trials = fields.at(2).get<std::uint32_t>(),
                                 .failedTrials = fields.at(3).get<std::uint32_t>()};
    case RecordKind::PartTrial:
        return PromptPartTrial{.part = partFrom(fields.at(1)),
                               .gateway = incarnationFrom(fields.at(2)),
                               .number = fields.at(3).get<std::uint32_t>()};
    case RecordKind::RequestBlocked:
        return RequestBlocked{.request = fingerprintFrom(fields, 1),
                              .trials = fields.at(3).get<std::uint32_t>(),
                              .failedTrials = fields.at(4).get<std::uint32_t>()};
    case RecordKind::RequestTrial:
        return RequestTrial{.request = fingerprintFrom(fields, 1),
                            .gateway = incarnationFrom(fields.at(3)),
                            .number = fields.at(4).get<std::uint32_t>()};
    }
    throw json::type_error::create(302, "unknown kind of crash record", &fields);
}

} // namespace

std::string encode(const CrashReport &report)
{
    const bool hasAnswered = report.kind == CrashReport::Kind::Answered;
    return encodeCbor(
        json::array({hasAnswered, report.request.high, report.request.low, report.target.text(),
                     toNumber(report.reporter), report.reportedAt.count(), report.progress, report.wasSuspect}));
}

Result<CrashReport> decodeCrashReport(std::string_view bytes)
{
    return decodeCbor(bytes, reportFrom);
}

std::string encodeCrashRecord(const CrashRecord &record)
{
    const auto encodeContent = Visitor{[](const CrashReport &report) { return encode(report); },
                                       [](const auto &content) { return encodeCbor(fieldsOf(content)); }};
    return std::visit([&](const auto &kind) { return std::visit(encodeContent, kind); }, record);
}

Result<CrashRecord> decodeCrashRecord(std::string_view bytes)
{
    return decodeCbor(bytes, recordFrom);
}

} // namespace Heatherridge
