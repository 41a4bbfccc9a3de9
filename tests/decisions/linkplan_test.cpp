#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>

#include <set>

using namespace Heatherridge;

namespace
{

struct FleetRow
{
    const char *name;
    int zones;
    int enginesPerZone;
    int plainTargets;
    std::size_t minLinks;
    std::size_t maxLinks;
};

const FleetRow Fleets[] = {
    {"Today", 3, 5, 3, 18, 18}, // all targets
    {"FullSize", 7, 76, 3, 67, 80}, // one model of nine on 4,800 replicas; subsets of 10 or 11 per zone
};

constexpr int EntryCount = 200;

/** Returns an inventory of @p fleet; each engine is rank 0 of a group whose rank 1 takes no requests. */
Inventory inventoryOf(const FleetRow &fleet)
{
    std::string text;
    int port = 1000;
    const auto add = [&](const std::string &name, int zone, const std::string &settings) {
        const auto gate = std::to_string(++port);
        text += "[target." + name + "]\nhost = " + name + "\nzone = z" + std::to_string(zone)
            + "\ngate = 127.0.0.1:" + gate + "\nbackend = 127.0.0.1:1\n" + settings;
    };
    for (int zone = 0; zone < fleet.zones; ++zone) {
        text += "[zone.z" + std::to_string(zone) + "]\nregion = r\n";
        for (int engine = 0; engine < fleet.enginesPerZone; ++engine) {
            const auto name = "e" + std::to_string(zone) + "-" + std::to_string(engine);
            add(name, zone, "service = llm\nmodels = m\ngroup = " + name + "\nrank = 0\n");
            add(name + "-follower", zone, "service = llm\nmodels = m\ngroup = " + name + "\nrank = 1\n");
        }
    }
    for (int plainIndex = 0; plainIndex < fleet.plainTargets; ++plainIndex) {
        add("p" + std::to_string(plainIndex), 0, "service = app\nkind = plain\n");
    }
    return std::get<Inventory>(Inventory::fromDocument(IniDocument::parse(text)));
}

class LinkPlans : public testing::TestWithParam<FleetRow>
{
};

// Each entry selects its targets independently. When a zone is lost, every entry must have targets in the other zones,
// and a target that no entry selected would idle while its peers queue.
TEST_P(LinkPlans, AreBoundedAndCoverAllTargetsAndZones)
{
    const auto inventory = inventoryOf(GetParam());
    std::set<TargetName> covered;
    for (int entry = 0; entry < EntryCount; ++entry) {
        const LinkPlanOptions options{.entryNumber = targetKey(TargetName("entry-" + std::to_string(entry)))};
        const auto links = LinkPlan::choose(inventory, options);
        EXPECT_EQ(links, LinkPlan::choose(inventory, options));
        EXPECT_GE(links.size(), GetParam().minLinks);
        EXPECT_LE(links.size(), GetParam().maxLinks);
        std::set<ZoneName> zones;
        for (const auto &[name, gate] : links) {
            EXPECT_EQ(inventory.find(name)->rank, 0);
            zones.insert(inventory.find(name)->zone);
            covered.insert(name);
        }
        EXPECT_EQ(zones.size(), static_cast<std::size_t>(GetParam().zones));
    }
    EXPECT_EQ(covered.size(),
              static_cast<std::size_t>(GetParam().zones * GetParam().enginesPerZone + GetParam().plainTargets));
}

INSTANTIATE_TEST_SUITE_P(Table, LinkPlans, testing::ValuesIn(Fleets),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
