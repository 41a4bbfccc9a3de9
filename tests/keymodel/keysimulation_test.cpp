#include "keysimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr int StepsPerSchedule = 1200;
constexpr int SchedulesPerCase = 60;
constexpr int SchedulesPerSafeguard = 20'000;

FaultProfile generateProfile()
{
    const auto upTo = [](std::uint64_t max) { return *rc::gen::inRange<std::uint64_t>(0, max + 1); };
    return {.messageLoss = upTo(200),
            .duplication = upTo(200),
            .lostAppends = upTo(400),
            .crash = upTo(15),
            .pause = upTo(20),
            .outage = upTo(25),
            .placement = upTo(25),
            .cancel = upTo(30),
            .expiry = upTo(6),
            .maxClockSkewSeconds = upTo(110)};
}

// Guards against executing a request twice: a caller whose answer was lost repeats the request at another gate, while
// gates crash, pause or lose the log or each other and the inventory changes. Also guards against executing a request
// after it was reported as not run, when the caller may have used another way. Runs random schedules of these faults. A
// key must be executed at most once, no attempt may run after it was reported as not run, and all answers to a key must
// be the same.
RC_GTEST_PROP(KeySimulation, RunsAtMostOnceAndNeverAfterNotRun, ())
{
    const auto profile = generateProfile();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t schedule = 0; schedule < SchedulesPerCase; ++schedule) {
        KeySimulation simulation(seed + schedule, profile, {});
        simulation.run(StepsPerSchedule);
        if (!simulation.violation().empty()) {
            RC_FAIL(simulation.trace());
        }
    }
}

// A gate that refuses everything would be safe. Once faults have stopped and all promises have ended, a new key must be
// run and answered, whatever state the schedule left the shard in.
RC_GTEST_PROP(KeySimulation, RunsNewKeysOnceFaultsEnd, ())
{
    const auto profile = generateProfile();
    KeySimulation simulation(*rc::gen::arbitrary<std::uint64_t>(), profile, {});
    simulation.run(StepsPerSchedule);
    if (!simulation.recoversAfterFaults()) {
        RC_FAIL(simulation.trace());
    }
}

struct SafeguardRow
{
    const char *name;
    bool KeySafeguards::*safeguard;
    FaultProfile profile = {};
};

/** Frequent appends that are logged late, unknown to the writer, by gates that have lost the shard by then. */
const FaultProfile LateAppends{.messageLoss = 20,
                               .duplication = 190,
                               .lostAppends = 690,
                               .crash = 4,
                               .pause = 6,
                               .outage = 16,
                               .placement = 22,
                               .cancel = 9};

const SafeguardRow SafeguardRows[] = {
    {"claimsCompareOffset", &KeySafeguards::claimsCompareOffset, LateAppends},
    {"onlyHolderAnnounces", &KeySafeguards::onlyHolderAnnounces, LateAppends},
    {"intentsReadBack", &KeySafeguards::intentsReadBack},
    {"witnessesAsked", &KeySafeguards::witnessesAsked},
    {"witnessesFrozen", &KeySafeguards::witnessesFrozen},
    {"floorRaised", &KeySafeguards::floorRaised},
    {"deadRunsUnknown", &KeySafeguards::deadRunsUnknown},
    {"releaseStops", &KeySafeguards::releaseStops},
    {"releaseCarriesRuns", &KeySafeguards::releaseCarriesRuns},
    {"attemptsOnce", &KeySafeguards::attemptsOnce},
};

class SafeguardOff : public testing::TestWithParam<SafeguardRow>
{
};

// Shows that the property above can fail: with any one safeguard off, some schedule must violate it. Two safeguards
// against coincidences too rare for random schedules have scripted ones instead; see keygate_test.cpp.
TEST_P(SafeguardOff, IsDetected)
{
    KeySafeguards safeguards;
    safeguards.*GetParam().safeguard = false;
    for (int schedule = 0; schedule < SchedulesPerSafeguard; ++schedule) {
        KeySimulation simulation(static_cast<std::uint64_t>(schedule), GetParam().profile, safeguards);
        simulation.run(StepsPerSchedule);
        if (!simulation.violation().empty()) {
            RecordProperty("schedules", schedule + 1);
            std::cout << GetParam().name << " detected by schedule " << schedule + 1 << ": " << simulation.violation()
                      << "\n";
            return;
        }
    }
    FAIL() << GetParam().name << " off was not detected";
}

INSTANTIATE_TEST_SUITE_P(Table, SafeguardOff, testing::ValuesIn(SafeguardRows),
                         [](const auto &row) { return std::string(row.param.name); });

// Shows that the schedules reach executions, including executions without the log.
TEST(KeySimulation, SchedulesReachRunsWithoutLog)
{
    std::uint64_t executions = 0;
    std::uint64_t withoutLog = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        KeySimulation simulation(seed, {}, {});
        simulation.run(StepsPerSchedule);
        executions += simulation.executions();
        withoutLog += simulation.executionsWithoutLog();
    }
    std::cout << executions << " executions in 200 schedules, " << withoutLog << " while the log was unavailable\n";
    EXPECT_GT(executions, 200U);
    EXPECT_GT(withoutLog, 20U);
}

} // namespace
