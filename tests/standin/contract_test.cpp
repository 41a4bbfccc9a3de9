#include "support/childprocess.h"
#include "support/httpcalls.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

using namespace Heatherridge;

namespace
{

constexpr int NoResponse = 0;

/** One call and its expected response. CBOR responses are compared in JSON form, byte strings as text. */
struct Step
{
    const char *method;
    const char *target;
    const char *body;
    int status;
    const char *answer; ///< JSON that the response must contain, see containsAll(); nullptr accepts any
};

struct ContractRow
{
    const char *name;
    std::vector<std::string> arguments;
    std::vector<Step> steps;
};

const ContractRow Rows[] = {
    {"LogNumbersEachStreamFromOne",
     {"log"},
     {{"POST", "/streams/a/records", "x", 200, R"({"offset":1})"},
      {"POST", "/streams/a/records", "y", 200, R"({"offset":2})"},
      {"POST", "/streams/b/records", "z", 200, R"({"offset":1})"},
      {"GET", "/streams/a/records?from=2", "", 200, R"({"first":1,"last":2,"records":[{"o":2,"p":"y"}]})"},
      {"GET", "/streams/a/records?from=1&most=1", "", 200, R"({"last":2,"records":[{"o":1,"p":"x"}]})"},
      {"GET", "/streams/none/records?from=1", "", 200, R"({"first":1,"last":0,"records":[]})"}}},
    {"LogReplyLostAfterTheAppendTookEffect",
     {"log", "--lose-reply", "1"},
     {{"POST", "/streams/a/records", "x", NoResponse, nullptr},
      {"GET", "/streams/a/records?from=1", "", 200, R"({"last":1,"records":[{"o":1,"p":"x"}]})"},
      {"POST", "/streams/a/records", "y", 200, R"({"offset":2})"}}},
    {"LogPageBeforeTheRetentionNamesTheFirstOffset",
     {"log", "--retention-records", "2"},
     {{"POST", "/streams/a/records", "1", 200, nullptr},
      {"POST", "/streams/a/records", "2", 200, nullptr},
      {"POST", "/streams/a/records", "3", 200, nullptr},
      {"GET", "/streams/a/records?from=1", "", 200, R"({"first":2,"last":3,"records":[]})"},
      {"GET", "/streams/a/records?from=2", "", 200, R"({"records":[{"o":2,"p":"2"},{"o":3,"p":"3"}]})"}}},
    {"UnavailableLogAppendsNothing",
     {"log"},
     {{"POST", "/faults", R"({"out":1})", 200, R"({"out":1})"},
      {"POST", "/streams/a/records", "x", 503, nullptr},
      {"POST", "/faults", R"({"out":0})", 200, nullptr},
      {"GET", "/streams/a/records?from=1", "", 200, R"({"last":0})"}}},
    {"UnknownSwitchChangesNothing",
     {"log"},
     {{"POST", "/faults", R"({"hang":1,"nonsense":1})", 400, nullptr},
      {"POST", "/faults", "{", 400, nullptr},
      {"GET", "/faults", "", 200, R"({"hang":0})"}}},
    {"BookingClosedBeforeExecutionIsNotExecuted",
     {"plain", "--close-before-run", "1"},
     {{"POST", "/bookings", R"({"reference":"coach"})", NoResponse, nullptr},
      {"GET", "/executions", "", 200, R"({})"},
      {"POST", "/bookings", R"({"reference":"coach"})", 201, R"({"executions":1})"}}},
    {"BookingClosedAfterExecutionIsExecuted",
     {"plain", "--close-after-run", "1"},
     {{"POST", "/deposits", R"({"reference":"coach"})", NoResponse, nullptr},
      {"GET", "/executions", "", 200, R"({"coach":1})"},
      {"POST", "/deposits", R"({"reference":"coach"})", 201, R"({"executions":2})"}}},
    {"LookupsAreNotExecutions",
     {"plain"},
     {{"GET", "/contracts/7", "", 200, R"({"contract":"7"})"},
      {"GET", "/availability/monday", "", 200, nullptr},
      {"PUT", "/anything/else", "seat", 200, R"({"method":"PUT","bytes":4})"},
      {"GET", "/executions", "", 200, R"({"seat":1})"}}},
    {"EngineResumesAfterTheGivenTokens",
     {"engine", "--step-ms", "0"},
     {{"POST", "/v1/chat/completions", R"({"messages":[{"content":"hi"}],"max_tokens":4})", 200,
       R"({"usage":{"completion_tokens":4}})"},
      {"POST", "/v1/chat/completions", R"({"messages":[{"content":"hi"}],"max_tokens":4,"resume_from":4})", 200,
       R"({"choices":[{"message":{"content":""}}]})"},
      {"POST", "/v1/chat/completions", "[", 400, nullptr}}},
    {"EngineFindsAPrefixUntilItIsEvicted",
     {"engine", "--step-ms", "0", "--cache-blocks", "1"},
     {{"PUT", "/kv/r", "0123456789012345678901234567890123456789012345678901234567890123", 200,
       R"({"known-blocks":0})"},
      {"PUT", "/kv/r", "0123456789012345678901234567890123456789012345678901234567890123", 200,
       R"({"known-blocks":1})"},
      {"PUT", "/kv/s", "another block of the cache, which is just as long as the first!!", 200,
       R"({"known-blocks":0})"},
      {"PUT", "/kv/r", "0123456789012345678901234567890123456789012345678901234567890123", 200,
       R"({"known-blocks":0})"},
      {"GET", "/cache-events?from=2", "", 200, R"({"last":5})"},
      {"GET", "/load", "", 200, R"({"cached_blocks":1,"running":0,"waiting":0})"}}},
    {"EngineWithFencingCheckRefusesAnOldOrder",
     {"engine", "--checks-orders", "1"},
     {{"POST", "/orders", R"({"fencing":7,"order":"load"})", 200, R"({"accepted":true})"},
      {"POST", "/orders", R"({"fencing":6,"order":"unload"})", 409, R"({"accepted":false,"highest":7})"},
      {"GET", "/orders", "", 200, R"({"orders":[{"fencing":7}]})"}}},
    {"EngineWithoutFencingCheckAcceptsAnOldOrder",
     {"engine"},
     {{"POST", "/orders", R"({"fencing":7,"order":"load"})", 200, nullptr},
      {"POST", "/orders", R"({"fencing":6,"order":"unload"})", 200, R"({"accepted":true})"},
      {"GET", "/orders", "", 200, R"({"orders":[{"fencing":7},{"fencing":6}]})"}}},
    {"HostListLagsAndReportsDuplicates",
     {"hosts"},
     {{"PUT", "/hosts", R"({"hosts":[{"host":"a","state":"leaving"}]})", 200, nullptr},
      {"POST", "/faults", R"({"duplicates":1})", 200, nullptr},
      {"GET", "/hosts", "", 200, R"({"hosts":[{"host":"a","state":"leaving"},{"host":"a"}]})"},
      {"POST", "/faults", R"({"duplicates":0,"lag-ms":3600000})", 200, nullptr},
      {"GET", "/hosts", "", 200, R"({"hosts":[]})"},
      {"PUT", "/hosts", R"({"hosts":[{"host":"a","state":"gone"}]})", 400, nullptr}}},
};

nlohmann::json parseBody(const HttpCallResult &answer)
{
    if (headerValue(answer.headers, "Content-Type") != "application/cbor") {
        return nlohmann::json::parse(answer.body, nullptr, false);
    }
    auto page = nlohmann::json::from_cbor(answer.body, true, false);
    for (auto &record : page["records"]) {
        const auto &bytes = record["p"].get_binary();
        record["p"] = std::string(bytes.begin(), bytes.end());
    }
    return page;
}

/** Returns whether @p actual contains @p expected: objects may have further fields, arrays must have the same length.
 */
bool containsAll(const nlohmann::json &actual, const nlohmann::json &expected)
{
    if (expected.is_object()) {
        return actual.is_object()
            && std::all_of(expected.items().begin(), expected.items().end(), [&](const auto &item) {
                   return actual.contains(item.key()) && containsAll(actual[item.key()], item.value());
               });
    }
    if (expected.is_array()) {
        return actual.is_array()
            && std::equal(actual.begin(), actual.end(), expected.begin(), expected.end(), containsAll);
    }
    return actual == expected;
}

class StandInContract : public testing::TestWithParam<ContractRow>
{
};

TEST_P(StandInContract, EachStepHasTheExpectedResponse)
{
    const ChildProcess standIn("heatherridge-standin", GetParam().arguments);
    ASSERT_EQ(standIn.endpoints().size(), 1U);
    for (const auto &step : GetParam().steps) {
        const auto answer = call(standIn.endpoints().front(), step.method, step.target, step.body);
        EXPECT_EQ(answer.status, step.status) << step.method << " " << step.target << ": " << answer.body;
        if (step.answer != nullptr) {
            const auto actual = parseBody(answer);
            EXPECT_TRUE(containsAll(actual, nlohmann::json::parse(step.answer)))
                << step.target << " answered " << actual;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, StandInContract, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(LogStandIn, AReadWaitsForTheNextRecord)
{
    const ChildProcess log("heatherridge-standin", {"log"});
    auto reader = std::async(std::launch::async, [&log] {
        return call(log.endpoints().front(), "GET", "/streams/a/records?from=1&wait-ms=60000");
    });
    // The append may arrive before the read; either way the reader receives the record long before its wait ends.
    call(log.endpoints().front(), "POST", "/streams/a/records", "late");
    EXPECT_TRUE(containsAll(parseBody(reader.get()), nlohmann::json::parse(R"({"records":[{"o":1,"p":"late"}]})")));
}

// A caller closes its connection in the middle of a long answer. The engine must cancel the request; otherwise it would
// occupy a slot of the batch for minutes.
TEST(EngineStandIn, CancelsTheRequestOfADisconnectedCaller)
{
    const ChildProcess engine("heatherridge-standin", {"engine", "--step-ms", "1"});
    const auto &endpoint = engine.endpoints().front();
    HttpCall chat{.endpoint = endpoint,
                  .request = {.method = "POST",
                              .path = "/v1/chat/completions",
                              .body = R"({"messages":[{"content":"hi"}],"max_tokens":100000,"stream":true})"}};
    chat.disconnectAfterBytes = 1000;
    EXPECT_FALSE(callAll({chat}).front().isComplete);
    while (!containsAll(parseBody(call(endpoint, "GET", "/counters")), {{"callers-gone", 1}})) {
        std::this_thread::yield(); // ctest's time limit fails the test if this never happens
    }
    EXPECT_TRUE(containsAll(parseBody(call(endpoint, "GET", "/load")), {{"running", 0}, {"waiting", 0}}));
}

TEST(EngineStandIn, AnAbortedStreamIsIncomplete)
{
    const ChildProcess engine("heatherridge-standin", {"engine", "--step-ms", "0", "--break-after-tokens", "3"});
    const auto answer = call(engine.endpoints().front(), "POST", "/v1/chat/completions",
                             R"({"messages":[{"content":"hi"}],"max_tokens":9,"stream":true})");
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.isComplete);
    EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos);
}

TEST(StandIn, ExitsCleanlyOnSigterm)
{
    ChildProcess log("heatherridge-standin", {"log"});
    log.signal(SIGTERM);
    EXPECT_EQ(log.wait(), 0);
}

} // namespace
