#include "support/testsite.h"

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_state/keys/uuid7.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <iostream>
#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t PlainTargets = 3;
constexpr std::size_t Bookings = 24;
constexpr int MaxAttempts = 40;
/** Where some outcomes are permanently lost, further attempts do not help. */
constexpr int MaxAttemptsWithLostOutcomes = 2;

Uuid7 newKey(std::uint64_t number)
{
    static SeededRandom random(7);
    return Uuid7::make(SystemClock().wallNow(), random.draw(), (random.draw() << 16U) + number);
}

std::string makeBookingBody(const Uuid7 &key)
{
    return nlohmann::json{{"reference", key.toString()}}.dump();
}

HttpCall makeBookingCall(const TestSite &site, std::size_t entry, const Uuid7 &key, std::string body = {},
                         const std::string &workspace = "mills")
{
    return {.endpoint = site.entry(entry),
            .request = {.method = "POST",
                        .path = "/services/yard-app/bookings",
                        .headers = {{.name = "X-Workspace", .value = workspace},
                                    {.name = "X-Deadline-Ms", .value = "4000"},
                                    {.name = "Idempotency-Key", .value = key.toString()}},
                        .body = body.empty() ? makeBookingBody(key) : std::move(body)}};
}

std::string stringField(const HttpCallResult &answer, const std::string &field)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() && json.contains(field) && json[field].is_string() ? json[field].get<std::string>() : "";
}

bool isBooked(const HttpCallResult &answer)
{
    return answer.isComplete && answer.status >= 200 && answer.status < 300;
}

void setFault(const Endpoint &standIn, const std::string &faults)
{
    ASSERT_EQ(call(standIn, "POST", "/faults", faults).status, 200);
}

/** Returns how often each booking was executed, summed over all instances of the service. */
std::map<std::string, int> executionCounts(const TestSite &site)
{
    std::map<std::string, int> counts;
    for (std::size_t index = 0; index < PlainTargets; ++index) {
        const auto json = nlohmann::json::parse(call(site.plain(index), "GET", "/executions").body);
        for (const auto &[reference, count] : json.items()) {
            counts[reference] += count.get<int>();
        }
    }
    return counts;
}

/** Sends bookings until 16 have succeeded, so that the service's shards have holders. */
void waitForShardHolders(const TestSite &site)
{
    int bookedCount = 0;
    for (std::uint64_t number = 0; bookedCount < 16; ++number) { // bounded by ctest's time limit
        bookedCount += isBooked(callAll({makeBookingCall(site, 0, newKey(number))}).front()) ? 1 : 0;
    }
}

/** Sends all bookings through the other entry, and repeats those that are not booked, up to @p maxAttempts attempts in
 * all. */
std::vector<HttpCallResult> retryUnbooked(const TestSite &site, const std::vector<Uuid7> &keys, int maxAttempts)
{
    std::vector<HttpCallResult> answers(keys.size());
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        std::vector<HttpCall> calls;
        std::vector<std::size_t> indexes;
        for (std::size_t index = 0; index < keys.size(); ++index) {
            if (!isBooked(answers[index])) {
                calls.push_back(makeBookingCall(site, 1, keys[index]));
                indexes.push_back(index);
            }
        }
        const auto retriedAnswers = callAll(calls);
        for (std::size_t index = 0; index < indexes.size(); ++index) {
            answers[indexes[index]] = retriedAnswers[index];
        }
    }
    return answers;
}

struct FaultRow
{
    const char *name;
    std::function<void(TestSite &)> beforeCalls; ///< called before the first attempts
    std::function<void(TestSite &)> duringCalls; ///< called while the first attempts are running
    std::function<void(TestSite &)> beforeRetries; ///< called before the retries
    bool mustAllBeBooked; ///< whether every booking must succeed in the end
};

void noFault(TestSite & /*site*/)
{
}

void setLogFault(TestSite &site, const char *faults)
{
    setFault(site.log(), faults);
}

void delayService(TestSite &site, int delay)
{
    for (std::size_t index = 0; index < PlainTargets; ++index) {
        setFault(site.plain(index), R"({"delay-ms":)" + std::to_string(delay) + "}");
    }
}

const FaultRow Rows[] = {
    {"None", noFault, noFault, noFault, true},
    {"EntryKilledInMidCall", [](TestSite &site) { delayService(site, 300); },
     [](TestSite &site) { site.entryProcess(0).kill(); }, [](TestSite &site) { delayService(site, 0); }, true},
    {"TargetProcessKilledInMidCall", [](TestSite &site) { delayService(site, 300); },
     [](TestSite &site) { site.targetProcess(0).kill(); }, [](TestSite &site) { delayService(site, 0); }, false},
    {"TargetProcessPausedInMidCall", [](TestSite &site) { delayService(site, 300); },
     [](TestSite &site) { site.targetProcess(0).signal(SIGSTOP); },
     [](TestSite &site) {
         delayService(site, 0);
         site.targetProcess(0).signal(SIGCONT);
     },
     true},
    {"LogOut", [](TestSite &site) { setLogFault(site, R"({"out":1})"); }, noFault,
     [](TestSite &site) { setLogFault(site, R"({"out":0})"); }, true},
    {"LogHangs", [](TestSite &site) { setLogFault(site, R"({"hang":1})"); }, noFault,
     [](TestSite &site) { setLogFault(site, R"({"hang":0})"); }, true},
    {"LogRepliesLost", [](TestSite &site) { setLogFault(site, R"({"lose-reply":6})"); }, noFault, noFault, true},
    {"LogSlow", [](TestSite &site) { setLogFault(site, R"({"slow-ms":150})"); }, noFault,
     [](TestSite &site) { setLogFault(site, R"({"slow-ms":0})"); }, true},
    {"LogOutAndTargetProcessKilled",
     [](TestSite &site) {
         delayService(site, 300);
         setLogFault(site, R"({"out":1})");
     },
     [](TestSite &site) { site.targetProcess(0).kill(); },
     [](TestSite &site) {
         delayService(site, 0);
         setLogFault(site, R"({"out":0})");
     },
     false},
    {"TargetWithdrawn", [](TestSite &site) { delayService(site, 100); }, [](TestSite &site) { site.withdraw({0}); },
     [](TestSite &site) { delayService(site, 0); }, true},
    {"ServiceClosesAfterRunning",
     [](TestSite &site) {
         for (std::size_t index = 0; index < PlainTargets; ++index) {
             setFault(site.plain(index), R"({"close-after-run":2})");
         }
     },
     noFault, noFault, false},
};

class BookingFaults : public testing::TestWithParam<FaultRow>
{
};

/** Counts answers by kind for the summary that each row prints. */
struct AnswerCounts
{
    int bookedCount = 0;
    int unknownOutcome = 0;
    int notRun = 0;
    int withoutAnswer = 0;

    void add(const HttpCallResult &answer)
    {
        const auto ran = stringField(answer, "ran");
        bookedCount += isBooked(answer) ? 1 : 0;
        unknownOutcome += ran == "unknown" || ran == "yes" ? 1 : 0;
        notRun += ran == "no" ? 1 : 0;
        withoutAnswer += answer.status == 0 ? 1 : 0;
    }
};

// A caller repeats a booking through the other entry after a fault hid the answer to its first attempt; without
// protection the booking would be executed twice. Whatever the fault, each booking must be executed at most once, a
// request reported as not run must not have run by then, and all answers to one key must be the same.
TEST_P(BookingFaults, RunAtMostOnce)
{
    TestSite site({.engines = 0, .plainServices = PlainTargets, .entries = 2});
    waitForShardHolders(site);
    GetParam().beforeCalls(site);
    std::vector<Uuid7> keys;
    std::vector<HttpCall> calls;
    for (std::size_t number = 0; number < Bookings; ++number) {
        keys.push_back(newKey(number));
        calls.push_back(makeBookingCall(site, 0, keys.back()));
    }
    std::atomic<bool> allAnswered{false};
    const auto before = executionCounts(site).size();
    std::thread fault([&] {
        while (executionCounts(site).size() < before + Bookings / 4 && !allAnswered) {
            std::this_thread::sleep_for(5ms); // polling interval
        }
        GetParam().duringCalls(site);
    });
    const auto firstAnswers = callAll(calls);
    allAnswered = true;
    fault.join();
    const auto executedBeforeRetries = executionCounts(site);
    AnswerCounts firstCounts;
    for (std::size_t index = 0; index < Bookings; ++index) {
        firstCounts.add(firstAnswers[index]);
        EXPECT_FALSE(stringField(firstAnswers[index], "ran") == "no"
                     && executedBeforeRetries.contains(keys[index].toString()))
            << firstAnswers[index].body;
    }
    GetParam().beforeRetries(site);
    const auto retried =
        retryUnbooked(site, keys, GetParam().mustAllBeBooked ? MaxAttempts : MaxAttemptsWithLostOutcomes);
    int finallyBooked = 0;
    for (std::size_t index = 0; index < Bookings; ++index) {
        finallyBooked += isBooked(retried[index]) ? 1 : 0;
        EXPECT_TRUE(isBooked(retried[index]) || !GetParam().mustAllBeBooked)
            << retried[index].status << " " << retried[index].body;
        if (isBooked(firstAnswers[index]) && isBooked(retried[index])) {
            EXPECT_EQ(firstAnswers[index].body, retried[index].body);
        }
    }
    for (const auto &[reference, count] : executionCounts(site)) {
        EXPECT_EQ(count, 1) << reference;
    }
    std::cout << GetParam().name << ": first tries " << firstCounts.bookedCount << " booked, "
              << firstCounts.unknownOutcome << " unknown, " << firstCounts.notRun << " not run, "
              << firstCounts.withoutAnswer << " without an answer; " << finallyBooked << " of " << Bookings
              << " booked in the end\n";
}

INSTANTIATE_TEST_SUITE_P(Table, BookingFaults, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

struct RefusalRow
{
    const char *description;
    const char *workspace;
    const char *body;
    int status;
};

const RefusalRow RefusalRows[] = {
    {"another body", "mills", R"({"reference":"other"})", 422},
    {"another workspace", "buyers", "", 422},
    {"the same again", "mills", "", 201},
};

TEST(IdempotencyKeyReuse, SameKeyForAnotherRequestIsRefused)
{
    TestSite site({.engines = 0, .plainServices = PlainTargets, .entries = 1});
    waitForShardHolders(site);
    const auto key = newKey(0);
    ASSERT_EQ(callAll({makeBookingCall(site, 0, key)}).front().status, 201);
    for (const auto &row : RefusalRows) {
        const auto answer = callAll({makeBookingCall(site, 0, key, row.body, row.workspace)}).front();
        EXPECT_EQ(answer.status, row.status) << row.description << answer.body;
    }
    auto badKey = makeBookingCall(site, 0, key);
    badKey.request.headers.back().value = "ticket-17";
    EXPECT_EQ(callAll({badKey}).front().status, 400);
}

struct LatencyRow
{
    const char *name;
    const char *logFaults;
    bool keyed;
};

const LatencyRow LatencyRows[] = {
    {"no key", R"({"out":0})", false},
    {"key, log well", R"({"out":0})", true},
    {"key, log slow by 50 ms", R"({"slow-ms":50})", true},
    {"key, log out", R"({"out":1,"slow-ms":0})", true},
};

// Makes no assertion about time: prints the latency of bookings sent one after the other, and checks that each is
// booked.
TEST(BookingLatency, IsMeasuredWithTheLogAvailableSlowAndDown)
{
    constexpr std::size_t count = 100;
    TestSite site({.engines = 0, .plainServices = PlainTargets, .entries = 1});
    waitForShardHolders(site);
    for (const auto &row : LatencyRows) {
        setFault(site.log(), row.logFaults);
        std::vector<std::chrono::microseconds> times;
        for (std::size_t number = 0; number < count; ++number) {
            auto call = makeBookingCall(site, 0, newKey(number));
            if (!row.keyed) {
                call.request.headers.pop_back();
            }
            const auto begin = std::chrono::steady_clock::now();
            const auto answer = callAll({call}).front();
            times.push_back(
                std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begin));
            EXPECT_TRUE(isBooked(answer)) << row.name << answer.body;
        }
        std::sort(times.begin(), times.end());
        std::cout << row.name << ": median " << times[count / 2].count() << " us, 95% "
                  << times[count * 95 / 100].count() << " us, longest " << times.back().count() << " us\n";
    }
}

} // namespace
