#include "registerdecoder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

using nlohmann::json;

constexpr auto SoundEntry = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":12,
 "state":"ready","coldMs":40,"sequence":4,"born":1764892800000})";

constexpr auto SoundConfig = R"({"version":7,"routes":[
 {"name":"r","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,
  "priority":1,"allowedRegions":["north"],"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],
  "maxAttempts":2,"public":false,"resumable":true,"gapAimMs":120}],
 "services":[{"name":"s","healthPath":"/h","maxConns":248,"coldS":2.5,"coldPerS":32.5,
  "engine":{"slots":12,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"read_per_s":61200.0,"sets":6,"experts":64,
   "places":11,"spare":4,"expertMb":580.0,"linkMbps":92000.0,"usual":{"prompt":900,"answer":80}}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1"],"priority":1,"allowedRegions":["north"]}]})";

/** Longest time that the operator or a replica can mean. */
constexpr std::chrono::milliseconds MaxTime{1'000'000'000'000};
/** Slots of twenty thousand entries can be added in 31 bits. */
constexpr int MaxSlots = 100'000;

/** Returns arrays nested @p depth deep. */
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Returns @p document with @p value in place of the value at @p pointer. */
std::string withValue(const char *document, const std::string &pointer, const std::string &value)
{
    // The value is put in as text, since the library could not hold all of them.
    constexpr auto mark = "the value";
    auto changed = json::parse(document);
    changed[json::json_pointer(pointer)] = mark;
    auto text = changed.dump();
    const auto quoted = json(mark).dump();
    return text.replace(text.find(quoted), quoted.size(), value);
}

struct OddValueRow
{
    const char *pointer;
    const char *value;
};

const OddValueRow OddEntryRows[] = {
    {"/slots", "1e20"},
    {"/slots", "1e300"},
    {"/slots", "-1"},
    {"/slots", "2147483647"},
    {"/slots", "4294967297"},
    {"/slots", "18446744073709551615"},
    {"/slots", "true"},
    {"/slots", "1e400"},
    {"/coldMs", "1e300"},
    {"/coldMs", "-1e300"},
    {"/coldMs", "9223372036854775807"},
    {"/coldMs", "true"},
    {"/born", "1e300"},
    {"/born", "18446744073709551615"},
    {"/born", "false"},
    {"/sequence", "-1"},
    {"/sequence", "1e300"},
    {"/address", R"("10.0.0.9:0")"},
    {"/address", R"("10.0.0.9:-1")"},
    {"/address", R"("10.0.0.9:65536")"},
    {"/address", R"("10.0.0.9:65616")"},
    {"/address", R"("10.0.0.9:1e20")"},
    {"/address", R"("10.0.0.9:")"},
    {"/address", R"(":80")"},
    {"/address", R"("")"},
    {"/address", R"("host:80")"},
    {"/address", "80"},
    {"/service", "7"},
    {"/zone", "null"},
    {"/state", R"("asleep")"},
};

class OddEntries : public testing::TestWithParam<OddValueRow>
{
};

// Guards against an entry with a number out of range that is taken for a replica with some other number.
TEST_P(OddEntries, NameNoReplica)
{
    const auto document = withValue(SoundEntry, GetParam().pointer, GetParam().value);
    EXPECT_NE(errorIn(decodeTargetRecord("i-1", document)), nullptr) << document;
}

INSTANTIATE_TEST_SUITE_P(All, OddEntries, testing::ValuesIn(OddEntryRows));

const char *const OddIds[] = {"", "i 1", "i\r\nX: y", "i\x01", "i\x7f", "i\xff", "\u00e4"};

class OddIdentifiers : public testing::TestWithParam<const char *>
{
};

// Guards against an entry whose key cannot be the value of a header that names the expected replica.
TEST_P(OddIdentifiers, NameNoReplica)
{
    EXPECT_NE(errorIn(decodeTargetRecord(GetParam(), SoundEntry)), nullptr);
}

INSTANTIATE_TEST_SUITE_P(All, OddIdentifiers, testing::ValuesIn(OddIds));

TEST(SoundDocuments, AreDecoded)
{
    EXPECT_EQ(errorIn(decodeTargetRecord("i-1", SoundEntry)), nullptr);
    EXPECT_EQ(errorIn(decodeRoutingConfig(SoundConfig)), nullptr);
}

const OddValueRow OddConfigRows[] = {
    {"/version", "-1"},
    {"/version", "1e300"},
    {"/version", "true"},
    {"/routes", "7"},
    {"/routes/0", "[]"},
    {"/routes/0/kind", R"("odd")"},
    {"/routes/0/timeoutMs", "1e300"},
    {"/routes/0/timeoutMs", "9223372036854775807"},
    {"/routes/0/maxAttempts", "1e300"},
    {"/routes/0/trafficSplit/0/weight", "4294967297"},
    {"/routes/0/trafficSplit/0/weight", "2147483647"},
    {"/services/0/coldS", "1e300"},
    {"/services/0/coldPerS", "true"},
    {"/services/0/maxConns", "1e20"},
    {"/services/0/engine/step_ms", "1e300"},
    {"/services/0/engine/experts", "2147483647"},
    {"/services/0/engine/read_per_s", "1e-300"},
    {"/limits/maxHeaderBytes", "-1"},
    {"/limits/maxBodyBytes", "1e300"},
    {"/limits/idleTimeoutMs", "1e300"},
    {"/tenants/0/apiKeys", "[7]"},
    {"/tenants/0/priority", "1e300"},
};

class OddConfigs : public testing::TestWithParam<OddValueRow>
{
};

// Guards against a configuration in force that says something else than the operator wrote.
TEST_P(OddConfigs, AreRefusedWhole)
{
    const auto document = withValue(SoundConfig, GetParam().pointer, GetParam().value);
    EXPECT_NE(errorIn(decodeRoutingConfig(document)), nullptr) << document;
}

INSTANTIATE_TEST_SUITE_P(All, OddConfigs, testing::ValuesIn(OddConfigRows));

const OddValueRow LargeConfigRows[] = {
    {"/routes/0/priority", "2147483647"},
    {"/routes/0/trafficSplit/0/weight", "1000000"},
    {"/services/0/maxConns", "2147483647"},
    {"/tenants/0/priority", "2147483647"},
};

class LargeConfigs : public testing::TestWithParam<OddValueRow>
{
};

// Guards against a configuration that is refused because its operator writes "unlimited" or "last" as a large number.
TEST_P(LargeConfigs, AreAccepted)
{
    const auto document = withValue(SoundConfig, GetParam().pointer, GetParam().value);
    EXPECT_EQ(errorIn(decodeRoutingConfig(document)), nullptr) << document;
}

INSTANTIATE_TEST_SUITE_P(All, LargeConfigs, testing::ValuesIn(LargeConfigRows));

/** Returns @p document with one random value replaced by a random odd one. */
std::string withRandomOddValue(const char *document)
{
    std::vector<std::string> pointers;
    const auto values = json::parse(document).flatten();
    for (const auto &[pointer, value] : values.items()) {
        pointers.push_back(pointer);
    }
    static const std::vector<std::string> OddValues{"null",
                                                    "true",
                                                    "-1",
                                                    "0",
                                                    "1e20",
                                                    "-1e300",
                                                    "1e300",
                                                    "1e400",
                                                    "9223372036854775807",
                                                    "-9223372036854775808",
                                                    "18446744073709551615",
                                                    "99999999999999999999",
                                                    "2147483648",
                                                    "0.5",
                                                    "\"\"",
                                                    "\"\\ud800\"",
                                                    "\"\xff\"",
                                                    "[]",
                                                    "{}",
                                                    "[[]]",
                                                    "\"" + std::string(200'000, 'x') + "\"",
                                                    nested(100),
                                                    nested(100'000),
                                                    ""};
    return withValue(document, *rc::gen::elementOf(pointers), *rc::gen::elementOf(OddValues));
}

bool isWithinBounds(std::chrono::milliseconds time)
{
    return time >= -MaxTime && time <= MaxTime;
}

// Guards against numbers of an odd entry that overflow where they are added.
RC_GTEST_PROP(RandomOddEntries, AreRefusedOrWithinBounds, ())
{
    const auto decoded = decodeTargetRecord("i-1", withRandomOddValue(SoundEntry));
    if (const auto *record = std::get_if<TargetRecord>(&decoded)) {
        RC_ASSERT(record->entry.slots >= 0 && record->entry.slots <= MaxSlots);
        RC_ASSERT(record->entry.address.port > 0 && record->entry.address.port < 65'536);
        RC_ASSERT(isWithinBounds(record->entry.remainingWarmUp.value_or(std::chrono::milliseconds())));
    }
}

// Guards against numbers of an odd configuration that overflow where they are added.
RC_GTEST_PROP(RandomOddConfigs, AreRefusedOrWithinBounds, ())
{
    const auto decoded = decodeRoutingConfig(withRandomOddValue(SoundConfig));
    if (const auto *config = std::get_if<RoutingConfig>(&decoded)) {
        const auto &route = config->routes.at(0);
        RC_ASSERT(isWithinBounds(route.timeout) && isWithinBounds(route.objective)
                  && isWithinBounds(route.maxEventGap));
        RC_ASSERT(isWithinBounds(config->bounds.headerTimeout) && isWithinBounds(config->bounds.idleTimeout));
        RC_ASSERT(isWithinBounds(config->services.at(0).warmUpTime));
    }
}

} // namespace
