#include "heatherridge_state/decisions/crashsuspects.h"
#include "heatherridge_state/decisions/directplacement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Kind = CrashReport::Kind;

const RequestFingerprint Request{.high = 1, .low = 2};

CrashReport deathReport(const char *target, RequestFingerprint request = Request)
{
    return {.kind = Kind::TargetDied, .request = request, .target = TargetName(target)};
}

CrashReport answerReport()
{
    return {.kind = Kind::Answered, .request = Request};
}

struct CrashReportCase
{
    const char *name;
    std::vector<CrashReport> reports;
    bool isBlocked;
};

const CrashReportCase CrashReportCases[] = {
    {"NothingReported", {}, false},
    // Guards against blocking every request at a target that died for an unrelated reason.
    {"OneDeath", {deathReport("a")}, false},
    // Guards against counting one death twice, because two gateways had the request there or a report is repeated.
    {"OneDeathReportedTwice", {deathReport("a"), deathReport("a")}, false},
    {"TwoDeaths", {deathReport("a"), deathReport("b")}, true},
    {"TwoDeathsOfTwoRequests", {deathReport("a"), deathReport("b", {.high = 1, .low = 3})}, false},
    // Guards against blocking a common look-up that was at two targets when they died but is answered all the time.
    {"AnswerBetweenTwoDeaths", {deathReport("a"), answerReport(), deathReport("b")}, false},
    {"AnswerAfterTwoDeaths", {deathReport("a"), deathReport("b"), answerReport()}, false},
    // Guards against a different verdict at a gateway that reads all reports again from the beginning.
    {"AllReportsTwice",
     {deathReport("a"), answerReport(), deathReport("b"), deathReport("a"), answerReport(), deathReport("b")},
     false},
};

class CrashReports : public testing::TestWithParam<CrashReportCase>
{
};

TEST_P(CrashReports, BlockRequestAfterTwoTargetDeaths)
{
    CrashSuspects suspects;
    for (const auto &report : GetParam().reports) {
        suspects.record(report, SteadyTime{});
    }
    EXPECT_EQ(suspects.isBlocked(Request), GetParam().isBlocked);
}

INSTANTIATE_TEST_SUITE_P(All, CrashReports, testing::ValuesIn(CrashReportCases),
                         [](const auto &row) { return row.param.name; });

// Guards against letting a request through again after some minutes although it never stopped arriving.
TEST(BlockedRequests, StayBlockedWhileRetriedAndExpireAfterwards)
{
    CrashSuspects suspects({.retention = 300s});
    SteadyTime now{};
    suspects.record(deathReport("a"), now);
    suspects.record(deathReport("b"), now);
    int repeatedReports = 0;
    for (int minute = 0; minute < 20; ++minute) {
        now += 60s;
        suspects.evictExpired(now);
        ASSERT_TRUE(suspects.isBlocked(Request)) << minute;
        repeatedReports += suspects.recordRefusal(Request, now).empty() ? 0 : 1;
    }
    // The log expires reports too; a gateway that starts must find them there.
    EXPECT_GE(repeatedReports, 20 * 60 / 300);
    suspects.evictExpired(now + 301s);
    EXPECT_FALSE(suspects.isBlocked(Request));
    EXPECT_TRUE(suspects.isEmpty());
}

struct RepeatRow
{
    const char *name;
    std::chrono::milliseconds requestInterval; ///< at all gateways together
    int gateways; ///< that get the request in turn
};

const RepeatRow RepeatRows[] = {
    {"OftenAtOneGateway", 100ms, 1},           {"EverySecondAtOneGateway", 1s, 1},
    {"EverySecondAtFourGateways", 1s, 4},      {"OftenAtFiveHundredGateways", 20ms, 500},
    {"EveryTenSecondsAtFourGateways", 10s, 4},
};

class RepeatedReports : public testing::TestWithParam<RepeatRow>
{
};

// Guards against a gateway that starts later, finds no reports or too few in a log that keeps them for 20 s, and lets
// the request crash further targets.
TEST_P(RepeatedReports, BlockTheRequestAtGatewaysThatStartLater)
{
    constexpr auto logRetention = 20s;
    constexpr auto duration = 200s;
    std::vector<CrashSuspects> gateways(GetParam().gateways);
    std::vector<std::pair<SteadyTime, CrashReport>> log;
    const auto publish = [&](const CrashReport &report, SteadyTime now) {
        log.emplace_back(now, report);
        for (auto &gateway : gateways) {
            gateway.record(report, now);
        }
    };
    publish(deathReport("a"), {});
    publish(deathReport("b"), {});
    std::size_t number = 0;
    for (SteadyTime now{}; now < SteadyTime(duration); now += GetParam().requestInterval) {
        for (const auto &report : gateways[number++ % gateways.size()].recordRefusal(Request, now)) {
            publish(report, now);
        }
        CrashSuspects later;
        for (const auto &[time, report] : log) {
            if (now - time < logRetention) {
                later.record(report, now);
            }
        }
        EXPECT_TRUE(later.isBlocked(Request)) << now.time_since_epoch().count();
    }
    EXPECT_LE(log.size(), 2 + 2 * duration / CrashSuspects::Options{}.repeatInterval);
}

INSTANTIATE_TEST_SUITE_P(All, RepeatedReports, testing::ValuesIn(RepeatRows),
                         [](const auto &row) { return row.param.name; });

// Guards against unbounded memory while hundreds of targets die.
TEST(BlockedRequests, AreBoundedInNumber)
{
    CrashSuspects suspects({.maxRequests = 3});
    for (std::uint64_t number = 0; number < 10; ++number) {
        suspects.record(deathReport("a", {.low = number}), SteadyTime{} + std::chrono::milliseconds(number));
    }
    EXPECT_FALSE(suspects.isSuspect({.low = 6}));
    EXPECT_TRUE(suspects.isSuspect({.low = 7}));
}

/** Outcome of forwarding requests, one of which crashes each target that it reaches. */
struct ForwardingResult
{
    int deaths = 0;
    int innocentsBlocked = 0;
};

/** Forwards @p suspects, the first of which crashes targets, from a target that died with all of them. */
ForwardingResult forwardAfterTargetDeath(std::size_t suspects, std::size_t targets, bool avoidSuspectTargets,
                                         RandomSource &random)
{
    CrashSuspects tracker;
    std::vector<DirectCandidate> candidates(targets, {.slots = 12});
    SuspectTargets suspectTargets;
    std::vector<std::vector<std::uint64_t>> requestsByTarget(targets);
    for (std::uint64_t number = 0; number < suspects; ++number) {
        tracker.record(deathReport("dead", {.low = number}), SteadyTime{});
        const auto targetsToAvoid = suspectTargets.targetsToAvoid({});
        for (std::size_t index = 0; index < targets; ++index) {
            candidates[index].wasTried =
                avoidSuspectTargets && targetsToAvoid.contains(TargetName(std::to_string(index)));
        }
        auto chosen = placeDirectly(candidates, random);
        chosen = chosen ? chosen : std::optional(random.below(targets));
        requestsByTarget[*chosen].push_back(number);
        suspectTargets.add(TargetName(std::to_string(*chosen)));
    }
    ForwardingResult result;
    for (const auto &numbers : requestsByTarget) {
        if (std::find(numbers.begin(), numbers.end(), 0U) == numbers.end()) {
            continue;
        }
        ++result.deaths;
        for (const auto number : numbers) {
            tracker.record(deathReport("next", {.low = number}), SteadyTime{});
            result.innocentsBlocked += number != 0 && tracker.isBlocked({.low = number}) ? 1 : 0;
        }
    }
    return result;
}

// Guards against blocking requests that were by chance at the targets that one of them crashed.
TEST(SuspectsOfOneTargetDeath, AreForwardedToSeparateTargetsSoOnlyTheCulpritIsBlocked)
{
    SeededRandom random(7);
    int blockedWhenSeparated = 0;
    int blockedAtRandom = 0;
    constexpr int times = 200;
    for (int time = 0; time < times; ++time) {
        blockedWhenSeparated += forwardAfterTargetDeath(5, 8, true, random).innocentsBlocked;
        blockedAtRandom += forwardAfterTargetDeath(5, 8, false, random).innocentsBlocked;
    }
    EXPECT_EQ(blockedWhenSeparated, 0);
    EXPECT_GT(blockedAtRandom, 0);
}

} // namespace
