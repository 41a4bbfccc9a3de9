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

constexpr std::size_t Plains = 3;
constexpr std::size_t Bookings = 24;
constexpr int MaxTries = 40;
/** Where some outcomes are lost for good, asking on doesn't help. */
constexpr int TriesWhereLost = 2;

Uuid7 newKey(std::uint64_t number)
{
    static SeededRandom random(7);
    return Uuid7::make(SystemClock().wallNow(), random.draw(), (random.draw() << 16U) + number);
}

std::string bodyOf(const Uuid7 &key)
{
    return nlohmann::json{{"reference", key.toString()}}.dump();
}

HttpCall bookingCall(const TestSite &site, std::size_t entry, const Uuid7 &key, std::string body = {},
                     const std::string &workspace = "mills")
{
    return {.endpoint = site.entry(entry),
            .request = {.method = "POST",
                        .path = "/services/yard-app/bookings",
                        .headers = {{.name = "X-Workspace", .value = workspace},
                                    {.name = "X-Deadline-Ms", .value = "4000"},
                                    {.name = "Idempotency-Key", .value = key.toString()}},
                        .body = body.empty() ? bodyOf(key) : std::move(body)}};
}

std::string fieldOf(const HttpAnswer &answer, const std::string &field)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() && json.contains(field) && json[field].is_string() ? json[field].get<std::string>() : "";
}

bool isBooked(const HttpAnswer &answer)
{
    return answer.whole && answer.status >= 200 && answer.status < 300;
}

void setFault(const Endpoint &standIn, const std::string &faults)
{
    ASSERT_EQ(call(standIn, "POST", "/faults", faults).status, 200);
}

/** How often each booking was executed, over all instances of the service. */
std::map<std::string, int> executions(const TestSite &site)
{
    std::map<std::string, int> sum;
    for (std::size_t index = 0; index < Plains; ++index) {
        const auto json = nlohmann::json::parse(call(site.plain(index), "GET", "/executions").body);
        for (const auto &[reference, count] : json.items()) {
            sum[reference] += count.get<int>();
        }
    }
    return sum;
}

/** Makes bookings until each of the service's shards has a holder. */
void warmUp(const TestSite &site)
{
    int booked = 0;
    for (std::uint64_t number = 0; booked < 16; ++number) { // ctest's time limit fails the test if it never comes
        booked += isBooked(callAll({bookingCall(site, 0, newKey(number))}).front()) ? 1 : 0;
    }
}

/** Asks for all bookings through the other entry, those without a final answer again, at most @p tries times. */
std::vector<HttpAnswer> askAgain(const TestSite &site, const std::vector<Uuid7> &keys, int tries)
{
    std::vector<HttpAnswer> answers(keys.size());
    for (int attempt = 0; attempt < tries; ++attempt) {
        std::vector<HttpCall> calls;
        std::vector<std::size_t> places;
        for (std::size_t index = 0; index < keys.size(); ++index) {
            if (!isBooked(answers[index])) {
                calls.push_back(bookingCall(site, 1, keys[index]));
                places.push_back(index);
            }
        }
        const auto fresh = callAll(calls);
        for (std::size_t index = 0; index < places.size(); ++index) {
            answers[places[index]] = fresh[index];
        }
    }
    return answers;
}

struct FaultRow
{
    const char *name;
    std::function<void(TestSite &)> begin; ///< before the first tries
    std::function<void(TestSite &)> middle; ///< while they are under way
    std::function<void(TestSite &)> end; ///< before the repeats
    bool allBooked; ///< whether every booking must come through in the end
};

void doNothing(TestSite & /*site*/)
{
}

void faultAtLog(TestSite &site, const char *faults)
{
    setFault(site.log(), faults);
}

void slowService(TestSite &site, int delay)
{
    for (std::size_t index = 0; index < Plains; ++index) {
        setFault(site.plain(index), R"({"delay-ms":)" + std::to_string(delay) + "}");
    }
}

const FaultRow Rows[] = {
    {"None", doNothing, doNothing, doNothing, true},
    {"EntryKilledInMidCall", [](TestSite &site) { slowService(site, 300); },
     [](TestSite &site) { site.entryProcess(0).kill(); }, [](TestSite &site) { slowService(site, 0); }, true},
    {"TargetProcessKilledInMidCall", [](TestSite &site) { slowService(site, 300); },
     [](TestSite &site) { site.targetProcess(0).kill(); }, [](TestSite &site) { slowService(site, 0); }, false},
    {"TargetProcessPausedInMidCall", [](TestSite &site) { slowService(site, 300); },
     [](TestSite &site) { site.targetProcess(0).signal(SIGSTOP); },
     [](TestSite &site) {
         slowService(site, 0);
         site.targetProcess(0).signal(SIGCONT);
     },
     true},
    {"LogOut", [](TestSite &site) { faultAtLog(site, R"({"out":1})"); }, doNothing,
     [](TestSite &site) { faultAtLog(site, R"({"out":0})"); }, true},
    {"LogHangs", [](TestSite &site) { faultAtLog(site, R"({"hang":1})"); }, doNothing,
     [](TestSite &site) { faultAtLog(site, R"({"hang":0})"); }, true},
    {"LogRepliesLost", [](TestSite &site) { faultAtLog(site, R"({"lose-reply":6})"); }, doNothing, doNothing, true},
    {"LogSlow", [](TestSite &site) { faultAtLog(site, R"({"slow-ms":150})"); }, doNothing,
     [](TestSite &site) { faultAtLog(site, R"({"slow-ms":0})"); }, true},
    {"LogOutAndTargetProcessKilled",
     [](TestSite &site) {
         slowService(site, 300);
         faultAtLog(site, R"({"out":1})");
     },
     [](TestSite &site) { site.targetProcess(0).kill(); },
     [](TestSite &site) {
         slowService(site, 0);
         faultAtLog(site, R"({"out":0})");
     },
     false},
    {"TargetWithdrawn", [](TestSite &site) { slowService(site, 100); }, [](TestSite &site) { site.withdraw({0}); },
     [](TestSite &site) { slowService(site, 0); }, true},
    {"ServiceClosesAfterRunning",
     [](TestSite &site) {
         for (std::size_t index = 0; index < Plains; ++index) {
             setFault(site.plain(index), R"({"close-after-run":2})");
         }
     },
     doNothing, doNothing, false},
};

class BookingFaults : public testing::TestWithParam<FaultRow>
{
};

/** Answers of one kind, for what a row prints. */
struct Tally
{
    int booked = 0;
    int unknown = 0;
    int notRun = 0;
    int none = 0;

    void add(const HttpAnswer &answer)
    {
        const auto ran = fieldOf(answer, "ran");
        booked += isBooked(answer) ? 1 : 0;
        unknown += ran == "unknown" || ran == "yes" ? 1 : 0;
        notRun += ran == "no" ? 1 : 0;
        none += answer.status == 0 ? 1 : 0;
    }
};

// Two trucks come for one load: a mill asks again, through the other entry, after a fault hid the answer to its first
// try. Whatever the fault, each booking is executed at most once, what was told as not run has not run by then, and
// all answers to one key are the same.
TEST_P(BookingFaults, RunAtMostOnce)
{
    TestSite site({.engines = 0, .plains = Plains, .entries = 2});
    warmUp(site);
    GetParam().begin(site);
    std::vector<Uuid7> keys;
    std::vector<HttpCall> calls;
    for (std::size_t number = 0; number < Bookings; ++number) {
        keys.push_back(newKey(number));
        calls.push_back(bookingCall(site, 0, keys.back()));
    }
    std::atomic<bool> allAnswered{false};
    const auto before = executions(site).size();
    std::thread fault([&] {
        while (executions(site).size() < before + Bookings / 4 && !allAnswered) {
            std::this_thread::sleep_for(5ms); // between two looks
        }
        GetParam().middle(site);
    });
    const auto first = callAll(calls);
    allAnswered = true;
    fault.join();
    const auto early = executions(site);
    Tally tally;
    for (std::size_t index = 0; index < Bookings; ++index) {
        tally.add(first[index]);
        EXPECT_FALSE(fieldOf(first[index], "ran") == "no" && early.contains(keys[index].toString()))
            << first[index].body;
    }
    GetParam().end(site);
    const auto again = askAgain(site, keys, GetParam().allBooked ? MaxTries : TriesWhereLost);
    int bookedInTheEnd = 0;
    for (std::size_t index = 0; index < Bookings; ++index) {
        bookedInTheEnd += isBooked(again[index]) ? 1 : 0;
        EXPECT_TRUE(isBooked(again[index]) || !GetParam().allBooked) << again[index].status << " " << again[index].body;
        if (isBooked(first[index]) && isBooked(again[index])) {
            EXPECT_EQ(first[index].body, again[index].body);
        }
    }
    for (const auto &[reference, count] : executions(site)) {
        EXPECT_EQ(count, 1) << reference;
    }
    std::cout << GetParam().name << ": first tries " << tally.booked << " booked, " << tally.unknown << " unknown, "
              << tally.notRun << " not run, " << tally.none << " without an answer; " << bookedInTheEnd << " of "
              << Bookings << " booked in the end\n";
}

INSTANTIATE_TEST_SUITE_P(Table, BookingFaults, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

struct RefusalRow
{
    const char *story;
    const char *workspace;
    const char *body;
    int status;
};

const RefusalRow RefusalRows[] = {
    {"another body", "mills", R"({"reference":"other"})", 422},
    {"another workspace", "buyers", "", 422},
    {"the same again", "mills", "", 201},
};

TEST(KeyUse, TheSameKeyForAnotherRequestIsRefused)
{
    TestSite site({.engines = 0, .plains = Plains, .entries = 1});
    warmUp(site);
    const auto key = newKey(0);
    ASSERT_EQ(callAll({bookingCall(site, 0, key)}).front().status, 201);
    for (const auto &row : RefusalRows) {
        const auto answer = callAll({bookingCall(site, 0, key, row.body, row.workspace)}).front();
        EXPECT_EQ(answer.status, row.status) << row.story << answer.body;
    }
    auto badKey = bookingCall(site, 0, key);
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

// Not a verdict on time: prints what a booking costs, one after the other, in one run, and holds that each is booked.
TEST(BookingLatency, IsMeasuredWithTheLogWellSlowAndOut)
{
    constexpr std::size_t count = 100;
    TestSite site({.engines = 0, .plains = Plains, .entries = 1});
    warmUp(site);
    for (const auto &row : LatencyRows) {
        setFault(site.log(), row.logFaults);
        std::vector<std::chrono::microseconds> times;
        for (std::size_t number = 0; number < count; ++number) {
            auto call = bookingCall(site, 0, newKey(number));
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
