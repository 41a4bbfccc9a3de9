#include "heatherridge_state/decisions/attemptresult.h"
#include "heatherridge_state/decisions/directplacement.h"
#include "heatherridge_state/decisions/fleetretrybudget.h"
#include "heatherridge_state/decisions/loadestimate.h"
#include "heatherridge_state/decisions/placementwait.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

struct NextStepCase
{
    const char *description;
    AttemptResult end;
    AttemptContext context;
    NextStep step;
};

constexpr auto Idempotent = RequestKind::Idempotent;
constexpr auto NonIdempotent = RequestKind::NonIdempotent;
constexpr auto EventStream = RequestKind::EventStream;

const NextStepCase NextStepCases[] = {
    {"a complete answer", AttemptResult::Answered, {.kind = NonIdempotent, .possibleRuns = 1}, NextStep::Deliver},
    // A booking whose connection was reset may have been executed. Sending it again would execute it twice.
    {"a booking after a reset",
     AttemptResult::Interrupted,
     {.kind = NonIdempotent, .possibleRuns = 1, .maxRuns = 3},
     NextStep::Fail},
    {"a booking after a timeout",
     AttemptResult::TimedOut,
     {.kind = NonIdempotent, .possibleRuns = 1, .maxRuns = 3},
     NextStep::Fail},
    {"a booking after an invalid answer",
     AttemptResult::InvalidAnswer,
     {.kind = NonIdempotent, .possibleRuns = 1, .maxRuns = 3},
     NextStep::Fail},
    {"a booking that failed at its target",
     AttemptResult::FailedAtTarget,
     {.kind = NonIdempotent, .possibleRuns = 1, .maxRuns = 3},
     NextStep::Deliver},
    {"a booking that its target refused",
     AttemptResult::RefusedAtTarget,
     {.kind = NonIdempotent, .maxRuns = 1},
     NextStep::Retry},
    {"a booking that was never sent", AttemptResult::NeverSent, {.kind = NonIdempotent, .maxRuns = 1}, NextStep::Retry},
    {"a look-up after a reset",
     AttemptResult::Interrupted,
     {.kind = Idempotent, .possibleRuns = 1, .maxRuns = 2},
     NextStep::Retry},
    {"a look-up that has run on the maximum number of targets",
     AttemptResult::Interrupted,
     {.kind = Idempotent, .possibleRuns = 2, .maxRuns = 2, .attempts = 2},
     NextStep::Fail},
    {"a look-up that failed at the last target it may run on",
     AttemptResult::FailedAtTarget,
     {.kind = Idempotent, .possibleRuns = 2, .maxRuns = 2, .attempts = 2},
     NextStep::Deliver},
    {"a stream that can be resumed",
     AttemptResult::Interrupted,
     {.kind = EventStream, .isResumable = true, .possibleRuns = 1, .maxRuns = 2},
     NextStep::Retry},
    {"a stream that cannot be resumed",
     AttemptResult::Interrupted,
     {.kind = EventStream, .possibleRuns = 1, .maxRuns = 2},
     NextStep::Fail},
    {"refused everywhere",
     AttemptResult::RefusedAtTarget,
     {.kind = Idempotent, .maxRuns = 2, .attempts = MaxAttempts},
     NextStep::Fail},
    {"a look-up that failed at its target, without retry budget",
     AttemptResult::FailedAtTarget,
     {.kind = Idempotent, .possibleRuns = 1, .maxRuns = 2, .hasRetryBudget = false},
     NextStep::Deliver},
    {"a look-up after a reset, without retry budget",
     AttemptResult::Interrupted,
     {.kind = Idempotent, .possibleRuns = 1, .maxRuns = 2, .hasRetryBudget = false},
     NextStep::Retry},
    {"a stream that failed at its target before it began, without retry budget",
     AttemptResult::FailedAtTarget,
     {.kind = EventStream, .isResumable = true, .possibleRuns = 1, .maxRuns = 2, .hasRetryBudget = false},
     NextStep::Deliver},
    {"a begun stream that a target rejected",
     AttemptResult::Answered,
     {.kind = EventStream, .isResumable = true, .hasStreamBegun = true, .possibleRuns = 2, .maxRuns = 3},
     NextStep::Retry},
    {"a begun stream that the last target rejected",
     AttemptResult::Answered,
     {.kind = EventStream, .isResumable = true, .hasStreamBegun = true, .possibleRuns = 2, .maxRuns = 2},
     NextStep::Fail},
    {"a begun stream that failed at a target, without retry budget",
     AttemptResult::FailedAtTarget,
     {.kind = EventStream,
      .isResumable = true,
      .hasStreamBegun = true,
      .possibleRuns = 2,
      .maxRuns = 3,
      .hasRetryBudget = false},
     NextStep::Retry},
    {"a begun stream that failed at the last target",
     AttemptResult::FailedAtTarget,
     {.kind = EventStream, .isResumable = true, .hasStreamBegun = true, .possibleRuns = 2, .maxRuns = 2},
     NextStep::Fail},
    {"a begun stream that a target rejected, without time for another attempt",
     AttemptResult::Answered,
     {.kind = EventStream,
      .isResumable = true,
      .hasStreamBegun = true,
      .possibleRuns = 2,
      .maxRuns = 3,
      .hasTimeLeft = false},
     NextStep::Fail},
    {"no time for another attempt",
     AttemptResult::Interrupted,
     {.kind = Idempotent, .possibleRuns = 1, .maxRuns = 2, .hasTimeLeft = false},
     NextStep::Fail},
};

class NextSteps : public testing::TestWithParam<NextStepCase>
{
};

TEST_P(NextSteps, FollowFromKnownOutcome)
{
    EXPECT_EQ(nextStep(GetParam().end, GetParam().context), GetParam().step) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, NextSteps, testing::ValuesIn(NextStepCases));

RC_GTEST_PROP(NextSteps, NeverRetryNonIdempotentRequestThatMayHaveRun,
              (std::uint8_t endNumber, std::uint8_t ran, std::uint8_t tries))
{
    const auto end = static_cast<AttemptResult>(endNumber % 7);
    const auto step = nextStep(end, {.kind = NonIdempotent, .possibleRuns = ran, .maxRuns = 5, .attempts = tries});
    RC_ASSERT(!(mayHaveRun(end) && step == NextStep::Retry));
}

// Guards against a second answer to a caller that has received the head of a stream.
RC_GTEST_PROP(NextSteps, NeverDeliverAnswerAfterStreamHasBegun,
              (std::uint8_t endNumber, std::uint8_t ran, bool isResumable, bool hasTimeLeft, bool hasRetryBudget))
{
    const auto step = nextStep(static_cast<AttemptResult>(endNumber % 7),
                               {.kind = EventStream,
                                .isResumable = isResumable,
                                .hasStreamBegun = true,
                                .possibleRuns = ran,
                                .maxRuns = 3,
                                .hasTimeLeft = hasTimeLeft,
                                .hasRetryBudget = hasRetryBudget});
    RC_ASSERT(step != NextStep::Deliver);
}

// A fault makes half of all requests fail at once at every entry. The limit on retries applies to all entries together,
// and none of them sees what the others do.
RC_GTEST_PROP(FleetRetryBudget, KeepsCommonBoundInEveryWindow, (std::uint32_t seed))
{
    constexpr int entries = 4;
    constexpr double share = 0.2;
    constexpr double slack = 88;
    constexpr auto window = 10s;
    SeededRandom random(seed);
    std::vector<SlackShare> slackShares(entries, SlackShare({.window = window, .start = Start}));
    std::vector<FleetRetryBudget> budgets;
    budgets.reserve(entries);
    for (auto &slackShare : slackShares) {
        budgets.emplace_back(FleetRetryBudgetOptions{.share = share, .slack = slack, .window = window}, slackShare);
    }
    // The platform's log distributes all of the work over the entries, and with it their shares of the slack; it
    // redistributes them from time to time.
    const auto dealParts = [&](SteadyTime now) {
        constexpr int parts = 12;
        std::vector<std::set<int>> dealt(entries);
        const std::size_t living = entries - random.below(2);
        for (int part = 0; part < parts; ++part) {
            dealt[static_cast<std::size_t>(part) % living].insert(part);
        }
        for (std::size_t entry = 0; entry < entries; ++entry) {
            slackShares[entry].setPartitions(
                {.partitions = dealt[entry], .partitionCount = parts, .validUntil = SteadyTime::max()}, now);
        }
    };
    dealParts(Start);
    std::deque<SteadyTime> requests;
    std::deque<SteadyTime> repeats;
    for (int tick = 0; tick < 6'000; ++tick) {
        const auto now = Start + std::chrono::milliseconds(tick * 10);
        const bool isOutage = tick % 2'000 > 1'000;
        if (random.below(1'500) == 0) {
            dealParts(now);
        }
        auto &budget = budgets[random.below(entries)];
        if (random.below(10) < 6) {
            budget.recordRequest(now);
            requests.push_back(now);
        }
        while (isOutage && random.below(4) > 0 && budget.tryTake(now)) {
            repeats.push_back(now);
        }
        while (!repeats.empty() && repeats.front() <= now - window) {
            repeats.pop_front();
        }
        while (!requests.empty() && requests.front() <= now - window) {
            requests.pop_front();
        }
        RC_ASSERT(static_cast<double>(repeats.size()) <= share * static_cast<double>(requests.size()) + slack);
    }
}

// A rank of a group of eight dies, and 96 streams break at once at two entries. Guards against each entry using only an
// eighth of the slack whatever the number of entries, so that callers are refused far below the limit.
TEST(FleetRetryBudget, UsesWholeSlackWhenSharesAreKnown)
{
    constexpr double slack = 88;
    constexpr auto window = 10s;
    constexpr auto lease = 1'500ms;
    int taken = 0;
    for (int entry = 0; entry < 2; ++entry) {
        SlackShare slackShare({.window = window, .start = Start});
        slackShare.setPartitions(
            {.partitions = {entry}, .partitionCount = 2, .validUntil = SteadyTime::max(), .lease = lease}, Start);
        FleetRetryBudget budget({.slack = slack, .window = window}, slackShare);
        while (budget.tryTake(Start + window + lease)) {
            ++taken;
        }
    }
    EXPECT_GE(taken, slack * FleetRetryBudget::SafetyFactor - 2);
    EXPECT_LE(taken, slack);
}

TEST(LoadEstimate, CountsOwnRequestsAndDecaysReportedLoad)
{
    LoadEstimate load;
    load.recordSent();
    load.recordSent();
    load.recordReport(6, Start);
    EXPECT_NEAR(load.total(Start, 0), 6, 1e-9);
    load.recordEnded();
    EXPECT_NEAR(load.total(Start, 0), 5, 1e-9);
    EXPECT_NEAR(load.total(Start + LoadEstimate::HalfLife, 0), 1 + 2, 1e-9);
    load.recordReport(0, Start + 1s);
    EXPECT_NEAR(load.total(Start + 1s, 0), 1, 1e-9);
}

// Guards against herding at a large site: entries sent nearly all streams to the few targets with the oldest reports,
// because those had decayed to "idle", while other targets had three requests each.
TEST(LoadEstimate, AssumesUsualLoadOfOthersWhenReportIsOld)
{
    LoadEstimate load;
    EXPECT_NEAR(load.total(Start, 3), 3, 1e-9);
    load.recordSent();
    load.recordReport(6, Start);
    EXPECT_NEAR(load.total(Start, 3), 6, 1e-9);
    EXPECT_NEAR(load.total(Start + LoadEstimate::HalfLife, 3), 1 + 2.5 + 1.5, 1e-9);
    EXPECT_NEAR(load.total(Start + LoadEstimate::HalfLife * 20, 3), 1 + 3, 1e-4);
}

struct PlacementCase
{
    const char *description;
    std::vector<DirectCandidate> candidates;
    std::optional<std::size_t> chosen;
};

const PlacementCase PlacementCases[] = {
    {"the least loaded target", {{.load = 3}, {.load = 1}, {.load = 2}}, 1},
    {"a target in the own zone before a slightly less loaded one",
     {{.load = 1.2, .isInOwnZone = true}, {.load = 1}},
     0},
    {"a much less loaded target before one in the own zone", {{.load = 3, .isInOwnZone = true}, {.load = 1}}, 1},
    {"load relative to the number of slots", {{.load = 3, .slots = 12}, {.load = 2, .slots = 4}}, 0},
    {"a cold target last among near-equals", {{.load = 1, .slots = 6, .isCold = true}, {.load = 2, .slots = 6}}, 1},
    {"an ejected target only if there is no other", {{.load = 0, .health = Health::Ejected}, {.load = 9}}, 1},
    {"an ejected target rather than none", {{.load = 0, .health = Health::Ejected}}, 0},
    {"not a target that was tried", {{.load = 0, .wasTried = true}, {.load = 9}}, 1},
    {"none if all were tried", {{.load = 0, .wasTried = true}}, std::nullopt},
};

class DirectPlacement : public testing::TestWithParam<PlacementCase>
{
};

TEST_P(DirectPlacement, ChoosesLeastLoadedUsableTarget)
{
    SeededRandom random(3);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(placeDirectly(GetParam().candidates, random), GetParam().chosen) << GetParam().description;
    }
}

INSTANTIATE_TEST_SUITE_P(All, DirectPlacement, testing::ValuesIn(PlacementCases));

struct PlacementWaitCase
{
    const char *description;
    RequestKind kind;
    std::chrono::milliseconds timeLeft;
    std::chrono::milliseconds wait;
};

const PlacementWaitCase PlacementWaitCases[] = {
    {"a stream with plenty of time", EventStream, 8s, MaxStreamWait},
    {"a stream with little time", EventStream, 1s, 500ms},
    {"a booking", NonIdempotent, 1500ms, 150ms},
    {"a booking with little time", NonIdempotent, 200ms, 100ms},
    {"no time left", Idempotent, 0ms, 0ms},
};

class PlacementWait : public testing::TestWithParam<PlacementWaitCase>
{
};

TEST_P(PlacementWait, LeavesTimeForTheAnswer)
{
    EXPECT_EQ(placementWait(GetParam().kind, GetParam().timeLeft, 300ms), GetParam().wait) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, PlacementWait, testing::ValuesIn(PlacementWaitCases));

} // namespace
