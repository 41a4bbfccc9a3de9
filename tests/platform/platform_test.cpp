#include "heatherridge_platform.h"
#include "logrecords.h"
#include "registerdecoder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr auto SampleConfig = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,
  "allowedRegions":["north"],"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":false,"resumable":true,"gapAimMs":120},
 {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"unsafe","timeoutMs":800,"service":"s2","public":true}],
 "services":[{"name":"s1","healthPath":"/h","maxConns":248,"coldS":2.5,"coldPerS":32.5,"engine":{"slots":12,"kvTokens":372000,"stride":5,"step_ms":5.85,
  "per_seq_ms":0.355,"read_per_s":61200.0,"sets":6,"experts":64,"places":11,"spare":4,"expertMb":580.0,"linkMbps":92000.0,"expertShare":0.85}},
  {"name":"s2","healthPath":"/h","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"allowedRegions":["north","south"]},{"name":"u","apiKeys":[]}],"somethingNew":{}})";

TEST(RoutingConfigs, AreDecodedCompletely)
{
    const auto decoded = decodeRoutingConfig(SampleConfig);
    ASSERT_EQ(errorIn(decoded), nullptr) << errorIn(decoded)->detail;
    const auto &config = std::get<RoutingConfig>(decoded);
    EXPECT_EQ(config.version, 7U);
    ASSERT_EQ(config.routes.size(), 2U);
    const auto &stream = config.routes[0];
    EXPECT_EQ(stream.kind, RequestKind::EventStream);
    EXPECT_EQ(stream.timeout, 8s);
    EXPECT_EQ(stream.objective, 400ms);
    EXPECT_EQ(stream.maxEventGap, 120ms);
    EXPECT_EQ(stream.maxAttempts, 2);
    EXPECT_TRUE(stream.isResumable);
    ASSERT_EQ(stream.services.size(), 2U);
    EXPECT_EQ(stream.services[1].weight, 10);
    EXPECT_EQ(config.routes[1].kind, RequestKind::NonIdempotent);
    EXPECT_EQ(config.routes[1].maxAttempts, 1);
    EXPECT_TRUE(config.routes[1].isPublic);
    ASSERT_TRUE(config.services[0].engine);
    EXPECT_EQ(config.services[0].engine->layerSets, 6);
    EXPECT_EQ(config.services[0].engine->spareExpertSlots, 4);
    EXPECT_NEAR(config.services[0].engine->expertCopyTime.count(), 50.4, 0.1);
    EXPECT_FALSE(config.services[1].engine);
    EXPECT_EQ(config.bounds.headerTimeout, 3s);
    EXPECT_EQ(stream.allowedRegions, std::vector{RegionName("north")});
    EXPECT_TRUE(config.routes[1].allowedRegions.empty());
    EXPECT_EQ(config.services[0].warmUpTime, 2'500ms);
    EXPECT_EQ(config.services[0].warmUpRequestsPerSecond, 32.5);
    EXPECT_EQ(config.services[1].warmUpRequestsPerSecond, 0);
    EXPECT_EQ(config.workspaces[0].allowedRegions.size(), 2U);
    EXPECT_EQ(config.workspaces[0].apiKeys.size(), 2U);
    EXPECT_EQ(config.workspaces[0].priority, 1);
    EXPECT_FALSE(config.workspaces[1].priority);
}

struct EntryRow
{
    const char *description;
    const char *document;
    bool isValid;
    bool isDraining = false;
};

const EntryRow EntryRows[] = {
    {"ready",
     R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":12,"state":"ready","coldMs":40,"sequence":4})",
     true},
    {"draining", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":12,"state":"draining"})", true, true},
    {"an unknown state", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":12,"state":"asleep"})", false},
    {"no address", R"({"service":"s","zone":"z","slots":12,"state":"ready"})", false},
    {"an invalid address", R"({"service":"s","address":"nowhere","zone":"z","slots":12,"state":"ready"})", false},
    {"slots with the wrong type",
     R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"many","state":"ready"})", false},
    {"not an object", "[1,2]", false},
    {"not JSON", "\xff\x00{", false},
    {"empty document", "", false},
};

class TargetEntries : public testing::TestWithParam<EntryRow>
{
};

TEST_P(TargetEntries, AreDecodedOrRejected)
{
    const auto &row = GetParam();
    const auto entry = decodeTargetRecord("i-1", row.document);
    EXPECT_EQ(errorIn(entry) == nullptr, row.isValid) << row.description;
    if (row.isValid) {
        EXPECT_EQ(std::get<TargetRecord>(entry).entry.id.text(), "i-1");
        EXPECT_EQ(std::get<TargetRecord>(entry).entry.isDraining, row.isDraining) << row.description;
    }
}

INSTANTIATE_TEST_SUITE_P(All, TargetEntries, testing::ValuesIn(EntryRows));

struct WarmUpRow
{
    const char *description;
    const char *field; ///< of an entry, with a comma
    std::optional<std::chrono::milliseconds> remaining;
};

const WarmUpRow WarmUpRows[] = {
    {"cold", R"("coldMs":2500,)", 2'500ms},
    {"warm", R"("coldMs":0,)", 0ms},
    {"not stated", "", std::nullopt},
};

class EntryWarmUps : public testing::TestWithParam<WarmUpRow>
{
};

// Guards against a target that counts as warm because its entry does not say that it is cold.
TEST_P(EntryWarmUps, AreKnownOnlyIfStated)
{
    const auto &row = GetParam();
    const auto decoded = decodeTargetRecord("i",
                                            std::string(R"({"service":"s","address":"10.0.0.9:80","zone":"z",)")
                                                + row.field + R"("slots":12,"state":"ready"})");
    ASSERT_EQ(errorIn(decoded), nullptr) << row.description;
    EXPECT_EQ(std::get<TargetRecord>(decoded).entry.remainingWarmUp, row.remaining) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, EntryWarmUps, testing::ValuesIn(WarmUpRows));

struct ZoneDrainRow
{
    const char *description;
    std::optional<std::string> document;
    bool isInForce;
    bool isMalformed;
};

const ZoneDrainRow ZoneDrainRows[] = {
    {"an order", "{}", true, false},
    {"an order with fields", R"({"reason":"x"})", true, false},
    {"an order that is no object", "[]", true, true},
    {"an order that is not JSON", "\xff{", true, true},
    {"an empty order", "", true, true},
    {"a withdrawn order", std::nullopt, false, false},
};

class ZoneDrainOrders : public testing::TestWithParam<ZoneDrainRow>
{
};

// Guards against a zone that gets requests although the operator has drained it, because the order has a bad value.
TEST_P(ZoneDrainOrders, HoldWhateverTheirValue)
{
    const auto &row = GetParam();
    const auto order = decodeZoneDrain("a-1", row.document);
    EXPECT_EQ(order.zone.text(), "a-1");
    EXPECT_EQ(order.isInForce, row.isInForce) << row.description;
    EXPECT_EQ(order.isMalformed, row.isMalformed) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, ZoneDrainOrders, testing::ValuesIn(ZoneDrainRows));

RC_GTEST_PROP(Decoders, AcceptArbitraryBytes, (const std::string &bytes))
{
    static_cast<void>(decodeZoneDrain("z", bytes));
    static_cast<void>(decodeRoutingConfig(bytes));
    static_cast<void>(decodeTargetRecord("i", bytes));
}

/** Returns a response to a read from the first record onwards that holds @p records. */
std::string readResponse(const std::string &records)
{
    return std::string(16, '\0') + records;
}

// Guards against copies of rules that cannot be read back, for arbitrary bytes.
RC_GTEST_PROP(LogRecords, SurviveARoundTrip, (const std::vector<std::string> &values))
{
    std::string records;
    for (std::size_t index = 0; index < values.size(); ++index) {
        records += encodeKeyedRecord(std::to_string(index), values[index]);
    }
    const auto page = decodeKeyedRecords(readResponse(records), 5);
    RC_ASSERT(errorIn(page) == nullptr);
    const auto &read = std::get<RegisterPage>(page);
    RC_ASSERT(read.changes.size() == values.size());
    RC_ASSERT(read.end == 5 + values.size());
    for (std::size_t index = 0; index < values.size(); ++index) {
        RC_ASSERT(read.changes[index].key == std::to_string(index));
        RC_ASSERT(read.changes[index].value.value_or(std::string()) == values[index]);
        RC_ASSERT(read.changes[index].offset == 5 + index);
    }
}

RC_GTEST_PROP(LogRecords, AcceptArbitraryBytes, (const std::string &bytes))
{
    static_cast<void>(decodeKeyedRecords(bytes, 0));
    static_cast<void>(decodeKeyedRecords(readResponse(bytes), 0));
}

struct CopyRow
{
    const char *name;
    std::size_t bytes; ///< size of the rules
    std::size_t records;
};

const CopyRow CopyRows[] = {
    {"empty", 0, 1},
    {"a few routes", 60'000, 1},
    {"more than one record can hold", 300'000, 2},
    {"many pieces", 1'900'000, 10},
};

class CopyRecords : public testing::TestWithParam<CopyRow>
{
};

// Guards against large rules that the log rejects, and against rules assembled from an incomplete set of pieces.
TEST_P(CopyRecords, SplitRulesAndDropIncompleteVersions)
{
    const auto &row = GetParam();
    std::string rules;
    for (std::size_t byte = 0; byte < row.bytes; ++byte) {
        rules.push_back(static_cast<char>('a' + byte % 23));
    }
    auto records = encodeRulesCopy(7, rules);
    ASSERT_EQ(records.size(), row.records) << row.name;
    for (const auto &record : records) {
        EXPECT_LE(encodeKeyedRecord(record.key, *record.value).size(), 262'144U);
    }
    records.push_back({.key = "not a piece", .value = "x"});
    EXPECT_EQ(decodeRulesCopies(records), (std::map<std::uint64_t, std::string>{{7, rules}}));
    records.erase(records.begin());
    EXPECT_TRUE(decodeRulesCopies(records).empty());
}

INSTANTIATE_TEST_SUITE_P(Table, CopyRecords, testing::ValuesIn(CopyRows));

// Guards against a gateway of an earlier version that cannot start from copies with a record of drained zones.
TEST(CopiesOfDrains, AreReadByAnEarlierVersionDespiteDrainedZones)
{
    auto records = encodeRulesCopy(7, "rules");
    records.push_back({.key = drainsKey({.version = 7, .position = 12}), .value = encodeDrains({ZoneName("a-1")})});
    // Earlier versions read all records of a copy with this function and nothing else.
    EXPECT_EQ(decodeRulesCopies(records), (std::map<std::uint64_t, std::string>{{7, "rules"}}));
}

// Guards against copies of an earlier version, which have no such record, that are read as if zones were drained.
TEST(CopiesOfDrains, WithoutDrainedZonesHaveNone)
{
    EXPECT_TRUE(decodeDrains(encodeRulesCopy(7, "rules")).empty());
}

// Guards against drained zones that cannot be read back, for zone names of arbitrary bytes.
RC_GTEST_PROP(CopiesOfDrains, KeepDrainedZones, (std::uint64_t version, std::uint64_t position))
{
    const DrainsStamp stamp{.version = version, .position = position};
    const auto names = *rc::gen::container<std::set<std::string>>(rc::gen::string<std::string>());
    std::set<ZoneName> zones;
    for (const auto &name : names) {
        const bool isText = std::all_of(name.begin(), name.end(), [](char byte) { return byte >= 0; });
        if (isText) {
            zones.insert(ZoneName(name));
        }
    }
    const auto read = decodeDrains({{.key = drainsKey(stamp), .value = encodeDrains(zones)}});
    RC_ASSERT(read == (StoredDrains{{stamp, zones}}));
}

struct MalformedDrainsRow
{
    const char *description;
    const char *value;
};

const MalformedDrainsRow MalformedDrainsRows[] = {
    {"no JSON", "["},
    {"an object", R"({"a-1": true})"},
    {"a number among the zones", R"(["a-1", 2])"},
};

class MalformedDrains : public testing::TestWithParam<MalformedDrainsRow>
{
};

// Guards against a malformed record that is read as "no zone is drained".
TEST_P(MalformedDrains, AreReportedAsUnreadable)
{
    const auto read = decodeDrains({{.key = "drained/7/12", .value = GetParam().value}});
    ASSERT_EQ(read.size(), 1U) << GetParam().description;
    EXPECT_FALSE(read.begin()->second.has_value()) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, MalformedDrains, testing::ValuesIn(MalformedDrainsRows));

// Guards against more bytes in the log than before while no zone is drained.
TEST(CopyUpdates, WithoutDrainedZonesHaveOnlyRulesAndDeletions)
{
    const RulesCopyUpdate update{
        .rules = RegisterChange{.key = "config", .value = "rules"}, .version = 8, .droppedVersions = {{7, 2}}};
    const auto encoded = encodeCopyUpdate(update);
    EXPECT_EQ(encoded.rulesRecords, 1U);
    EXPECT_EQ(encoded.body,
              encodeKeyedRecord("8/0/1", "rules") + encodeKeyedRecord("7/0/2", {}) + encodeKeyedRecord("7/1/2", {}));
}

// Guards against drained zones that are lost together with rules that are too large for the log.
TEST(CopyUpdates, KeepDrainedZonesWhenTheRulesAreTooLarge)
{
    const std::set<ZoneName> zones{ZoneName("a-1")};
    const RulesCopyUpdate update{.rules = RegisterChange{.key = "config", .value = std::string(MaxAppendBytes, 'x')},
                                 .version = 8,
                                 .drains = {{{.version = 8, .position = 3}, zones}}};
    const auto encoded = encodeCopyUpdate(update);
    EXPECT_EQ(encoded.rulesRecords, 0U);
    EXPECT_EQ(encoded.body, encodeKeyedRecord("drained/8/3", encodeDrains(zones)));
}

TEST(LogRecords, LeaveATruncatedRecordForTheNextRead)
{
    const auto records = encodeKeyedRecord("a", "first") + encodeKeyedRecord("b", "second");
    const auto page = decodeKeyedRecords(readResponse(records.substr(0, records.size() - 1)), 0);
    ASSERT_EQ(errorIn(page), nullptr);
    EXPECT_EQ(std::get<RegisterPage>(page).changes.size(), 1U);
    EXPECT_EQ(std::get<RegisterPage>(page).end, 1U);
}

TEST(CallerFields, AreReadFromTheirHeaders)
{
    const auto fields = PlatformTraffic().readCallerFields({{"x-heatherridge-request-id", "r1"},
                                                            {"X-Heatherridge-Deadline-Ms", "1500"},
                                                            {"Authorization", "bearer key-1"},
                                                            {"Last-Event-Id", "12"},
                                                            {"X-Heatherridge-Token-Usage", "1460,80"}});
    EXPECT_EQ(fields.id.text(), "r1");
    EXPECT_EQ(fields.timeout, 1500ms);
    EXPECT_EQ(fields.apiKey, "key-1");
    EXPECT_EQ(fields.lastEventId, 12U);
    EXPECT_TRUE(fields.isWellFormed);
    EXPECT_FALSE(PlatformTraffic().readCallerFields({{"X-Heatherridge-Deadline-Ms", "soon"}}).isWellFormed);
}

/** A header that lists the parts of a prompt, and the ids that are read from it. */
struct PromptPartsRow
{
    const char *name;
    std::string header;
    std::vector<std::uint64_t> parts;
};

/** Returns a header with @p count entries, numbered from 1. */
std::string promptPartsHeader(int count)
{
    std::string header;
    for (int number = 1; number <= count; ++number) {
        header += (number > 1 ? "," : "") + std::string(number == count ? "ff" : "a") + ":" + std::to_string(number);
    }
    return header;
}

const PromptPartsRow PromptPartsRows[] = {
    {"LeavesOutTheLast", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", {0x5c1e07a2, 0x91bd3f06}},
    {"NoneWithoutHeader", "", {}},
    {"NoneOfOne", "5c1e07a2:800", {}},
    {"SpacesAround", " 5c1e07a2:800 ,\t91bd3f06:410", {0x5c1e07a2}},
    {"LongestId", "ffffffffffffffff:1,0:1", {0xffffffffffffffff}},
    {"IdTooLong", "1ffffffffffffffff:1,0:1", {}},
    {"IdNotHexadecimal", "5c1e07a2:800,xyz:1,e4402b7d:250", {}},
    {"NegativeId", "-1:1,0:1", {}},
    {"EmptyId", ":800,e4402b7d:250", {}},
    {"MalformedLast", "5c1e07a2:800,91bd3f06:410,e4402b7d", {}},
    {"MalformedTokens", "5c1e07a2:many,e4402b7d:250", {}},
    {"EmptyEntry", "5c1e07a2:800,,e4402b7d:250", {}},
    {"TrailingComma", "5c1e07a2:800,e4402b7d:250,", {}},
    {"MoreThanRead", promptPartsHeader(1'000), std::vector<std::uint64_t>(16, 0xa)},
};

class PromptParts : public testing::TestWithParam<PromptPartsRow>
{
};

// Guards against a request that is refused for a malformed or long list of prompt parts, and against the part that
// belongs to the request alone being taken for a shared one.
TEST_P(PromptParts, AreReadWithoutTheLastOne)
{
    const auto fields = PlatformTraffic().readCallerFields({{"X-Heatherridge-Prompt-Prefix", GetParam().header}});
    EXPECT_EQ(fields.promptParts, GetParam().parts);
    EXPECT_TRUE(fields.isWellFormed);
}

INSTANTIATE_TEST_SUITE_P(All, PromptParts, testing::ValuesIn(PromptPartsRows),
                         [](const auto &info) { return std::string(info.param.name); });

RC_GTEST_PROP(PromptPartLists, AcceptArbitraryBytes, (const std::string &header))
{
    const auto fields = PlatformTraffic().readCallerFields({{"X-Heatherridge-Prompt-Prefix", header}});
    RC_ASSERT(fields.isWellFormed);
    RC_ASSERT(fields.promptParts.size() <= 16U);
}

// A caller could name another customer's workspace, or its API key could reach a target that logs it, where a reader of
// the log could impersonate the caller. Only this process sets the routing and identity headers sent to targets.
TEST(ForwardedHeaders, ReplaceReservedCallerHeaders)
{
    const auto headers = PlatformTraffic().forwardedHeaders(
        {{"Host", "a.example"},
         {"Authorization", "Bearer key-1"},
         {"x-heatherridge-tenant-id", "victim"},
         {"X-Heatherridge-Expect-Instance", "i-9"},
         {"X-Heatherridge-Request-Priority", "0"},
         {"X-Heatherridge-Model", "m"},
         {"X-Heatherridge-Deadline-Ms", "9000"}},
        {.timeLeft = 700ms, .target = TargetName("i-1"), .workspace = WorkspaceName("buyers"), .lastEventId = 4});
    EXPECT_EQ(headerValue(headers, "Authorization"), "");
    EXPECT_EQ(headerValue(headers, "X-Heatherridge-Tenant-Id"), "buyers");
    EXPECT_EQ(headerValue(headers, "X-Heatherridge-Expect-Instance"), "i-1");
    EXPECT_EQ(headerValue(headers, "X-Heatherridge-Request-Priority"), "");
    EXPECT_EQ(headerValue(headers, "X-Heatherridge-Deadline-Ms"), "700");
    EXPECT_EQ(headerValue(headers, "X-Heatherridge-Model"), "m");
    EXPECT_EQ(headerValue(headers, "Last-Event-Id"), "4");
    EXPECT_EQ(
        std::count_if(headers.begin(), headers.end(),
                      [](const auto &header) { return isSameHeaderName(header.name, "X-Heatherridge-Tenant-Id"); }),
        1);
}

struct PriorityRow
{
    const char *description;
    std::optional<int> priority;
    const char *header;
};

// Without the header, a workspace that pays for a higher priority waits behind others at an engine that is full.
const PriorityRow PriorityRows[] = {
    {"no priority for a plain service", std::nullopt, ""},
    {"the highest priority", 0, "0"},
    {"a medium priority", 3, "3"},
    {"a priority that engines don't support", 40, "9"},
    {"a negative priority", -2, "0"},
};

class Priorities : public testing::TestWithParam<PriorityRow>
{
};

TEST_P(Priorities, AreSentToEngines)
{
    const auto headers =
        PlatformTraffic().forwardedHeaders({}, {.target = TargetName("i-1"), .priority = GetParam().priority});
    EXPECT_EQ(headerValue(headers, "X-Heatherridge-Request-Priority"), GetParam().header) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, Priorities, testing::ValuesIn(PriorityRows));

struct AnswerRow
{
    const char *description;
    int status;
    std::vector<HttpHeader> headers;
    bool isSigned;
    bool isNotRun;
};

const AnswerRow AnswerRows[] = {
    {"a target's answer", 200, {{"X-Heatherridge-Response-Signature", "s"}}, true, false},
    {"an answer from elsewhere", 200, {}, false, false},
    {"a refusal", 503, {{"X-Heatherridge-Not-Executed", "1"}}, false, true},
    {"a different target at the address", 421, {}, false, true},
    {"a refusal status without the header", 503, {}, false, false},
};

class TargetAnswers : public testing::TestWithParam<AnswerRow>
{
};

TEST_P(TargetAnswers, IdentifyTheSenderAndWhetherTheRequestRan)
{
    const auto &row = GetParam();
    const auto fields = PlatformTraffic().readResponseFields(row.status, row.headers);
    EXPECT_EQ(fields.isSigned, row.isSigned) << row.description;
    EXPECT_EQ(fields.isNotExecuted, row.isNotRun) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, TargetAnswers, testing::ValuesIn(AnswerRows));

struct LimitRow
{
    const char *description;
    HttpHeader header;
    std::optional<double> limit;
};

const LimitRow LimitRows[] = {
    {"a whole number", {"Server-Limit", "4"}, 4.0},
    {"a fraction", {"Server-Limit", "1.25"}, 1.25},
    {"zero", {"Server-Limit", "0"}, 0.0},
    {"with the common header prefix", {"X-Heatherridge-Server-Limit", "2.5"}, 2.5},
    {"in lower case", {"server-limit", "3"}, 3.0},
    {"another header", {"X-Heatherridge-Server-Load", "3,0,8"}, std::nullopt},
    {"a negative number", {"Server-Limit", "-1"}, std::nullopt},
    {"not a number", {"Server-Limit", "few"}, std::nullopt},
    {"infinity", {"Server-Limit", "inf"}, std::nullopt},
    {"with trailing characters", {"Server-Limit", "4/s"}, std::nullopt},
};

/** Returns the first statement on the limit in @p statements. */
std::optional<RateLimitStatement> statedLimit(const std::vector<TargetStatement> &statements)
{
    for (const auto &statement : statements) {
        if (const auto *limit = std::get_if<RateLimitStatement>(&statement)) {
            return *limit;
        }
    }
    return std::nullopt;
}

class RequestLimits : public testing::TestWithParam<LimitRow>
{
};

TEST_P(RequestLimits, AreReadFromTargetAnswers)
{
    const auto &row = GetParam();
    const auto fields = PlatformTraffic().readResponseFields(200, {row.header});
    const auto limit = statedLimit(fields.statements);
    EXPECT_EQ(limit ? limit->requestsPerSecond : std::nullopt, row.limit) << row.description;
    EXPECT_EQ(limit.has_value(), row.limit.has_value()) << "an unsigned answer lifts no limit";
}

INSTANTIATE_TEST_SUITE_P(All, RequestLimits, testing::ValuesIn(LimitRows));

struct StatementRow
{
    const char *description;
    int status;
    std::vector<HttpHeader> headers;
    std::optional<std::chrono::milliseconds> backoff;
    bool isDraining;
    bool isMalformed;
};

const StatementRow StatementRows[] = {
    {"a back-off", 503, {{"Retry-After", "3"}}, 3000ms, false, false},
    {"a back-off of a fraction of a second", 503, {{"retry-after", "0.25"}}, 250ms, false, false},
    {"the longer of two back-offs", 503, {{"Retry-After", "1"}, {"Retry-After", "2"}}, 2000ms, false, false},
    {"a back-off that no clock can hold", 503, {{"Retry-After", "1e300"}}, 1'000'000s, false, false},
    {"a date", 503, {{"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}}, std::nullopt, false, true},
    {"a negative back-off", 503, {{"Retry-After", "-1"}}, std::nullopt, false, true},
    {"not a number", 503, {{"Retry-After", "nan"}}, std::nullopt, false, true},
    {"a readable value beside an unreadable one",
     503,
     {{"Retry-After", "soon"}, {"Retry-After", "1"}},
     1000ms,
     false,
     true},
    {"a delay for callers in another answer", 200, {{"Retry-After", "3"}}, std::nullopt, false, false},
    {"a target that drains", 200, {{"Server-Leaving", "1"}}, std::nullopt, true, false},
    {"with the common header prefix", 200, {{"X-Heatherridge-Server-Leaving", "1"}}, std::nullopt, true, false},
    {"a target that drains and refuses", 503, {{"Server-Leaving", "1"}, {"Retry-After", "2"}}, 2000ms, true, false},
    {"a target that does not drain", 200, {{"Server-Leaving", "0"}}, std::nullopt, false, false},
    {"neither", 200, {{"Server-Leaving", "soon"}}, std::nullopt, false, true},
    {"a different target at the address",
     421,
     {{"Server-Leaving", "1"}, {"Server-Limit", "1"}},
     std::nullopt,
     false,
     false},
};

class TargetStatements : public testing::TestWithParam<StatementRow>
{
};

TEST_P(TargetStatements, AreReadFromAnswers)
{
    const auto &row = GetParam();
    const auto fields = PlatformTraffic().readResponseFields(row.status, row.headers);
    std::optional<std::chrono::milliseconds> backoff;
    bool isDraining = false;
    for (const auto &statement : fields.statements) {
        if (const auto *stated = std::get_if<BackoffStatement>(&statement)) {
            backoff = stated->duration;
        }
        isDraining = isDraining || std::holds_alternative<DrainingStatement>(statement);
    }
    EXPECT_EQ(backoff, row.backoff) << row.description;
    EXPECT_EQ(isDraining, row.isDraining) << row.description;
    EXPECT_EQ(fields.hasMalformedStatement, row.isMalformed) << row.description;
    EXPECT_FALSE(statedLimit(fields.statements).has_value()) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, TargetStatements, testing::ValuesIn(StatementRows));

TEST(Refusals, CarryARetryDelay)
{
    const auto refusal =
        PlatformTraffic().errorResponse({.kind = ErrorKind::Overloaded, .retryAfter = 250ms}, RequestId("r"));
    EXPECT_EQ(refusal.status, 503);
    EXPECT_EQ(headerValue(refusal.headers, "Retry-After"), "0.250");
    EXPECT_EQ(PlatformTraffic().errorResponse({.kind = ErrorKind::UnknownApiKey}, {}).status, 401);
}

} // namespace
