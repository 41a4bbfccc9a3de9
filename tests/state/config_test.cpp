#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>

#include <set>

using namespace Heatherridge;

namespace
{

struct FaultRow
{
    const char *description;
    const char *text;
    std::vector<int> faultLines;
};

const FaultRow InventoryRows[] = {
    {"empty document", "", {}},
    {"entry before any section", "a = 1\n", {1}},
    {"unknown section and key", "[zone.a]\nregion = r\ncolour = red\n[mill.x]\n", {3, 4}},
    {"target without most required keys", "[target.t]\nhost = h\n", {1, 1, 1, 1, 1}},
    {"port out of range",
     "[zone.a]\nregion = r\n[target.t]\nhost = h\nzone = a\nservice = s\nkind = plain\n"
     "gate = 127.0.0.1:70000\nbackend = 127.0.0.1:1\n",
     {8}},
    {"host name instead of an IP address",
     "[zone.a]\nregion = r\n[target.t]\nhost = h\nzone = a\nservice = s\nkind = plain\n"
     "gate = localhost:7000\nbackend = 127.0.0.1:1\n",
     {8}},
};

class InventoryFaults : public testing::TestWithParam<FaultRow>
{
};

TEST_P(InventoryFaults, AllFaultsAreReportedWithLineNumbers)
{
    const auto result = Inventory::fromDocument(IniDocument::parse(GetParam().text));
    std::vector<int> lines;
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&result)) {
        for (const auto &fault : *faults) {
            lines.push_back(fault.line);
        }
    }
    EXPECT_EQ(lines, GetParam().faultLines) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, InventoryFaults, testing::ValuesIn(InventoryRows));

TEST(ErrorTable, EveryKindHasARowAndAUniqueName)
{
    std::set<std::string_view> names;
    int index = 0;
    for (const auto &row : allErrorDescriptors()) {
        EXPECT_EQ(static_cast<int>(row.kind), index++);
        EXPECT_TRUE(names.insert(row.name).second) << row.name;
        EXPECT_EQ(errorKindFromName(row.name), row.kind);
        EXPECT_GE(row.httpStatus, 400);
    }
    EXPECT_EQ(index, static_cast<int>(ErrorKind::Internal) + 1);
}

TEST(RuleSet, CallsWithoutARuleAreNotRepeatable)
{
    const auto result =
        RuleSet::fromDocument(IniDocument::parse("[service.yard]\nrepeatable = GET /contracts/*, HEAD /\n"));
    const auto &rules = std::get<RuleSet>(result);
    EXPECT_TRUE(rules.isRepeatable(ServiceName("yard"), "GET", "/contracts/7"));
    EXPECT_FALSE(rules.isRepeatable(ServiceName("yard"), "POST", "/contracts/7"));
    EXPECT_FALSE(rules.isRepeatable(ServiceName("yard"), "HEAD", "/x"));
    EXPECT_FALSE(rules.isRepeatable(ServiceName("other"), "GET", "/contracts/7"));
}

} // namespace
