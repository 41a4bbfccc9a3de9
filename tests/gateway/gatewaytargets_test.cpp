#include "heatherridge_transport/direct/gatewaytargets.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start = SteadyTime{} + 1h;
const ServiceName Service("s");
const TargetName Id("t");

TargetEntry makeEntry(std::chrono::milliseconds startedAt)
{
    return {.id = Id,
            .service = Service,
            .zone = ZoneName("z"),
            .startedAt = std::chrono::sys_time<std::chrono::milliseconds>(startedAt)};
}

struct ReturnRow
{
    const char *name;
    TargetStatement statement; ///< at Start
    std::chrono::milliseconds startedAtBefore;
    std::chrono::milliseconds startedAtAfter;
    std::chrono::milliseconds returnsAfter; ///< from the loss of the entry
    bool isUsable; ///< once the entry is back
};

const ReturnRow ReturnRows[] = {
    {"InBackoff", BackoffStatement{3s}, 5s, 5s, 1s, false},
    {"AfterTheBackoff", BackoffStatement{3s}, 5s, 5s, 3s, true},
    {"Limited", RateLimitStatement{0}, 5s, 5s, 1s, false},
    {"LimitedLongAgo", RateLimitStatement{0}, 5s, 5s, GatewayTargets::StatementRetention + 1s, true},
    {"Draining", DrainingStatement{}, 5s, 5s, 60s, false},
    {"DrainingOfUnknownStart", DrainingStatement{}, 0s, 0s, 60s, false},
    {"DrainingOfAnOlderRun", DrainingStatement{}, 5s, 9s, 60s, true},
    {"DrainingWithAnEntryOfAnOlderRun", DrainingStatement{}, 5s, 3s, 60s, false},
};

class ReturningEntries : public testing::TestWithParam<ReturnRow>
{
};

// Guards against statements of a target that are forgotten when the register loses its entry for a while.
TEST_P(ReturningEntries, KeepTheStatementsOfTheirRun)
{
    const auto &row = GetParam();
    SeededRandom random(3);
    GatewayTargets targets(ZoneName("z"), {});
    targets.setLimitShare(1);
    targets.setEntries({makeEntry(row.startedAtBefore)}, Start);
    targets.find(Id)->lastReceivedAt = Start;
    targets.applyStatement(*targets.find(Id), row.statement, Start, random);
    targets.setEntries({}, Start);
    EXPECT_EQ(targets.find(Id), nullptr);
    const auto now = Start + row.returnsAfter;
    targets.tick(now);
    targets.setEntries({makeEntry(row.startedAtAfter)}, Start);
    targets.find(Id)->admission.recordSent(now); // at a limit, the next request has to wait
    EXPECT_EQ(targets.choose({.service = Service}, now, random).target != nullptr, row.isUsable);
}

INSTANTIATE_TEST_SUITE_P(All, ReturningEntries, testing::ValuesIn(ReturnRows),
                         [](const auto &row) { return row.param.name; });

struct RefusalRow
{
    const char *name;
    std::vector<std::optional<TargetStatement>> statements; ///< of one target each, at Start
    std::set<TargetName> tried;
    std::optional<std::chrono::milliseconds> heldFor; ///< a second later
};

const RefusalRow RefusalRows[] = {
    {"AllInBackoff", {BackoffStatement{5s}, BackoffStatement{3s}}, {}, 2s},
    {"OneInBackoffAndOneRefused", {BackoffStatement{5s}, std::nullopt}, {TargetName("1")}, std::nullopt},
    {"OneInBackoffAndOneDraining", {BackoffStatement{5s}, DrainingStatement{}}, {}, 4s},
    {"AllDraining", {DrainingStatement{}, DrainingStatement{}}, {}, std::nullopt},
    {"NoTargets", {}, {}, std::nullopt},
};

class RefusedRequests : public testing::TestWithParam<RefusalRow>
{
};

// Guards against callers that are told to come back after the back-off of one target although another serves earlier.
TEST_P(RefusedRequests, AreToldWhenTheFirstTargetAcceptsAgain)
{
    const auto &row = GetParam();
    SeededRandom random(3);
    GatewayTargets targets(ZoneName("z"), {});
    std::vector<TargetEntry> entries;
    for (std::size_t index = 0; index < row.statements.size(); ++index) {
        entries.push_back({.id = TargetName(std::to_string(index)), .service = Service, .zone = ZoneName("z")});
    }
    targets.setEntries(entries, Start);
    for (std::size_t index = 0; index < row.statements.size(); ++index) {
        if (const auto &statement = row.statements[index]) {
            targets.applyStatement(*targets.find(entries[index].id), *statement, Start, random);
        }
    }
    const auto choice = targets.choose({.service = Service, .tried = row.tried}, Start + 1s, random);
    EXPECT_EQ(choice.target, nullptr);
    EXPECT_EQ(choice.heldFor, row.heldFor);
}

INSTANTIATE_TEST_SUITE_P(All, RefusedRequests, testing::ValuesIn(RefusalRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
