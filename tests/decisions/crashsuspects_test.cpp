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

CrashReport died(const char *target, RequestFingerprint request = Request)
{
    return {.kind = Kind::TargetDied, .request = request, .target = TargetName(target)};
}

CrashReport answered()
{
    return {.kind = Kind::Answered, .request = Request};
}

struct ReportRow
{
    const char *name;
    std::vector<CrashReport> reports;
    bool isBlocked;
};

const ReportRow ReportRows[] = {
    {"NothingReported", {}, false},
    // Guards against blocking all that ran at a target which died for a reason of its own.
    {"OneDeath", {died("a")}, false},
    // Guards against counting one death twice, as when two gateways had the request there, or a report is told again.
    {"OneDeathToldTwice", {died("a"), died("a")}, false},
    {"TwoDeaths", {died("a"), died("b")}, true},
    {"TwoDeathsOfTwoRequests", {died("a"), died("b", {.high = 1, .low = 3})}, false},
    // Guards against blocking a common look-up that was at two targets when these died, and is answered all the time.
    {"AnAnswerBetweenTwoDeaths", {died("a"), answered(), died("b")}, false},
    {"AnAnswerAfterTwoDeaths", {died("a"), died("b"), answered()}, false},
    // Guards against a gateway that reads the reports of all again from the beginning and comes to another verdict.
    {"AllReportsTwice", {died("a"), answered(), died("b"), died("a"), answered(), died("b")}, false},
};

class Reports : public testing::TestWithParam<ReportRow>
{
};

TEST_P(Reports, BlockARequestUnderWhichTwoTargetsDied)
{
    CrashSuspects suspects;
    for (const auto &report : GetParam().reports) {
        suspects.take(report, SteadyTime{});
    }
    EXPECT_EQ(suspects.isBlocked(Request), GetParam().isBlocked);
}

INSTANTIATE_TEST_SUITE_P(All, Reports, testing::ValuesIn(ReportRows), [](const auto &row) { return row.param.name; });

// Guards against a request that is let through again after some minutes though it never stopped coming.
TEST(BlockedRequests, StayBlockedWhileTheyComeAndAreForgottenAfterwards)
{
    CrashSuspects suspects({.memory = 300s});
    SteadyTime now{};
    suspects.take(died("a"), now);
    suspects.take(died("b"), now);
    int toldAgain = 0;
    for (int minute = 0; minute < 20; ++minute) {
        now += 60s;
        suspects.tick(now);
        ASSERT_TRUE(suspects.isBlocked(Request)) << minute;
        toldAgain += suspects.refused(Request, now) ? 1 : 0;
    }
    // The log forgets too; a gateway that starts must find a report there.
    EXPECT_GE(toldAgain, 20 * 60 / 300);
    suspects.tick(now + 301s);
    EXPECT_FALSE(suspects.isBlocked(Request));
    EXPECT_TRUE(suspects.isEmpty());
}

// Guards against memory that grows without bound while targets die by the hundred.
TEST(BlockedRequests, AreAtMostSoMany)
{
    CrashSuspects suspects({.mostRequests = 3});
    for (std::uint64_t number = 0; number < 10; ++number) {
        suspects.take(died("a", {.low = number}), SteadyTime{} + std::chrono::milliseconds(number));
    }
    EXPECT_FALSE(suspects.isSuspect({.low = 6}));
    EXPECT_TRUE(suspects.isSuspect({.low = 7}));
}

/** What became of requests, one of which ends each target that it reaches. */
struct Replay
{
    int deaths = 0;
    int innocentsBlocked = 0;
};

/** Sends @p suspects, of which the first ends targets, on from a target that died with all of them. */
Replay sendOnFromADeath(std::size_t suspects, std::size_t targets, bool isApart, RandomSource &random)
{
    CrashSuspects known;
    std::vector<DirectCandidate> candidates(targets, {.slots = 12});
    SuspectPlaces places;
    std::vector<std::vector<std::uint64_t>> at(targets);
    for (std::uint64_t number = 0; number < suspects; ++number) {
        known.take(died("dead", {.low = number}), SteadyTime{});
        const auto avoided = places.avoided({});
        for (std::size_t index = 0; index < targets; ++index) {
            candidates[index].wasTried = isApart && avoided.contains(TargetName(std::to_string(index)));
        }
        auto chosen = placeDirectly(candidates, random);
        chosen = chosen ? chosen : std::optional(random.below(targets));
        at[*chosen].push_back(number);
        places.put(TargetName(std::to_string(*chosen)));
    }
    Replay replay;
    for (const auto &numbers : at) {
        if (std::find(numbers.begin(), numbers.end(), 0U) == numbers.end()) {
            continue;
        }
        ++replay.deaths;
        for (const auto number : numbers) {
            known.take(died("next", {.low = number}), SteadyTime{});
            replay.innocentsBlocked += number != 0 && known.isBlocked({.low = number}) ? 1 : 0;
        }
    }
    return replay;
}

// Guards against blocking requests that were by chance at the targets that one of them ended.
TEST(SuspectsOfOneDeath, AreSentOnApartSoThatOnlyTheOneThatEndsTargetsIsBlocked)
{
    SeededRandom random(7);
    int blockedApart = 0;
    int blockedAtRandom = 0;
    constexpr int times = 200;
    for (int time = 0; time < times; ++time) {
        blockedApart += sendOnFromADeath(5, 8, true, random).innocentsBlocked;
        blockedAtRandom += sendOnFromADeath(5, 8, false, random).innocentsBlocked;
    }
    EXPECT_EQ(blockedApart, 0);
    EXPECT_GT(blockedAtRandom, 0);
}

} // namespace
