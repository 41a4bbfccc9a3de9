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

/** Kinds of records of prompt parts. The first field of a CrashReport is a boolean instead. */
enum class PartRecordKind : std::uint64_t { Death = 1, Answered, Blocked, Trial };

json fieldsOf(const PromptPartsDeath &death)
{
    auto parts = json::array();
    for (const auto &inHand : death.parts) {
        parts.push_back(toNumber(inHand.part));
        parts.push_back(inHand.wasAnswered);
    }
    return json::array({PartRecordKind::Death, toNumber(death.reporter), death.reportedAt.count(), death.target.text(),
                        death.progress, std::move(parts)});
}

json fieldsOf(const PromptPartsAnswered &answered)
{
    auto parts = json::array();
    for (const auto part : answered.parts) {
        parts.push_back(toNumber(part));
    }
    return json::array({PartRecordKind::Answered, std::move(parts)});
}

json fieldsOf(const PromptPartBlocked &blocked)
{
    return json::array({PartRecordKind::Blocked, toNumber(blocked.part), blocked.trials, blocked.failedTrials});
}

json fieldsOf(const PromptPartTrial &trial)
{
    return json::array({PartRecordKind::Trial, toNumber(trial.part), toNumber(trial.gateway), trial.number});
}

PromptPart partFrom(const json &field)
{
    return static_cast<PromptPart>(field.get<std::uint64_t>());
}

PromptPartsDeath deathFrom(const json &fields)
{
    PromptPartsDeath death{.reporter = static_cast<Incarnation>(fields.at(1).get<std::uint64_t>()),
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
    switch (fields.at(0).get<PartRecordKind>()) {
    case PartRecordKind::Death:
        return deathFrom(fields);
    case PartRecordKind::Answered:
        return answeredFrom(fields);
    case PartRecordKind::Blocked:
        return PromptPartBlocked{.part = partFrom(fields.at(1)),
                                 .trials = fields.at(2).get<std::uint32_t>(),
                                 .failedTrials = fields.at(3).get<std::uint32_t>()};
    case PartRecordKind::Trial:
        return PromptPartTrial{.part = partFrom(fields.at(1)),
                               .gateway = static_cast<Incarnation>(fields.at(2).get<std::uint64_t>()),
                               .number = fields.at(3).get<std::uint32_t>()};
    }
    throw json::type_error::create(302, "unknown kind of crash record", &fields);
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

std::string encodeCrashRecord(const CrashRecord &record)
{
    return std::visit(Visitor{[](const CrashReport &report) { return encode(report); },
                              [](const PromptPartRecord &partRecord) {
                                  return encodeCbor(
                                      std::visit([](const auto &content) { return fieldsOf(content); }, partRecord));
                              }},
                      record);
}

Result<CrashRecord> decodeCrashRecord(std::string_view bytes)
{
    return decodeCbor(bytes, recordFrom);
}

} // namespace Heatherridge
