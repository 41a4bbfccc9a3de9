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
    Standing standing;
    StandingReason reason;
};

constexpr milliseconds Fresh{500};

const SignalRow SignalRows[] = {
    {"listed and heard", {.isListed = true, .silentFor = Fresh}, false, Standing::Serving, StandingReason::Healthy},
    {"live and heard, but not in the inventory",
     {.host = HostMark::Live, .silentFor = Fresh},
     false,
     Standing::NoNewWork,
     StandingReason::NotListed},
    {"withdrawn, though live and heard",
     {.isListed = true, .isWithdrawn = true, .host = HostMark::Live, .silentFor = Fresh},
     false,
     Standing::NoNewWork,
     StandingReason::Withdrawn},
    {"planned stop",
     {.isListed = true, .isStopping = true, .silentFor = Fresh},
     false,
     Standing::NoNewWork,
     StandingReason::PlannedStop},
    {"leaving mark, though heard and in the inventory",
     {.isListed = true, .host = HostMark::Leaving, .ownWord = OwnWord::Takes, .silentFor = Fresh},
     false,
     Standing::NoNewWork,
     StandingReason::HostLeaving},
    {"leaving mark while the observer is at fault",
     {.isListed = true, .host = HostMark::Leaving},
     true,
     Standing::NoNewWork,
     StandingReason::HostLeaving},
    {"live for a second after a leaving mark",
     {.isListed = true, .host = HostMark::Live, .liveAgainFor = seconds(1), .silentFor = Fresh},
     false,
     Standing::NoNewWork,
     StandingReason::HostLeaving},
    {"live for a long time after a leaving mark",
     {.isListed = true, .host = HostMark::Live, .liveAgainFor = seconds(11), .silentFor = Fresh},
     false,
     Standing::Serving,
     StandingReason::Healthy},
    {"absent from the host list, which lags, but heard",
     {.isListed = true, .host = HostMark::Absent, .silentFor = Fresh},
     false,
     Standing::Serving,
     StandingReason::Healthy},
    {"its own process refuses",
     {.isListed = true, .host = HostMark::Live, .ownWord = OwnWord::Refuses, .silentFor = Fresh},
     false,
     Standing::NoNewWork,
     StandingReason::OwnRefusal},
    {"live in the host list, but silent",
     {.isListed = true, .host = HostMark::Live, .silentFor = seconds(4)},
     false,
     Standing::Suspect,
     StandingReason::Silent},
    {"silent, as are half of all targets",
     {.isListed = true, .silentFor = seconds(4)},
     true,
     Standing::Serving,
     StandingReason::ObserverFault},
    {"never heard", {.isListed = true, .watchedFor = seconds(4)}, false, Standing::Suspect, StandingReason::NeverHeard},
    {"heard again for half a second",
     {.isListed = true, .silentFor = Fresh, .heardAgainFor = Fresh, .recentSilences = 1},
     false,
     Standing::Suspect,
     StandingReason::Returning},
    {"heard again for two seconds after the fourth silence",
     {.isListed = true, .silentFor = Fresh, .heardAgainFor = seconds(2), .recentSilences = 4},
     false,
     Standing::Suspect,
     StandingReason::Returning},
};

class StandingFromSignals : public testing::TestWithParam<SignalRow>
{
};

TEST_P(StandingFromSignals, MatchesTheExpectedStanding)
{
    const auto &row = GetParam();
    const TargetStanding expected{row.standing, row.reason};
    const auto actual = standingFrom(row.signals, row.observerFault, {});
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
        membership.follow(std::make_shared<Inventory>(std::get<Inventory>(inventory)), std::make_shared<RuleSet>(),
                          now);
        advance(seconds(5), 6);
    }

    /** Advances time by @p duration, during which the first @p heardTargets targets are heard. */
    void advance(milliseconds duration, int heardTargets)
    {
        for (const auto end = now + duration; now < end; now += milliseconds(500)) {
            for (int i = 0; i < heardTargets; ++i) {
                membership.noteHeard(target(i), true, now);
            }
        }
    }

    static TargetName target(int index)
    {
        return TargetName("t" + std::to_string(index));
    }

    TargetStanding standing(int index) const
    {
        return membership.standingOf(target(index), now);
    }

    SteadyTime now{seconds(100)};
    Membership membership;
};

TEST(Membership, SilentTargetIsSuspectUntilHeardForLongEnough)
{
    Observer observer;
    observer.advance(seconds(5), 5);
    EXPECT_EQ(observer.standing(5).standing, Standing::Suspect);
    observer.advance(milliseconds(500), 6);
    EXPECT_EQ(observer.standing(5).reason, StandingReason::Returning);
    observer.advance(seconds(2), 6);
    EXPECT_EQ(observer.standing(5).standing, Standing::Serving);
}

// Guards against removing half of all targets when they become silent within one second because a zone's switch or the
// observer's own link failed: the other half would receive twice its load and fail as well.
TEST(Membership, SimultaneousSilenceOfHalfTheTargetsIsAnObserverFault)
{
    Observer observer;
    observer.advance(seconds(5), 3);
    EXPECT_TRUE(observer.membership.isObserverAtFault(observer.now));
    for (int i = 3; i < 6; ++i) {
        EXPECT_EQ(observer.standing(i), (TargetStanding{Standing::Serving, StandingReason::ObserverFault}));
    }
    observer.membership.noteRefusal(observer.target(4), observer.now);
    EXPECT_EQ(observer.standing(4).standing, Standing::NoNewWork);
}

// Guards against sending work to a host that is being replaced. Its name appears in the host list twice, as leaving and
// as live; later lists show it as live, omit it, and show it as leaving again.
TEST(Membership, HostListedTwiceOrFlappingCountsAsLeaving)
{
    Observer observer;
    auto &membership = observer.membership;
    for (const auto first : {HostMark::Leaving, HostMark::Live}) {
        const auto second = first == HostMark::Live ? HostMark::Leaving : HostMark::Live;
        membership.noteHostList({{HostName("h0"), first}, {HostName("h0"), second}}, observer.now);
        EXPECT_EQ(observer.standing(0).reason, StandingReason::HostLeaving);
    }
    membership.noteHostList({{HostName("h0"), HostMark::Live}}, observer.now);
    EXPECT_EQ(observer.standing(0).reason, StandingReason::HostLeaving);
    membership.noteHostList({}, observer.now);
    EXPECT_EQ(observer.standing(0).reason, StandingReason::HostLeaving);
    observer.advance(seconds(11), 6);
    EXPECT_EQ(observer.standing(0).reason, StandingReason::Healthy);
    EXPECT_EQ(observer.standing(1).reason, StandingReason::Healthy);
}

// An operator withdraws a target and reverts that while a stream runs for minutes; then the process receives a stop
// signal.
TEST(Drain, ReportsOpenRequestsOldestFirstAndKeepsItsCause)
{
    const SteadyTime begin{seconds(100)};
    DrainTracker drain;
    drain.begin(RequestId("late"), begin + seconds(5));
    drain.begin(RequestId("early"), begin);
    EXPECT_TRUE(drain.takesNew());
    drain.setCause(DrainCause::Withdrawal, true, begin + seconds(10));
    drain.setCause(DrainCause::Withdrawal, true, begin + seconds(20));
    EXPECT_EQ(drain.phase(), DrainPhase::Draining);
    EXPECT_EQ(drain.drainingSince(), begin + seconds(10));
    ASSERT_EQ(drain.open(1).size(), 1U);
    EXPECT_EQ(drain.open(1).front().id, RequestId("early"));
    drain.setCause(DrainCause::Withdrawal, false, begin + seconds(30));
    EXPECT_TRUE(drain.takesNew());
    drain.setCause(DrainCause::Signal, true, begin + seconds(40));
    drain.setCause(DrainCause::Signal, false, begin + seconds(50));
    EXPECT_EQ(drain.cause(), DrainCause::Signal);
    drain.end(RequestId("early"));
    EXPECT_EQ(drain.phase(), DrainPhase::Draining);
    drain.end(RequestId("late"));
    EXPECT_EQ(drain.phase(), DrainPhase::Drained);
}

} // namespace
