#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct SignalRow
{
    const char *description;
    TargetSignals signals;
    bool observerFault;
    Eligibility eligibility;
    EligibilityReason reason;
};

constexpr milliseconds Fresh{500};

const SignalRow SignalRows[] = {
    {"listed and heard",
     {.isListed = true, .silentFor = Fresh},
     false,
     Eligibility::Serving,
     EligibilityReason::Healthy},
    {"live and heard, but not in the inventory",
     {.host = HostState::Live, .silentFor = Fresh},
     false,
     Eligibility::NoNewWork,
     EligibilityReason::NotListed},
    {"withdrawn, though live and heard",
     {.isListed = true, .isWithdrawn = true, .host = HostState::Live, .silentFor = Fresh},
     false,
     Eligibility::NoNewWork,
     EligibilityReason::Withdrawn},
    {"planned stop",
     {.isListed = true, .hasPlannedStop = true, .silentFor = Fresh},
     false,
     Eligibility::NoNewWork,
     EligibilityReason::PlannedStop},
    {"leaving mark, though heard and in the inventory",
     {.isListed = true, .host = HostState::Leaving, .selfReport = SelfReport::Accepting, .silentFor = Fresh},
     false,
     Eligibility::NoNewWork,
     EligibilityReason::HostLeaving},
    {"leaving mark while the observer is at fault",
     {.isListed = true, .host = HostState::Leaving},
     true,
     Eligibility::NoNewWork,
     EligibilityReason::HostLeaving},
    {"live for a second after a leaving mark",
     {.isListed = true, .host = HostState::Live, .liveAgainFor = seconds(1), .silentFor = Fresh},
     false,
     Eligibility::NoNewWork,
     EligibilityReason::HostLeaving},
    {"live for a long time after a leaving mark",
     {.isListed = true, .host = HostState::Live, .liveAgainFor = seconds(11), .silentFor = Fresh},
     false,
     Eligibility::Serving,
     EligibilityReason::Healthy},
    {"absent from the host list, which lags, but heard",
     {.isListed = true, .host = HostState::Absent, .silentFor = Fresh},
     false,
     Eligibility::Serving,
     EligibilityReason::Healthy},
    {"its own process refuses",
     {.isListed = true, .host = HostState::Live, .selfReport = SelfReport::Refusing, .silentFor = Fresh},
     false,
     Eligibility::NoNewWork,
     EligibilityReason::OwnRefusal},
    {"live in the host list, but silent",
     {.isListed = true, .host = HostState::Live, .silentFor = seconds(4)},
     false,
     Eligibility::Suspect,
     EligibilityReason::Silent},
    {"silent, as are half of all targets",
     {.isListed = true, .silentFor = seconds(4)},
     true,
     Eligibility::Serving,
     EligibilityReason::ObserverFault},
    {"never heard",
     {.isListed = true, .observedFor = seconds(4)},
     false,
     Eligibility::Suspect,
     EligibilityReason::NeverHeard},
    {"heard again for half a second",
     {.isListed = true, .silentFor = Fresh, .resumedFor = Fresh, .recentSilences = 1},
     false,
     Eligibility::Suspect,
     EligibilityReason::Returning},
    {"heard again for two seconds after the fourth silence",
     {.isListed = true, .silentFor = Fresh, .resumedFor = seconds(2), .recentSilences = 4},
     false,
     Eligibility::Suspect,
     EligibilityReason::Returning},
};

class StandingFromSignals : public testing::TestWithParam<SignalRow>
{
};

TEST_P(StandingFromSignals, MatchesTheExpectedStanding)
{
    const auto &row = GetParam();
    const TargetEligibility expected{row.eligibility, row.reason};
    const auto actual = determineEligibility(row.signals, row.observerFault, {});
    EXPECT_EQ(actual, expected) << row.description << ": " << toString(actual.reason);
}

INSTANTIATE_TEST_SUITE_P(Table, StandingFromSignals, testing::ValuesIn(SignalRows));

/** Observes six targets, three per zone, each on its own host and all heard at the start. */
struct Observer
{
    Observer()
    {
        std::string text = "[zone.a]\nregion = r\n[zone.b]\nregion = r\n";
        for (int i = 0; i < 6; ++i) {
            const auto number = std::to_string(i);
            text.append("[target.t").append(number).append("]\nhost = h").append(number);
            text.append("\nzone = ").append(i < 3 ? "a" : "b").append("\nservice = s\nkind = plain\n");
            text.append("gate = 127.0.0.1:700").append(number).append("\nbackend = 127.0.0.1:1\n");
        }
        const auto inventory = Inventory::fromDocument(IniDocument::parse(text));
        membership.updateConfiguration(std::make_shared<Inventory>(std::get<Inventory>(inventory)),
                                       std::make_shared<RuleSet>(), now);
        advance(seconds(5), 6);
    }

    /** Advances time by @p duration, during which the first @p heardTargets targets are heard. */
    void advance(milliseconds duration, int heardTargets)
    {
        for (const auto end = now + duration; now < end; now += milliseconds(500)) {
            for (int i = 0; i < heardTargets; ++i) {
                membership.recordHeartbeat(target(i), true, now);
            }
        }
    }

    static TargetName target(int index)
    {
        return TargetName("t" + std::to_string(index));
    }

    TargetEligibility eligibility(int index) const
    {
        return membership.eligibilityOf(target(index), now);
    }

    SteadyTime now{seconds(100)};
    Membership membership;
};

TEST(Membership, SilentTargetIsSuspectUntilHeardForLongEnough)
{
    Observer observer;
    observer.advance(seconds(5), 5);
    EXPECT_EQ(observer.eligibility(5).eligibility, Eligibility::Suspect);
    observer.advance(milliseconds(500), 6);
    EXPECT_EQ(observer.eligibility(5).reason, EligibilityReason::Returning);
    observer.advance(seconds(2), 6);
    EXPECT_EQ(observer.eligibility(5).eligibility, Eligibility::Serving);
}

// Guards against removing half of all targets when they become silent within one second because a zone's switch or the
// observer's own link failed: the other half would receive twice its load and fail as well.
TEST(Membership, SimultaneousSilenceOfHalfTheTargetsIsAnObserverFault)
{
    Observer observer;
    observer.advance(seconds(5), 3);
    EXPECT_TRUE(observer.membership.isObserverAtFault(observer.now));
    for (int i = 3; i < 6; ++i) {
        EXPECT_EQ(observer.eligibility(i), (TargetEligibility{Eligibility::Serving, EligibilityReason::ObserverFault}));
    }
    observer.membership.recordRefusal(observer.target(4), observer.now);
    EXPECT_EQ(observer.eligibility(4).eligibility, Eligibility::NoNewWork);
}

// Guards against sending work to a host that is being replaced. Its name appears in the host list twice, as leaving and
// as live; later lists show it as live, omit it, and show it as leaving again.
TEST(Membership, HostListedTwiceOrFlappingCountsAsLeaving)
{
    Observer observer;
    auto &membership = observer.membership;
    for (const auto first : {HostState::Leaving, HostState::Live}) {
        const auto second = first == HostState::Live ? HostState::Leaving : HostState::Live;
        membership.updateHostList({{HostName("h0"), first}, {HostName("h0"), second}}, observer.now);
        EXPECT_EQ(observer.eligibility(0).reason, EligibilityReason::HostLeaving);
    }
    membership.updateHostList({{HostName("h0"), HostState::Live}}, observer.now);
    EXPECT_EQ(observer.eligibility(0).reason, EligibilityReason::HostLeaving);
    membership.updateHostList({}, observer.now);
    EXPECT_EQ(observer.eligibility(0).reason, EligibilityReason::HostLeaving);
    observer.advance(seconds(11), 6);
    EXPECT_EQ(observer.eligibility(0).reason, EligibilityReason::Healthy);
    EXPECT_EQ(observer.eligibility(1).reason, EligibilityReason::Healthy);
}

// An operator withdraws a target and reverts that while a stream runs for minutes; then the process receives a stop
// signal.
TEST(Drain, ReportsOpenRequestsOldestFirstAndKeepsItsCause)
{
    const SteadyTime begin{seconds(100)};
    DrainTracker drain;
    drain.recordStart(RequestId("late"), begin + seconds(5));
    drain.recordStart(RequestId("early"), begin);
    EXPECT_TRUE(drain.acceptsNewWork());
    drain.setCause(DrainCause::Withdrawal, true, begin + seconds(10));
    drain.setCause(DrainCause::Withdrawal, true, begin + seconds(20));
    EXPECT_EQ(drain.phase(), DrainPhase::Draining);
    EXPECT_EQ(drain.drainingSince(), begin + seconds(10));
    ASSERT_EQ(drain.runningRequests(1).size(), 1U);
    EXPECT_EQ(drain.runningRequests(1).front().id, RequestId("early"));
    drain.setCause(DrainCause::Withdrawal, false, begin + seconds(30));
    EXPECT_TRUE(drain.acceptsNewWork());
    drain.setCause(DrainCause::Signal, true, begin + seconds(40));
    drain.setCause(DrainCause::Signal, false, begin + seconds(50));
    EXPECT_EQ(drain.cause(), DrainCause::Signal);
    drain.recordEnd(RequestId("early"));
    EXPECT_EQ(drain.phase(), DrainPhase::Draining);
    drain.recordEnd(RequestId("late"));
    EXPECT_EQ(drain.phase(), DrainPhase::Drained);
}

} // namespace
