#include "heatherridge_state/decisions/rankadmission.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);
constexpr auto Pass = 100ms;

constexpr int Warnings = 0;
constexpr int Briefs = 1;
constexpr int Summaries = 2;

RankAdmission::Capacity capacity(double room, double share = 1)
{
    return {.room = room, .pass = Pass, .share = share};
}

struct ReservationRow
{
    const char *description;
    ServiceDemand own;
    std::optional<ServiceDemand> others;
    double room;
    double share;
    std::vector<bool> mayAdmit; ///< by priority
};

const ReservationRow ReservationRows[] = {
    {"no demand", {}, ServiceDemand{}, 1, 1, {true, true, true}},
    {"higher ranks wait at this gateway",
     {.ranks = {{Warnings, {.waiting = 2}}, {Briefs, {.waiting = 3}}}},
     ServiceDemand{},
     5,
     1,
     {true, true, false}},
    {"higher ranks wait at another gateway",
     {},
     ServiceDemand{.ranks = {{Warnings, {.waiting = 2}}, {Briefs, {.waiting = 3}}}},
     5,
     1,
     {true, true, false}},
    {"higher ranks arrive within a pass",
     {},
     ServiceDemand{.ranks = {{Warnings, {.arrivalsPerSecond = 30}}, {Briefs, {.arrivalsPerSecond = 20}}}},
     5,
     1,
     {true, true, false}},
    {"room for all",
     {.ranks = {{Warnings, {.waiting = 2}}, {Briefs, {.waiting = 3}}}},
     ServiceDemand{},
     6,
     1,
     {true, true, true}},
    {"lower ranks reserve nothing",
     {.ranks = {{Summaries, {.arrivalsPerSecond = 100, .waiting = 50}}}},
     ServiceDemand{.ranks = {{Summaries, {.arrivalsPerSecond = 100, .waiting = 50}}}},
     1,
     1,
     {true, true, true}},
    {"unknown demand: this gateway's over its share",
     {.ranks = {{Warnings, {.waiting = 1}}}},
     std::nullopt,
     4,
     0.25,
     {true, false, false}},
    {"one gateway has all demand", {.ranks = {{Warnings, {.waiting = 1}}}}, std::nullopt, 2, 1, {true, true, true}},
};

class TrunkReservation : public testing::TestWithParam<ReservationRow>
{
};

// Guards against lower ranks that take the capacity which higher ones need now or within a pass, at any gateway.
TEST_P(TrunkReservation, LeavesCapacityToHigherRanks)
{
    const auto &row = GetParam();
    RankAdmission admission;
    const RankAdmission::Demand demand{.own = row.own, .others = row.others ? &*row.others : nullptr};
    std::vector<bool> mayAdmit;
    for (const int priority : {Warnings, Briefs, Summaries}) {
        mayAdmit.push_back(admission.mayAdmit(priority, capacity(row.room, row.share), demand, Start));
    }
    EXPECT_EQ(mayAdmit, row.mayAdmit) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, TrunkReservation, testing::ValuesIn(ReservationRows));

/** Demand of this gateway for which ten streams of the highest rank are expected within a pass. */
const ServiceDemand TenWarnings{.ranks = {{Warnings, {.arrivalsPerSecond = 100}}}};

struct HysteresisRow
{
    const char *description;
    std::vector<std::pair<std::chrono::milliseconds, double>> rooms; ///< with the time since the rank became held
    bool isHeld;
};

const HysteresisRow HysteresisRows[] = {
    {"no capacity", {{50ms, 9}, {400ms, 9}}, true},
    {"capacity for less than two passes", {{50ms, 20}, {249ms, 20}}, true},
    {"capacity for two passes", {{50ms, 20}, {250ms, 20}}, false},
    {"capacity interrupted", {{50ms, 20}, {200ms, 9}, {220ms, 20}, {400ms, 20}}, true},
    {"held again at once", {{50ms, 20}, {250ms, 20}, {251ms, 9}}, true},
    {"no stream asks any more", {{1'100ms, 20}}, false},
};

class RankHysteresis : public testing::TestWithParam<HysteresisRow>
{
};

// Guards against a rank that alternates with every pass between being admitted and being held.
TEST_P(RankHysteresis, AdmitsAfterTwoPassesWithCapacity)
{
    const auto &row = GetParam();
    RankAdmission admission;
    const RankAdmission::Demand demand{.own = TenWarnings};
    EXPECT_FALSE(admission.mayAdmit(Briefs, capacity(9), demand, Start));
    for (const auto &[time, room] : row.rooms) {
        admission.mayAdmit(Briefs, capacity(room), demand, Start + time);
    }
    EXPECT_EQ(admission.isHeld(Briefs), row.isHeld) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, RankHysteresis, testing::ValuesIn(HysteresisRows));

// Guards against changes of level that operators cannot see.
TEST(RankAdmissions, ReportChangesOfLevel)
{
    RankAdmission admission;
    const RankAdmission::Demand demand{.own = TenWarnings};
    admission.mayAdmit(Briefs, capacity(9), demand, Start);
    admission.mayAdmit(Briefs, capacity(9), demand, Start + 10ms);
    EXPECT_EQ(
        admission.takeChanges(),
        (std::vector<RankAdmission::LevelChange>{{.priority = Briefs, .isHeld = true, .room = 9, .reserved = 10}}));
    admission.tick(Start + 1'100ms);
    ASSERT_EQ(admission.takeChanges().size(), 1U);
    EXPECT_FALSE(admission.isHeld(Briefs));
    EXPECT_TRUE(admission.takeChanges().empty());
}

struct ShareRow
{
    const char *description;
    double room; ///< of which ten are reserved for the highest rank
    double share;
    double promptWeight;
    std::chrono::milliseconds time;
    int sent;
};

const ShareRow ShareRows[] = {
    {"its share within a pass", 30, 0.25, 1, 0ms, 5},
    {"as many in the next pass", 30, 0.25, 1, 100ms, 10},
    {"prompts that take more of a pass than requests", 30, 0.25, 2.5, 0ms, 2},
    {"less than one in a pass", 12, 0.1, 1, 400ms, 1},
    {"one in five passes", 12, 0.1, 1, 500ms, 2},
    {"one in a second at least", 12, 0.001, 1, 1s, 2},
};

class RankShares : public testing::TestWithParam<ShareRow>
{
};

// Guards against gateways that together send more than the capacity for a lower rank: rounded up to one stream in each
// pass, the shares of 18 gateways were many times the capacity.
TEST_P(RankShares, AreSentInEachPass)
{
    const auto &row = GetParam();
    RankAdmission admission;
    const ServiceDemand none;
    const RankAdmission::Demand demand{.own = TenWarnings, .others = &none};
    const RankAdmission::Capacity capacity{
        .room = row.room, .pass = Pass, .share = row.share, .promptWeight = row.promptWeight};
    int sent = 0;
    for (auto now = Start; now <= Start + row.time; now += 20ms) {
        while (sent < 100 && admission.mayAdmit(Briefs, capacity, demand, now)) {
            admission.recordAdmitted(Briefs, now);
            ++sent;
        }
    }
    EXPECT_EQ(sent, row.sent) << row.description;
    EXPECT_TRUE(admission.mayAdmit(Warnings, capacity, demand, Start + row.time));
}

INSTANTIATE_TEST_SUITE_P(All, RankShares, testing::ValuesIn(ShareRows));

struct AssuredRow
{
    const char *description;
    double arrivalsPerSecond;
    double room;
    std::chrono::seconds time;
    int minSent;
    int maxSent;
};

const AssuredRow AssuredRows[] = {
    {"a quarter of its arrivals", 8, 9, 10s, 20, 22},
    {"a slow rank", 0.4, 9, 20s, 2, 4},
    {"no room at all", 8, 0.5, 10s, 0, 0},
};

class AssuredPart : public testing::TestWithParam<AssuredRow>
{
};

// Guards against starvation: during a long shortage a held rank still gets a quarter of its arrivals.
TEST_P(AssuredPart, IsAdmittedWhileHeld)
{
    const auto &row = GetParam();
    auto own = TenWarnings;
    own.ranks[Summaries].arrivalsPerSecond = row.arrivalsPerSecond;
    RankAdmission admission;
    int sent = 0;
    // One step beyond the end, since the last stream's share of the arrivals is complete only then.
    for (auto now = Start; now <= Start + row.time + 20ms; now += 20ms) {
        if (admission.mayAdmit(Summaries, capacity(row.room), {.own = own}, now)) {
            admission.recordAdmitted(Summaries, now);
            ++sent;
        }
    }
    EXPECT_GE(sent, row.minSent) << row.description;
    EXPECT_LE(sent, row.maxSent) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, AssuredPart, testing::ValuesIn(AssuredRows));

// Guards against a burst of a held rank that saved up its assured part for a long time.
TEST(RankAdmissions, SaveUpTwoAssuredStreamsAtMost)
{
    auto own = TenWarnings;
    own.ranks[Summaries].arrivalsPerSecond = 40;
    RankAdmission admission;
    admission.mayAdmit(Summaries, capacity(9), {.own = own}, Start);
    int sent = 0;
    for (; sent < 20 && admission.mayAdmit(Summaries, capacity(9), {.own = own}, Start + 900ms); ++sent) {
        admission.recordAdmitted(Summaries, Start + 900ms);
    }
    EXPECT_EQ(sent, 2);
}

struct RankWaitRow
{
    const char *description;
    int priority;
    std::optional<ServiceDemand> others;
    double share;
    std::chrono::milliseconds expected; ///< within a tenth
};

/** Of which two streams of the highest rank and four of the second wait at this gateway. */
const ServiceDemand WaitingStreams{.ranks = {{Warnings, {.arrivalsPerSecond = 20, .waiting = 2}},
                                             {Briefs, {.arrivalsPerSecond = 20, .waiting = 4}},
                                             {Summaries, {.arrivalsPerSecond = 20}}}};

const RankWaitRow RankWaitRows[] = {
    {"behind the highest rank only", Warnings, std::nullopt, 1, 200ms},
    {"behind its own rank and higher ones", Briefs, std::nullopt, 1, 300ms},
    {"the assured part does not wait", Summaries, std::nullopt, 1, 0ms},
    {"streams at other gateways", Briefs, ServiceDemand{.ranks = {{Briefs, {.waiting = 30}}}}, 0.5, 900ms},
    {"unknown demand: all gateways wait alike", Briefs, std::nullopt, 0.5, 300ms},
};

class RankWaits : public testing::TestWithParam<RankWaitRow>
{
};

// Guards against refusals that come only after the whole wait limit, when the caller has no time for another try.
TEST_P(RankWaits, FollowFromTheRateOfAdmissions)
{
    const auto &row = GetParam();
    RankAdmission admission;
    const RankAdmission::Demand demand{.own = WaitingStreams, .others = row.others ? &*row.others : nullptr};
    EXPECT_EQ(admission.expectedWait(row.priority, demand, Start), std::nullopt);
    auto now = Start;
    for (; now < Start + 5s; now += 100ms) {
        admission.mayAdmit(Warnings, capacity(1, row.share), demand, now);
        admission.recordAdmitted(Warnings, now);
        admission.recordAdmitted(Briefs, now);
    }
    const auto wait = admission.expectedWait(row.priority, demand, now);
    ASSERT_TRUE(wait);
    EXPECT_NEAR(static_cast<double>(wait->count()), static_cast<double>(row.expected.count()),
                static_cast<double>(row.expected.count()) / 10)
        << row.description;
    // An outage does not change the estimate: afterwards streams are admitted at the rate from before it.
    EXPECT_EQ(admission.expectedWait(row.priority, demand, now + 3s), wait);
}

INSTANTIATE_TEST_SUITE_P(All, RankWaits, testing::ValuesIn(RankWaitRows));

} // namespace
