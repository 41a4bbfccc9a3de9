#include "heatherridge_state/config/inventory.h"

#include "heatherridge_state/config/sectionreader.h"

#include <algorithm>
#include <set>

namespace Heatherridge
{

namespace
{

constexpr int MaxPort = 65535;
constexpr int MaxRank = 4095;
constexpr int MaxExpertSlots = 4096;
constexpr int MaxConcurrency = 1'000'000;
constexpr std::chrono::milliseconds MaxZoneDelay{10'000};

/** Returns whether @p address consists of characters that are valid in an IP address. The full check is left to the
 * parser of the sockets. */
bool hasOnlyIpAddressCharacters(std::string_view address)
{
    return !address.empty() && address.find_first_not_of("0123456789abcdefABCDEF.:") == std::string_view::npos;
}

Endpoint requiredEndpoint(SectionReader &reader, std::string_view key)
{
    const auto text = reader.requiredText(key);
    if (text.empty()) {
        return {};
    }
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        reader.addFault(key, "'" + std::string(key) + "' must be an IP number, a colon and a port");
    }
    return endpoint.value_or(Endpoint{});
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !hasOnlyIpAddressCharacters(text.substr(0, colon))) {
        return std::nullopt;
    }
    const auto port = parseNumber(text.substr(colon + 1), 1, MaxPort);
    if (!port) {
        return std::nullopt;
    }
    return Endpoint{.address = std::string(text.substr(0, colon)), .port = static_cast<int>(*port)};
}

/** Builds an inventory from a document, section by section. */
class InventoryReader
{
public:
    std::variant<Inventory, std::vector<ConfigFault>> read(const IniDocument &document)
    {
        m_faults = document.faults();
        for (const auto &section : document.sections()) {
            readSection(section);
        }
        checkZones();
        checkGates();
        checkRanks();
        if (!m_faults.empty()) {
            std::stable_sort(m_faults.begin(), m_faults.end(),
                             [](const auto &a, const auto &b) { return a.line < b.line; });
            return m_faults;
        }
        return std::move(m_inventory);
    }

private:
    void readSection(const IniSection &section)
    {
        if (section.kind == "deployment" && section.name.empty()) {
            readDeployment(section);
        } else if (section.kind == "zone" && !section.name.empty()) {
            readZone(section);
        } else if (section.kind == "target" && !section.name.empty()) {
            readTarget(section);
        } else {
            m_faults.push_back(
                {.line = section.line,
                 .reason = "unknown section; an inventory has [deployment], [zone.NAME] and [target.NAME]"});
        }
    }

    void readDeployment(const IniSection &section)
    {
        using std::chrono::microseconds;
        SectionReader reader(section, m_faults);
        reader.text("name");
        const auto highest = std::chrono::duration_cast<microseconds>(MaxZoneDelay).count();
        m_inventory.m_interZoneDelay = microseconds(reader.number("zone-delay-us", 500, 0, highest));
        m_inventory.m_interRegionDelay = microseconds(reader.number("region-delay-us", 20'000, 0, highest));
        reader.reportUnknownKeys();
    }

    void readZone(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        Zone zone{.name = ZoneName(section.name), .region = RegionName(reader.requiredText("region"))};
        reader.reportUnknownKeys();
        m_inventory.m_zones.emplace(zone.name, zone);
    }

    void readTarget(const IniSection &section)
    {
        SectionReader reader(section, m_faults);
        Target target{.name = TargetName(section.name),
                      .host = HostName(reader.requiredText("host")),
                      .zone = ZoneName(reader.requiredText("zone")),
                      .service = ServiceName(reader.requiredText("service")),
                      .kind =
                          reader.choice("kind", {"engine", "plain"}, 0) == 0 ? TargetKind::Engine : TargetKind::Plain,
                      .gate = requiredEndpoint(reader, "gate"),
                      .backend = requiredEndpoint(reader, "backend"),
                      .checksOrders = reader.flag("checks-orders", false),
                      .group = GroupName(reader.text("group")),
                      .rank = static_cast<int>(reader.number("rank", 0, 0, MaxRank)),
                      .expertSlots = static_cast<int>(reader.number("expert-slots", 0, 0, MaxExpertSlots)),
                      .concurrency = static_cast<int>(reader.number("concurrency", 0, 0, MaxConcurrency)),
                      .withdrawn = reader.flag("withdrawn", false)};
        for (auto &model : reader.list("models")) {
            target.models.emplace_back(std::move(model));
        }
        if (target.kind == TargetKind::Engine && target.models.empty()) {
            reader.addFault("models", "an engine names the models it serves in 'models'");
        }
        if (target.kind == TargetKind::Plain && !target.group.isEmpty()) {
            reader.addFault("group", "a plain service is no rank of a group");
        }
        reader.reportUnknownKeys();
        m_targetLines[target.name] = section.line;
        m_inventory.m_targets.emplace(target.name, std::move(target));
    }

    void checkZones()
    {
        for (const auto &[name, target] : m_inventory.m_targets) {
            if (!target.zone.isEmpty() && !m_inventory.m_zones.contains(target.zone)) {
                m_faults.push_back(
                    {.line = m_targetLines[name], .reason = "no section [zone." + target.zone.text() + "]"});
            }
        }
    }

    void checkGates()
    {
        std::set<Endpoint> gates;
        for (const auto &[name, target] : m_inventory.m_targets) {
            if (target.gate.port != 0 && !gates.insert(target.gate).second) {
                m_faults.push_back(
                    {.line = m_targetLines[name], .reason = "gate " + toString(target.gate) + " is used twice"});
            }
        }
    }

    void checkRanks()
    {
        std::set<std::pair<GroupName, int>> ranks;
        for (const auto &[name, target] : m_inventory.m_targets) {
            if (!target.group.isEmpty() && !ranks.emplace(target.group, target.rank).second) {
                m_faults.push_back({.line = m_targetLines[name],
                                    .reason = "rank " + std::to_string(target.rank) + " of group " + target.group.text()
                                        + " is taken twice"});
            }
        }
    }

    Inventory m_inventory;
    std::vector<ConfigFault> m_faults;
    std::map<TargetName, int> m_targetLines;
};

std::variant<Inventory, std::vector<ConfigFault>> Inventory::fromDocument(const IniDocument &document)
{
    return InventoryReader().read(document);
}

const std::map<TargetName, Target> &Inventory::targets() const
{
    return m_targets;
}

const std::map<ZoneName, Zone> &Inventory::zones() const
{
    return m_zones;
}

const Target *Inventory::find(const TargetName &name) const
{
    const auto target = m_targets.find(name);
    return target == m_targets.end() ? nullptr : &target->second;
}

std::vector<const Target *> Inventory::targetsOf(const ServiceName &service) const
{
    std::vector<const Target *> found;
    for (const auto &[name, target] : m_targets) {
        if (target.service == service) {
            found.push_back(&target);
        }
    }
    return found;
}

std::vector<const Target *> Inventory::ranksOf(const GroupName &group) const
{
    std::vector<const Target *> found;
    for (const auto &[name, target] : m_targets) {
        if (target.group == group) {
            found.push_back(&target);
        }
    }
    std::sort(found.begin(), found.end(), [](const auto *a, const auto *b) { return a->rank < b->rank; });
    return found;
}

std::chrono::microseconds Inventory::delayBetween(const ZoneName &from, const ZoneName &to) const
{
    if (from == to) {
        return std::chrono::microseconds(0);
    }
    const auto first = m_zones.find(from);
    const auto second = m_zones.find(to);
    const bool sameRegion =
        first != m_zones.end() && second != m_zones.end() && first->second.region == second->second.region;
    return sameRegion ? m_interZoneDelay : m_interRegionDelay;
}

} // namespace Heatherridge
