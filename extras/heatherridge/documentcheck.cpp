#include "documentcheck.h"

#include "textfile.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

template<typename Document>
std::vector<ConfigFault> findFaultsAs(const IniDocument &text)
{
    auto result = Document::fromDocument(text);
    auto *faults = std::get_if<std::vector<ConfigFault>>(&result);
    return faults != nullptr ? std::move(*faults) : std::vector<ConfigFault>{};
}

} // namespace

DocumentKind inferDocumentKind(const std::string &text)
{
    const auto document = IniDocument::parse(text);
    const auto &sections = document.sections();
    const bool isRules = std::any_of(sections.begin(), sections.end(), [](const IniSection &section) {
        return section.kind == "workspace" || section.kind == "service" || section.kind == "planned-stop"
            || section.kind == "balance";
    });
    return isRules ? DocumentKind::Rules : DocumentKind::Inventory;
}

std::vector<ConfigFault> findFaults(DocumentKind kind, const std::string &text)
{
    const auto document = IniDocument::parse(text);
    return kind == DocumentKind::Rules ? findFaultsAs<RuleSet>(document) : findFaultsAs<Inventory>(document);
}

Report faultReport(const std::string &file, const std::vector<ConfigFault> &faults)
{
    Report report{.code = ExitCode::Faults};
    auto list = nlohmann::json::array();
    for (const auto &fault : faults) {
        report.text += file + ":" + std::to_string(fault.line) + ": " + fault.reason + "\n";
        list.push_back({{"line", fault.line}, {"reason", fault.reason}});
    }
    report.json = {{"result", "faults"}, {"file", file}, {"faults", std::move(list)}};
    return report;
}

Report checkFile(const std::string &file, std::optional<DocumentKind> kind)
{
    const auto text = readTextFile(file);
    if (!text) {
        return unreadableReport(file);
    }
    const auto documentKind = kind.value_or(inferDocumentKind(*text));
    if (const auto faults = findFaults(documentKind, *text); !faults.empty()) {
        return faultReport(file, faults);
    }
    const std::string name(toString(documentKind));
    return {.text = file + ": no faults as " + name + "\n",
            .json = {{"result", "ok"}, {"file", file}, {"document", name}}};
}

Report unreadableReport(const std::string &file)
{
    return faultReport(file, {{.line = 0, .reason = "the file cannot be read"}});
}

} // namespace Heatherridge
