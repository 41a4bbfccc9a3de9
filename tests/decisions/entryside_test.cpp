#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

struct RetryRow
{
    const char *description;
    FailedAttempt failed;
    RetryVerdict verdict;
};

FailedAttempt failure(ErrorKind kind, bool idempotent = false)
{
    return {.error = {.kind = kind}, .idempotent = idempotent, .hasOtherTargets = true, .deadline = Start + 10s};
}

FailedAttempt modified(FailedAttempt failed, void (*modify)(FailedAttempt &))
{
    modify(failed);
    return failed;
}

const RetryRow RetryRows[] = {
    {"known not to have run", failure(ErrorKind::QueueFull), RetryVerdict::Retry},
    {"a booking that may have run", failure(ErrorKind::OutcomeUnknown), RetryVerdict::MayHaveRun},
    {"a lookup that may have run", failure(ErrorKind::OutcomeUnknown, true), RetryVerdict::Retry},
    {"a lookup whose answer has started",
     modified(failure(ErrorKind::StreamBroken, true), [](auto &failed) { failed.answerStarted = true; }),
     RetryVerdict::MayHaveRun},
    {"the caller's own error", failure(ErrorKind::UnknownModel), RetryVerdict::NotHelpful},
    {"over the workspace's share, which is the same at every target", failure(ErrorKind::WorkspaceOverLimit),
     RetryVerdict::NotHelpful},
    {"third attempt", modified(failure(ErrorKind::QueueFull), [](auto &failed) { failed.previousAttempts = 2; }),
     RetryVerdict::AttemptsSpent},
    {"deadline passes first",
     modified(failure(ErrorKind::QueueFull), [](auto &failed) { failed.expectedDuration = 11s; }),
     RetryVerdict::DeadlineTooClose},
    {"the last target names a retry time beyond the deadline",
     modified(failure(ErrorKind::Overloaded),
              [](auto &failed) {
                  failed.hasOtherTargets = false;
                  failed.error.retryAfter = 20s;
              }),
     RetryVerdict::DeadlineTooClose},
};

class RetryVerdicts : public testing::TestWithParam<RetryRow>
{
};

TEST_P(RetryVerdicts, AreAsExpected)
{
    RetryPolicy policy;
    SeededRandom random(1);
    EXPECT_EQ(policy.decide(GetParam().failed, Start, random).verdict, GetParam().verdict) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, RetryVerdicts, testing::ValuesIn(RetryRows));

// Guards against retries that sustain an outage: every target fails every request for an hour while callers keep
// coming, and the number of retries must stay a small constant.
TEST(RetryBudget, OutageEarnsNoRetries)
{
    RetryPolicy policy;
    SeededRandom random(1);
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        retries += policy.decide(failure(ErrorKind::TargetUnreachable), Start, random).verdict == RetryVerdict::Retry;
    }
    EXPECT_EQ(retries, 3);
    for (int i = 0; i < 100; ++i) {
        policy.recordSuccess();
    }
    EXPECT_EQ(policy.decide(failure(ErrorKind::TargetUnreachable), Start, random).verdict, RetryVerdict::Retry);
}

// Guards against mass ejection: an entry loses its network, so every target seems to fail. It must not eject more than
// a third, or the few remaining targets would receive all work once the network is back.
TEST(HealthTracker, EjectsAtMostAThirdAndRecoversByProbes)
{
    HealthTracker health;
    std::vector<TargetName> targets;
    for (int i = 0; i < 9; ++i) {
        targets.emplace_back("t" + std::to_string(i));
        health.add(targets.back());
    }
    for (int round = 0; round < 10; ++round) {
        for (const auto &target : targets) {
            health.record(target, AttemptOutcome::Failed, Start);
        }
    }
    EXPECT_EQ(health.ejectedCount(), 3U);
    EXPECT_EQ(health.healthOf(targets[0], Start + 1s), Health::Ejected);
    EXPECT_EQ(health.healthOf(targets[0], Start + 2s), Health::Probing);
    health.record(targets[0], AttemptOutcome::Failed, Start + 2s);
    EXPECT_EQ(health.healthOf(targets[0], Start + 5s), Health::Ejected);
    for (int i = 0; i < 3; ++i) {
        health.record(targets[0], AttemptOutcome::Succeeded, Start + 7s);
    }
    EXPECT_EQ(health.healthOf(targets[0], Start + 7s), Health::Healthy);
}

// Guards against uneven subsets: 500 entries each pick 64 of 4,800 targets. Every target must be picked by about the
// same number of entries, or the least picked ones idle; and one additional target must not make all entries reconnect.
RC_GTEST_PROP(SubsetSelection, CoversTargetsEvenlyAndStaysStable, ())
{
    const auto targets = *rc::gen::inRange<std::size_t>(100, 2000);
    const auto entries = *rc::gen::inRange<std::size_t>(10, 100);
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i <= targets; ++i) {
        keys.push_back(targetKey(TargetName("t" + std::to_string(i))));
    }
    const std::span<const std::uint64_t> before(keys.data(), targets);
    std::vector<int> covered(targets);
    for (std::size_t entry = 0; entry < entries; ++entry) {
        const SubsetOptions options{.entryIndex = entry, .size = 32};
        const auto subset = SubsetSelection::choose(before, options);
        RC_ASSERT(subset.size() >= 32U);
        for (const auto index : subset) {
            ++covered[index];
        }
        if ((targets + 1) / 32 == targets / 32) {
            const auto after = SubsetSelection::choose(keys, options);
            std::vector<std::size_t> kept;
            std::set_intersection(subset.begin(), subset.end(), after.begin(), after.end(), std::back_inserter(kept));
            RC_ASSERT(kept.size() + 2 >= subset.size());
        }
    }
    const auto [fewest, most] = std::minmax_element(covered.begin(), covered.end());
    RC_ASSERT(*most - *fewest <= 1);
}

TEST(PrefixIndex, MatchesLeadingBlocksStillHeld)
{
    PrefixIndex index({.capacity = 64});
    const auto chain = PrefixIndex::hashChain(std::string(1000, 'x') + "tail");
    ASSERT_EQ(chain.size(), 3U);
    const std::span<const std::uint64_t> all(chain);
    index.insert(TargetSlot(1), all, Start);
    index.insert(TargetSlot(2), all.first(2), Start);
    using Matches = std::vector<PrefixMatch>;
    EXPECT_EQ(index.match(chain, Start), (Matches{{TargetSlot(1), 3}, {TargetSlot(2), 2}}));
    index.erase(TargetSlot(1), chain[1]);
    EXPECT_EQ(index.match(chain, Start), (Matches{{TargetSlot(2), 2}, {TargetSlot(1), 1}}));
    index.removeTarget(TargetSlot(2));
    EXPECT_EQ(index.match(chain, Start), (Matches{{TargetSlot(1), 1}}));
    index.insert(TargetSlot(1), all, Start + 1s);
    EXPECT_EQ(index.match(chain, Start + 1s), (Matches{{TargetSlot(1), 3}}));
    EXPECT_EQ(index.match(chain, Start + 1h), Matches{});
}

// An engine becomes slow while it is full. The limit must decrease at once, must not decrease again for each answer
// that began before, and must recover slowly.
TEST(ConcurrencyLimit, DecreasesOnceForOneExcessAndIncreasesSlowly)
{
    ConcurrencyLimit limit({.initialLimit = 16});
    auto now = Start;
    const auto runWindows = [&](std::chrono::microseconds gap, int windows) {
        for (int i = 0; i < windows * 10; ++i) {
            now += 50ms;
            limit.recordTokenGap(gap, std::min<std::size_t>(limit.limit(), 60), now);
        }
    };
    runWindows(20ms, 30);
    EXPECT_GE(limit.limit(), 60U);
    EXPECT_EQ(limit.warmth(), 1);
    const auto full = limit.limit();
    runWindows(150ms, 2);
    EXPECT_LT(limit.limit(), full * 9 / 10);
    EXPECT_GE(limit.limit(), full / 3);
    const auto reduced = limit.limit();
    runWindows(20ms, 2);
    EXPECT_LE(limit.limit(), reduced + reduced / 4);
    limit.restart();
    EXPECT_EQ(limit.limit(), 16U);
    EXPECT_LT(limit.warmth(), 1);
}

TEST(HedgeDelay, IsThePercentileOfRecordedLatencies)
{
    HedgeDelay hedgeDelay;
    EXPECT_EQ(hedgeDelay.delay(), std::nullopt);
    for (int i = 0; i < 100; ++i) {
        hedgeDelay.record(i < 96 ? 10ms : 1000ms);
    }
    EXPECT_GE(*hedgeDelay.delay(), 10ms);
    EXPECT_LE(*hedgeDelay.delay(), 13ms);
}

TEST(SlewRateLimiter, FallsFastAndRisesSlowly)
{
    SlewRateLimiter limiter;
    limiter.moveTowards(1, Start);
    EXPECT_DOUBLE_EQ(limiter.moveTowards(0.1, Start + 500ms), 0.5);
    EXPECT_DOUBLE_EQ(limiter.moveTowards(1, Start + 1000ms), 0.5 * std::exp2(0.1));
}

struct PlacementRow
{
    const char *text;
    bool isCost;
    std::size_t faultCount;
};

const PlacementRow PlacementRows[] = {{"[placement]\nsamples = 3\n", true, 0},
                                      {"[placement]\npolicy = two-choices\n", false, 0},
                                      {"[placement]\npolicy = fastest\nsamples = 0\n", false, 2}};

class PlacementSection : public testing::TestWithParam<PlacementRow>
{
};

TEST_P(PlacementSection, IsReadAndChecked)
{
    const auto result = RuleSet::fromDocument(IniDocument::parse(GetParam().text));
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&result)) {
        EXPECT_EQ(faults->size(), GetParam().faultCount);
        return;
    }
    EXPECT_EQ(GetParam().faultCount, 0U);
    EXPECT_EQ(std::holds_alternative<CostPlacementOptions>(std::get<RuleSet>(result).placement()), GetParam().isCost);
}

INSTANTIATE_TEST_SUITE_P(Table, PlacementSection, testing::ValuesIn(PlacementRows));

// For every policy and any state of the targets: an unusable target is never chosen, and when none is usable the
// request is refused as not run.
RC_GTEST_PROP(Placement, NeverChoosesAnUnusableTarget, ())
{
    const PlacementRules policies[] = {CostPlacementOptions{}, RoundRobinOptions{}, LeastRequestsOptions{},
                                       TwoChoicesOptions{}, HashOptions{}};
    const auto usable = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    std::vector<TargetView> views;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        views.push_back({.key = rendezvousHash(i, 1), .ownLoad = static_cast<double>(i), .usable = usable[i]});
    }
    SeededRandom random(7);
    for (const auto &placementRules : policies) {
        Placement placement(placementRules);
        const auto choice = placement.choose(views, {.affinityKey = 5}, random);
        if (std::find(usable.begin(), usable.end(), true) == usable.end()) {
            RC_ASSERT(errorIn(choice) != nullptr);
            RC_ASSERT(errorIn(choice)->ranOrDefault() == ExecutionStatus::No);
        } else {
            RC_ASSERT(usable[std::get<std::size_t>(choice)]);
        }
    }
}

} // namespace
