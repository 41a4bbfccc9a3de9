#include "admincommands.h"

#include "adminquery.h"
#include "logsession.h"
#include "texttable.h"

#include <algorithm>
#include <cctype>

namespace Heatherridge
{

namespace
{

constexpr int StatusOk = 200;

/** Returns the field @p key of @p map as text, or "-" when absent. */
std::string fieldText(const nlohmann::json &map, const char *key)
{
    const auto field = map.find(key);
    if (field == map.end() || field->is_null()) {
        return "-";
    }
    return field->is_string() ? field->get<std::string>() : field->dump();
}

std::uint64_t numberField(const nlohmann::json &map, const char *key)
{
    const auto field = map.find(key);
    return field != map.end() && field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
}

bool isUsable(const AdminResponse &answer)
{
    return answer.status == StatusOk && answer.body.is_object();
}

std::string failureReason(const AdminResponse &answer)
{
    return answer.status == 0 ? answer.failure : "status " + std::to_string(answer.status);
}

/** Returns the highest offset that the log or any process has folded. */
std::uint64_t newestKnownOffset(const std::optional<ActiveConfig> &log, const std::vector<AdminResponse> &answers)
{
    auto newest = log ? toNumber(log->offset) : 0;
    for (const auto &answer : answers) {
        if (isUsable(answer)) {
            newest = std::max(newest, numberField(answer.body, "offset"));
        }
    }
    return newest;
}

void addLogStatus(const std::optional<ActiveConfig> &log, Report &report)
{
    if (!log) {
        report.text = "log: not reachable\n";
        report.json["log"] = nullptr;
        return;
    }
    report.text = "log: offset " + std::to_string(toNumber(log->offset)) + ", inventory in force since "
        + std::to_string(toNumber(log->inventoryOffset)) + " (" + std::to_string(log->inventory->targets().size())
        + " targets), rules since " + std::to_string(toNumber(log->rulesOffset)) + " ("
        + std::to_string(log->rules->workspaces().size()) + " workspaces)\n";
    report.json["log"] = {{"offset", toNumber(log->offset)},
                          {"inventory_offset", toNumber(log->inventoryOffset)},
                          {"rules_offset", toNumber(log->rulesOffset)},
                          {"digest", toNumber(log->digest)},
                          {"targets", log->inventory->targets().size()},
                          {"workspaces", log->rules->workspaces().size()}};
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const unsigned char character : text) {
        if (std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.') {
            result += static_cast<char>(character);
        } else {
            result += '%';
            result += digits[character >> 4U];
            result += digits[character & 0xFU];
        }
    }
    return result;
}

} // namespace

Report runStatus(const CommandLine &line)
{
    std::optional<ActiveConfig> log;
    if (line.log) {
        log = LogSession(*line.log, line.timeout).readActiveConfig();
    }
    const auto answers = queryAll(line.processes, "/admin/status", {}, line.timeout);
    const auto newest = newestKnownOffset(log, answers);
    Report report{.code = ExitCode::Unreachable};
    if (line.log) {
        addLogStatus(log, report);
    }
    TextTable table({"PROCESS", "ROLE", "ZONE", "OFFSET", "LAG", "INVENTORY", "RULES", "DIGEST", "LOG", "ADDRESS"});
    auto list = nlohmann::json::array();
    for (const auto &answer : answers) {
        const auto address = toString(answer.process);
        if (!isUsable(answer)) {
            table.add({"?", failureReason(answer), "", "", "", "", "", "", "", address});
            list.push_back({{"address", address}, {"failure", failureReason(answer)}});
            continue;
        }
        report.code = ExitCode::Done;
        const auto lag = newest - numberField(answer.body, "offset");
        table.add({fieldText(answer.body, "process"), fieldText(answer.body, "role"), fieldText(answer.body, "zone"),
                   fieldText(answer.body, "offset"), std::to_string(lag), fieldText(answer.body, "inventory_offset"),
                   fieldText(answer.body, "rules_offset"), fieldText(answer.body, "digest"),
                   fieldText(answer.body, "log"), address});
        auto entry = answer.body;
        entry["address"] = address;
        entry["lag"] = lag;
        list.push_back(std::move(entry));
    }
    report.text += table.text();
    report.json["processes"] = std::move(list);
    return report;
}

Report runTargets(const CommandLine &line)
{
    const auto answers = queryAll(line.processes, "/admin/targets", {}, line.timeout);
    const auto answer = std::find_if(answers.begin(), answers.end(), [](const AdminResponse &candidate) {
        return isUsable(candidate) && candidate.body.contains("targets") && candidate.body["targets"].is_array();
    });
    if (answer == answers.end()) {
        return {.code = ExitCode::Unreachable,
                .text = "no process reported its targets: " + failureReason(answers.front()) + "\n",
                .json = {{"result", "unreachable"}}};
    }
    TextTable table({"TARGET", "SERVICE", "ZONE", "STATE", "RUNNING", "WAITING", "LIMIT", "OFFSET"});
    for (const auto &target : answer->body["targets"]) {
        table.add({fieldText(target, "target"), fieldText(target, "service"), fieldText(target, "zone"),
                   fieldText(target, "state"), fieldText(target, "running"), fieldText(target, "waiting"),
                   fieldText(target, "limit"), fieldText(target, "offset")});
    }
    return {.text = table.text(), .json = answer->body};
}

Report runExplain(const ExplainCommand &command, const CommandLine &line)
{
    const auto &request = command.request.text();
    const auto answers = queryAll(line.processes, "/admin/explain", "request=" + percentEncoded(request), line.timeout);
    const auto answer = std::find_if(answers.begin(), answers.end(), isUsable);
    if (answer == answers.end()) {
        const bool anyAnswered = std::any_of(answers.begin(), answers.end(),
                                             [](const AdminResponse &candidate) { return candidate.status != 0; });
        return {.code = anyAnswered ? ExitCode::NotFound : ExitCode::Unreachable,
                .text = request + ": "
                    + (anyAnswered ? "unknown to all processes that were asked" : failureReason(answers.front()))
                    + "\n",
                .json = {{"result", anyAnswered ? "not-found" : "unreachable"}, {"request", request}}};
    }
    TextTable table({"MS", "EVENT", "TARGET", "REASON"});
    if (const auto steps = answer->body.find("steps"); steps != answer->body.end() && steps->is_array()) {
        for (const auto &step : *steps) {
            table.add({fieldText(step, "ms"), fieldText(step, "event"), fieldText(step, "target"),
                       fieldText(step, "reason")});
        }
    }
    return {.text = request + ": " + fieldText(answer->body, "outcome") + "\n" + table.text(), .json = answer->body};
}

} // namespace Heatherridge
