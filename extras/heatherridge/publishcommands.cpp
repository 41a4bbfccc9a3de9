#include "publishcommands.h"

#include "documentcheck.h"
#include "logsession.h"
#include "textfile.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>

namespace Heatherridge
{

namespace
{

/** Returns a unique operation id of 128 random bits. */
OperationId generateOperationId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device device;
    std::string text = "op-";
    for (int digit = 0; digit < 32; ++digit) {
        text += digits[device() % digits.size()];
    }
    return OperationId(text);
}

/**
 * Returns the operation id to write to the log: the operator's id and a hash of the published content.
 *
 * The fold answers a repeated id with its first outcome. Without the hash, an id reused for another file by mistake
 * would receive the outcome of the first file; with it, the second file is a publish of its own.
 */
OperationId bindToContent(const OperationId &id, const std::string &content)
{
    std::array<char, 17> hash{};
    std::snprintf(hash.data(), hash.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(content.data(), content.size(), 0)));
    return OperationId(id.text() + "." + hash.data());
}

std::string offsetText(LogOffset offset)
{
    return std::to_string(toNumber(offset));
}

/** Converts the outcome of a publish into a report. */
class PublishReporter
{
public:
    PublishReporter(std::string subject, const OperationId &operation)
        : m_subject(std::move(subject))
        , m_operation(operation)
    {
    }

    Report operator()(const PublishAccepted &accepted) const
    {
        return report(ExitCode::Done, "accepted", "accepted at offset " + offsetText(accepted.offset),
                      {{"offset", toNumber(accepted.offset)}});
    }

    Report operator()(const PublishUnchanged &unchanged) const
    {
        return report(ExitCode::Done, "unchanged", "in force already, since offset " + offsetText(unchanged.offset),
                      {{"offset", toNumber(unchanged.offset)}});
    }

    Report operator()(const PublishRefused &refused) const
    {
        const auto &refusal = refused.refusal;
        auto text = "refused at offset " + offsetText(refused.decidedAt) + ": " + std::string(toString(refusal.reason));
        if (toNumber(refusal.conflictOffset) != 0) {
            text += ", offset " + offsetText(refusal.conflictOffset) + " came first";
        }
        if (!refusal.conflictsWith.isEmpty()) {
            text += " (operation " + refusal.conflictsWith.text() + ")";
        }
        text += refusal.detail.empty() ? "" : ": " + refusal.detail;
        return report(ExitCode::Refused, "refused", text,
                      {{"offset", toNumber(refused.decidedAt)},
                       {"reason", toString(refusal.reason)},
                       {"conflict_offset", toNumber(refusal.conflictOffset)},
                       {"conflict_operation", refusal.conflictsWith.text()},
                       {"detail", refusal.detail}});
    }

    Report operator()(const PublishReused &reused) const
    {
        return report(ExitCode::Refused, "reused",
                      "refused: the operation id was used for other content at offset " + offsetText(reused.decidedAt),
                      {{"offset", toNumber(reused.decidedAt)}});
    }

    Report operator()(const PublishInvalid &invalid) const
    {
        return faultReport(m_subject, invalid.faults);
    }

    Report operator()(const PublishNotSent &notSent) const
    {
        return report(ExitCode::Unreachable, "not-sent", "not sent: " + notSent.detail, {{"detail", notSent.detail}});
    }

    Report operator()(const PublishUnknown &unknown) const
    {
        return report(ExitCode::Unknown, "unknown",
                      "unknown, run again with --operation " + m_operation.text() + " --based-on "
                          + offsetText(unknown.basedOn),
                      {{"based_on", toNumber(unknown.basedOn)}});
    }

private:
    Report report(ExitCode code, const std::string &result, const std::string &text, nlohmann::json json) const
    {
        json["result"] = result;
        json["operation"] = m_operation.text();
        return {.code = code, .text = m_subject + ": " + text + "\n", .json = std::move(json)};
    }

    std::string m_subject;
    OperationId m_operation;
};

/** Publishes @p request with the operation id of @p line, or a new one; the id is bound to @p content. */
Report publish(LogSession &session, const std::string &subject, const CommandLine &line, const std::string &content,
               PublishRequest request)
{
    const auto operation = line.operation.isEmpty() ? generateOperationId() : line.operation;
    request.operation = bindToContent(operation, content);
    return std::visit(PublishReporter(subject, operation), session.publish(std::move(request)));
}

Report unreachable()
{
    return {.code = ExitCode::Unreachable,
            .text = "the log did not answer in time; nothing was sent\n",
            .json = {{"result", "not-sent"}, {"detail", "the log did not answer in time"}}};
}

} // namespace

Report runPublish(const PublishCommand &command, const CommandLine &line)
{
    auto text = readTextFile(command.file);
    if (!text) {
        return unreadableReport(command.file);
    }
    if (const auto faults = findFaults(command.document, *text); !faults.empty()) {
        return faultReport(command.file, faults);
    }
    LogSession session(*line.log, line.timeout);
    const auto content = std::string(toString(command.document)) + "\n" + *text;
    return publish(session, command.file, line, content,
                   {.document = command.document, .basedOn = line.basedOn, .text = *std::move(text)});
}

Report runDrain(const DrainCommand &command, const CommandLine &line)
{
    LogSession session(*line.log, line.timeout);
    const auto activeConfig = session.readActiveConfig();
    if (!activeConfig) {
        return unreachable();
    }
    const auto &target = command.target.text();
    if (activeConfig->inventory->find(command.target) == nullptr) {
        return {.code = ExitCode::NotFound,
                .text = target + ": no such target in the inventory in force\n",
                .json = {{"result", "not-found"}, {"target", target}}};
    }
    if (line.operation.isEmpty() && activeConfig->rules->hasPlannedStop(command.target)) {
        return {.text = target + ": a stop is planned already\n",
                .json = {{"result", "unchanged"}, {"offset", toNumber(activeConfig->rulesOffset)}}};
    }
    return publish(
        session, target, line, "drain " + target,
        {.document = DocumentKind::Rules,
         .basedOn = line.basedOn.value_or(activeConfig->offset),
         .text = activeConfig->rulesText + "\n[planned-stop.drain-" + target + "]\ntarget = " + target + "\n"});
}

} // namespace Heatherridge
