#include "registerdecoder.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Returns arrays nested so deeply that copying them exhausts the stack. */
std::string nestedArrays()
{
    constexpr std::size_t depth = 100'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Returns @p document with nested arrays in place of the mark in it. */
std::string withNestedArrays(std::string document)
{
    return document.replace(document.find('@'), 1, nestedArrays());
}

struct ConfigRow
{
    const char *name;
    const char *document; ///< with a mark
};

const ConfigRow ConfigRows[] = {
    {"Whole", "@"},
    {"UnknownField", R"({"version":7,"routes":[],"services":[],"more":@})"},
    {"Version", R"({"version":@,"routes":[],"services":[]})"},
    {"Routes", R"({"version":7,"routes":@,"services":[]})"},
    {"Engine", R"({"version":7,"routes":[],"services":[{"name":"s","engine":@}]})"},
    {"UsualRequests", R"({"version":7,"routes":[],"services":[{"name":"s","engine":{"usual":@}}]})"},
    {"UsualPrompt", R"({"version":7,"routes":[],"services":[{"name":"s","engine":{"usual":{"prompt":@}}}]})"},
    {"ApiKeys", R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"t","apiKeys":@}]})"},
};

class NestedConfigs : public testing::TestWithParam<ConfigRow>
{
};

// Guards against a process that ends because it copies a deeply nested value of a configuration.
TEST_P(NestedConfigs, AreRefusedWhole)
{
    EXPECT_NE(errorIn(decodeRoutingConfig(withNestedArrays(GetParam().document))), nullptr);
}

INSTANTIATE_TEST_SUITE_P(All, NestedConfigs, testing::ValuesIn(ConfigRows),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a process that ends because of a deeply nested entry or order to drain a zone.
TEST(NestedEntries, NameNoReplica)
{
    EXPECT_NE(errorIn(decodeTargetRecord("i-1", nestedArrays())), nullptr);
    const auto entry =
        withNestedArrays(R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":12,"state":"ready","more":@})");
    EXPECT_NE(errorIn(decodeTargetRecord("i-1", entry)), nullptr);
    EXPECT_TRUE(decodeZoneDrain("z", nestedArrays()).isMalformed);
    EXPECT_TRUE(decodeZoneDrain("z", withNestedArrays(R"({"more":@})")).isMalformed);
}

} // namespace
