#include "heatherridge_state/decisions/returnschedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start(1h);
constexpr milliseconds Window{250};
constexpr double MaxDeviation = 0.25; ///< of the retries from the admission rate

/** Refuses @p count streams within one second at @p schedule. @returns when they return, in order */
std::vector<SteadyTime> refuseWithinASecond(ReturnSchedule &schedule, int count, const ReturnSchedule::Refusal &refusal,
                                            RandomSource &random)
{
    std::vector<SteadyTime> returns;
    for (int index = 0; index < count; ++index) {
        const auto now = Start + 1'000ms * index / count;
        returns.push_back(now + schedule.refuse(refusal, now, random).delay);
    }
    std::sort(returns.begin(), returns.end());
    return returns;
}

std::ptrdiff_t countBetween(const std::vector<SteadyTime> &returns, SteadyTime from, SteadyTime to)
{
    return std::lower_bound(returns.begin(), returns.end(), to)
        - std::lower_bound(returns.begin(), returns.end(), from);
}

struct ReplayRow
{
    const char *description;
    int refused;
    double admittedPerSecond;
    double streamsAhead;
    std::uint64_t seed;
};

const ReplayRow ReplayRows[] = {
    {"no stream waits", 300, 100, 0, 1},
    {"no stream waits, another seed", 300, 100, 0, 2},
    {"as many wait as are admitted in a second", 300, 100, 100, 3},
    {"more are refused", 900, 100, 20, 4},
    {"more capacity", 600, 200, 40, 5},
};

class RefusedPeak : public testing::TestWithParam<ReplayRow>
{
};

// Guards against refused callers that return into the same peak, and against capacity that is unused meanwhile.
TEST_P(RefusedPeak, ReturnsAtTheRateOfAdmission)
{
    const auto &row = GetParam();
    ReturnSchedule schedule;
    SeededRandom random(row.seed);
    const auto returns = refuseWithinASecond(
        schedule, row.refused,
        {.streamsAhead = row.streamsAhead, .admittedPerSecond = row.admittedPerSecond, .remainingTime = 60s}, random);
    const double admitted = row.admittedPerSecond * std::chrono::duration<double>(Window).count();
    for (auto from = returns.front() + Window; from + Window <= returns.back(); from += 5ms) {
        const auto count = static_cast<double>(countBetween(returns, from, from + Window));
        EXPECT_LE(count, admitted * (1 + MaxDeviation)) << row.description << ", " << (from - Start) / 1ms << " ms";
        EXPECT_GE(count, admitted * (1 - MaxDeviation)) << row.description << ", " << (from - Start) / 1ms << " ms";
    }
    EXPECT_GE(returns.front(), Start + MinReturnDelay);
    const auto expectedEnd = std::chrono::duration<double>((row.streamsAhead + row.refused) / row.admittedPerSecond);
    EXPECT_LE(returns.back(), Start + expectedEnd * (1 + MaxDeviation)) << row.description;
}

INSTANTIATE_TEST_SUITE_P(Table, RefusedPeak, testing::ValuesIn(ReplayRows));

// Guards against gateways that send the refused callers back at the same moments.
TEST(ReturnSchedules, OfSeveralGatewaysDiffer)
{
    constexpr int gateways = 6;
    constexpr double admittedPerSecond = 100;
    std::vector<SteadyTime> returns;
    for (std::uint64_t gateway = 0; gateway < gateways; ++gateway) {
        ReturnSchedule schedule;
        SeededRandom random(gateway);
        const auto own = refuseWithinASecond(
            schedule, 50, {.admittedPerSecond = admittedPerSecond / gateways, .remainingTime = 60s}, random);
        returns.insert(returns.end(), own.begin(), own.end());
    }
    std::sort(returns.begin(), returns.end());
    const double admitted = admittedPerSecond * std::chrono::duration<double>(Window).count();
    for (auto from = returns.front() + Window; from < returns.back(); from += 5ms) {
        EXPECT_LE(static_cast<double>(countBetween(returns, from, from + Window)), admitted * (1 + MaxDeviation));
    }
}

struct RankRow
{
    const char *description;
    ReturnSchedule::ReturnClass earlier; ///< of 100 streams that are refused first
    ReturnSchedule::ReturnClass later; ///< of one stream that is refused next
    milliseconds minDelay; ///< of that stream
    milliseconds maxDelay;
};

const RankRow RankRows[] = {
    {"behind the refused streams of its own rank", {.priority = 1}, {.priority = 1}, 1'000ms, 1'200ms},
    {"behind those of a higher rank", {.priority = 0}, {.priority = 2}, 1'000ms, 1'200ms},
    {"before those of a lower rank", {.priority = 2}, {.priority = 0}, 100ms, 110ms},
    {"behind those of its rank when its workspace is over its share",
     {.priority = 1},
     {.priority = 1, .isOverShare = true},
     1'000ms,
     1'200ms},
    {"before those of workspaces over their share",
     {.priority = 1, .isOverShare = true},
     {.priority = 1},
     100ms,
     110ms},
    {"before those of a lower rank though its workspace is over its share",
     {.priority = 2},
     {.priority = 1, .isOverShare = true},
     100ms,
     110ms},
};

class ReturnsByRank : public testing::TestWithParam<RankRow>
{
};

// Guards against callers of the highest rank that are told to wait for those of lower ranks.
TEST_P(ReturnsByRank, AreInTheOrderOfAdmission)
{
    const auto &row = GetParam();
    ReturnSchedule schedule;
    SeededRandom random(1);
    ReturnSchedule::Refusal refusal{.returnClass = row.earlier, .admittedPerSecond = 100, .remainingTime = 60s};
    for (int index = 0; index < 100; ++index) {
        schedule.refuse(refusal, Start, random);
    }
    refusal.returnClass = row.later;
    const auto delay = schedule.refuse(refusal, Start, random).delay;
    EXPECT_GE(delay, row.minDelay) << row.description;
    EXPECT_LE(delay, row.maxDelay) << row.description;
}

INSTANTIATE_TEST_SUITE_P(Table, ReturnsByRank, testing::ValuesIn(RankRows));

// Guards against lower ranks that are told to return in the time that refused streams of a higher rank take.
TEST(ReturnSchedules, MoveLowerRanksBack)
{
    ReturnSchedule schedule;
    SeededRandom random(1);
    ReturnSchedule::Refusal low{.returnClass = {.priority = 2}, .admittedPerSecond = 100, .remainingTime = 60s};
    auto high = low;
    high.returnClass.priority = 0;
    for (int index = 0; index < 100; ++index) {
        schedule.refuse(low, Start, random);
    }
    for (int index = 0; index < 50; ++index) {
        schedule.refuse(high, Start, random);
    }
    EXPECT_GE(schedule.refuse(low, Start, random).delay, 1'500ms);
}

struct DelayRow
{
    const char *description;
    ReturnInput input;
    milliseconds min;
    milliseconds max;
};

const DelayRow DelayRows[] = {
    {"rate unknown", {.remainingTime = 8s}, 500ms, 750ms},
    {"rate unknown although streams wait", {.streamsAhead = 1'000, .remainingTime = 8s}, 500ms, 750ms},
    {"no stream is admitted", {.streamsAhead = 10, .admittedPerSecond = 0, .remainingTime = 8s}, 500ms, 750ms},
    {"no stream waits", {.admittedPerSecond = 100, .remainingTime = 8s}, 100ms, 110ms},
    {"some wait", {.streamsAhead = 50, .admittedPerSecond = 100, .remainingTime = 8s}, 500ms, 510ms},
    {"some wait, some were refused",
     {.streamsAhead = 50, .refusedOfRank = 30, .admittedPerSecond = 100, .remainingTime = 8s},
     800ms,
     810ms},
    {"a small rate", {.admittedPerSecond = 2, .remainingTime = 8s}, 100ms, 600ms},
    {"too many wait", {.streamsAhead = 1'000, .admittedPerSecond = 100, .remainingTime = 6s}, 1'000ms, 2'000ms},
    {"a rate close to zero", {.streamsAhead = 1, .admittedPerSecond = 1e-300, .remainingTime = 6s}, 1'000ms, 2'000ms},
    {"short remaining time, rate unknown", {.remainingTime = 600ms}, 100ms, 200ms},
    {"a remaining time under three shortest delays", {.admittedPerSecond = 100, .remainingTime = 150ms}, 25ms, 50ms},
    {"no remaining time", {.streamsAhead = 5, .admittedPerSecond = 100}, 0ms, 0ms},
    {"less than no remaining time", {.streamsAhead = 5, .admittedPerSecond = 100, .remainingTime = -5ms}, 0ms, 0ms},
};

class ReturnDelays : public testing::TestWithParam<DelayRow>
{
};

// Guards against delays that callers do not wait for, that are the same for all, or that overflow.
TEST_P(ReturnDelays, AreWithinTheirLimits)
{
    const auto &row = GetParam();
    SeededRandom random(7);
    std::vector<milliseconds> delays;
    delays.reserve(200);
    for (int draw = 0; draw < 200; ++draw) {
        delays.push_back(returnDelay(row.input, random));
    }
    const auto [least, most] = std::minmax_element(delays.begin(), delays.end());
    EXPECT_GE(*least, row.min) << row.description;
    EXPECT_LE(*most, row.max) << row.description;
    EXPECT_GE(*most - *least, (row.max - row.min) * 3 / 4) << row.description;
}

INSTANTIATE_TEST_SUITE_P(Table, ReturnDelays, testing::ValuesIn(DelayRows));

// Guards against streams with little time that make those with more time wait for capacity that nobody uses.
TEST(ReturnSchedules, KeepNoTimeForStreamsThatReturnEarlier)
{
    ReturnSchedule schedule;
    SeededRandom random(1);
    for (int index = 0; index < 1'000; ++index) {
        schedule.refuse({.admittedPerSecond = 100, .remainingTime = 3s}, Start, random);
    }
    const auto delay = schedule.refuse({.admittedPerSecond = 100, .remainingTime = 60s}, Start, random).delay;
    EXPECT_LE(delay, 1'020ms);
}

// Guards against a schedule that is never free again after a peak.
TEST(ReturnSchedules, AreFreeWhenTheirTimeHasPassed)
{
    ReturnSchedule schedule;
    SeededRandom random(1);
    const ReturnSchedule::Refusal refusal{.admittedPerSecond = 100, .remainingTime = 60s};
    for (int index = 0; index < 300; ++index) {
        schedule.refuse(refusal, Start, random);
    }
    EXPECT_GE(schedule.refuse(refusal, Start, random).delay, 3s);
    EXPECT_LE(schedule.refuse(refusal, Start + 4s, random).delay, 110ms);
}

// Guards against delays over a third of the remaining time, for arbitrary refusals.
RC_GTEST_PROP(ReturnSchedules, KeepTheLimitOfTheCaller, (std::uint64_t seed))
{
    ReturnSchedule schedule;
    SeededRandom random(seed);
    auto now = Start;
    for (int index = 0; index < 200; ++index) {
        now += milliseconds(random.below(20));
        const ReturnSchedule::Refusal refusal{
            .returnClass = {.priority = static_cast<int>(random.below(3)), .isOverShare = random.below(2) == 0},
            .streamsAhead = static_cast<double>(random.below(200)),
            .admittedPerSecond = random.below(10) == 0 ? std::nullopt : std::optional(random.fraction() * 200),
            .remainingTime = milliseconds(random.below(20'000))};
        const auto delay = schedule.refuse(refusal, now, random).delay;
        RC_ASSERT(delay >= 0ms);
        RC_ASSERT(delay * 3 <= refusal.remainingTime);
    }
}

} // namespace
