#include "heatherridge_state/config/ruleset.h"

#include "heatherridge_state/config/sectionreader.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr double MaxWeight = 1e6;
constexpr int MaxPriorityOffset = 10;
constexpr long long MaxPlacementSamples = 64;
constexpr double MaxZonePrice = 1000;
constexpr std::chrono::milliseconds MinTimeout{10};
constexpr std::chrono::milliseconds MaxTimeout{3'600'000};

bool matchesPath(std::string_view pattern, std::string_view path)
{
    if (!pattern.empty() && pattern.back() == '*') {
        return path.substr(0, pattern.size() - 1) == pattern.substr(0, pattern.size() - 1);
    }
    return pattern == path;
}

} // namespace

/** Builds a rule set from a document, section by section. */
class RuleSetReader
{
public:
    std::variant<RuleSet, std::vector<ConfigFault>> read(const IniDocument &document)
    {
        m_faults = document.faults();
        for (const auto &section : document.sections()) {
            readSection(section);
        }
        if (!m_faults.empty()) {
            std::stable_sort(m_faults.begin(), m_faults.end(),
                             [](const auto &a, const auto &b) { return a.line < b.line; });
            return m_faults;
        }
        return std::move(m_rules);
    }

private:
    void readSection(const IniSection &section)
    {
        if (section.kind == "workspace" && !section.name.empty()) {
            readWorkspace(section);
        } else if (section.kind == "service" && !section.name.empty()) {
            readService(section);
        } else if (section.kind == "planned-stop" && !section.name.empty()) {
            readPlannedStop(section);
        } else if (section.kind == "balance" && section.name.empty()) {
            readBalance(section);
        } else if (section.kind == "placement" && section.name.empty()) {
            readPlacement(section);
        } else {
            m_faults.push_back({.line = section.line,
                                .reason = "unknown section; a rule set has [workspace.NAME], [service.NAME], "
                                          "[planned-stop.NAME], [balance] and [placement]"});
        }
    }

    void readWorkspace(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        Workspace workspace{.name = WorkspaceName(section.name),
                            .weight = reader.fraction("weight", 1, 0.001, MaxWeight),
                            .key = reader.text("key"),
                            .priority =
                                static_cast<int>(reader.number("priority", 0, -MaxPriorityOffset, MaxPriorityOffset))};
        if (!workspace.key.empty() && m_rules.findByKey(workspace.key) != nullptr) {
            reader.addFault("key", "two workspaces share this key");
        }
        reader.reportUnknownKeys();
        m_rules.m_workspaces.emplace(workspace.name, workspace);
    }

    void readService(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        ServiceRules service{.name = ServiceName(section.name),
                             .timeout = reader.duration("timeout-ms", ServiceRules{}.timeout, MinTimeout, MaxTimeout)};
        for (const auto &call : reader.list("repeatable")) {
            const auto space = call.find(' ');
            const auto path =
                space == std::string::npos ? std::string_view{} : trimmed(std::string_view(call).substr(space));
            if (path.empty() || path.front() != '/') {
                reader.addFault("repeatable", "'" + call + "' is not a method, a space and a path");
                continue;
            }
            service.repeatable.push_back({.method = call.substr(0, space), .path = std::string(path)});
        }
        reader.reportUnknownKeys();
        m_rules.m_services.emplace(service.name, service);
    }

    void readPlannedStop(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        m_rules.m_plannedStops.push_back({.name = section.name, .target = TargetName(reader.requiredText("target"))});
        reader.reportUnknownKeys();
    }

    void readBalance(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        m_rules.m_balance.skew = reader.fraction("skew-weight", 1, 0, MaxWeight);
        m_rules.m_balance.cost = reader.fraction("cost-weight", 1, 0, MaxWeight);
        reader.reportUnknownKeys();
    }

    void readPlacement(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        const CostPlacementOptions defaults;
        const auto policy =
            reader.choice("policy", {"cost", "round-robin", "least-requests", "two-choices", "consistent-hash"}, 0);
        const CostPlacementOptions cost{
            .samples = static_cast<std::size_t>(
                reader.number("samples", static_cast<long long>(defaults.samples), 1, MaxPlacementSamples)),
            .usePrefix = reader.flag("use-prefix", defaults.usePrefix),
            .useReports = reader.flag("use-reports", defaults.useReports),
            .zonePrice = reader.fraction("zone-price", defaults.zonePrice, 0, MaxZonePrice)};
        const PlacementRules choices[] = {cost, RoundRobinOptions{}, LeastRequestsOptions{}, TwoChoicesOptions{},
                                          HashOptions{}};
        m_rules.m_placement = choices[policy];
        reader.reportUnknownKeys();
    }

    RuleSet m_rules;
    std::vector<ConfigFault> m_faults;
};

std::variant<RuleSet, std::vector<ConfigFault>> RuleSet::fromDocument(const IniDocument &document)
{
    return RuleSetReader().read(document);
}

const std::map<WorkspaceName, Workspace> &RuleSet::workspaces() const
{
    return m_workspaces;
}

const Workspace *RuleSet::find(const WorkspaceName &name) const
{
    const auto workspace = m_workspaces.find(name);
    return workspace == m_workspaces.end() ? nullptr : &workspace->second;
}

const Workspace *RuleSet::findByKey(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    const auto entry = std::find_if(m_workspaces.begin(), m_workspaces.end(),
                                    [key](const auto &candidate) { return candidate.second.key == key; });
    return entry == m_workspaces.end() ? nullptr : &entry->second;
}

ServiceRules RuleSet::serviceRules(const ServiceName &service) const
{
    const auto rules = m_services.find(service);
    return rules == m_services.end() ? ServiceRules{.name = service} : rules->second;
}

bool RuleSet::isRepeatable(const ServiceName &service, std::string_view method, std::string_view path) const
{
    const auto rules = m_services.find(service);
    if (rules == m_services.end()) {
        return false;
    }
    const auto &calls = rules->second.repeatable;
    return std::any_of(calls.begin(), calls.end(),
                       [&](const auto &call) { return call.method == method && matchesPath(call.path, path); });
}

const std::vector<PlannedStop> &RuleSet::plannedStops() const
{
    return m_plannedStops;
}

bool RuleSet::hasPlannedStop(const TargetName &target) const
{
    return std::any_of(m_plannedStops.begin(), m_plannedStops.end(),
                       [&target](const auto &stop) { return stop.target == target; });
}

const BalanceWeights &RuleSet::balance() const
{
    return m_balance;
}

const PlacementRules &RuleSet::placement() const
{
    return m_placement;
}

} // namespace Heatherridge
