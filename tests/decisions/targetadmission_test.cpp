#include "heatherridge_state/decisions/targetadmission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start = SteadyTime{} + 1h;

struct HoldRow
{
    const char *name;
    std::vector<TargetStatement> statements; ///< one a second from Start on
    milliseconds queriedAfter; ///< after Start
    milliseconds timeUntilAllowed;
    bool isLeaving;
};

const HoldRow HoldRows[] = {
    {"NothingStated", {}, 0s, 0s, false},
    {"ARest", {RestStatement{3s}}, 1s, 2s, false},
    {"ARestThatIsOver", {RestStatement{3s}}, 3s, 0s, false},
    {"ALongerRestAfterAShortOne", {RestStatement{2s}, RestStatement{4s}}, 1s, 4s, false},
    {"AShortRestAfterALongOne", {RestStatement{4s}, RestStatement{1s}}, 1s, 3s, false},
    {"ARestBeyondTheMaximum", {RestStatement{24h}}, 0s, TargetAdmission::MaxRest, false},
    {"ALimitWithinARest", {RestStatement{3s}, RateLimitStatement{1000}}, 1s, 2s, false},
    {"ARestWithinALimit", {RateLimitStatement{0}, RestStatement{1s}}, 1s, TargetRateLimit::ProbePeriod - 1s, false},
    {"NoLimitEndsNoRest", {RestStatement{3s}, RateLimitStatement{}}, 1s, 2s, false},
    {"Leaving", {LeavingStatement{}}, 10s, 0s, true},
    {"LeavingIsNotTakenBack", {LeavingStatement{}, RateLimitStatement{}}, 1s, 0s, true},
    {"LeavingLongAgo", {LeavingStatement{}}, TargetAdmission::LeavingRetention, 0s, false},
};

class StatementsInForce : public testing::TestWithParam<HoldRow>
{
};

// Guards against a statement that ends another one which still holds.
TEST_P(StatementsInForce, HoldEachOnItsOwn)
{
    const auto &row = GetParam();
    SeededRandom random(5);
    TargetAdmission admission;
    admission.recordSent(Start);
    for (std::size_t index = 0; index < row.statements.size(); ++index) {
        const auto at = Start + std::chrono::seconds(index);
        admission.apply(row.statements[index], 1, at, random);
        admission.recordSent(Start);
    }
    const auto now = Start + row.queriedAfter;
    EXPECT_EQ(admission.timeUntilAllowed(1, now), row.timeUntilAllowed);
    EXPECT_EQ(admission.isLeaving(now), row.isLeaving);
}

INSTANTIATE_TEST_SUITE_P(All, StatementsInForce, testing::ValuesIn(HoldRows),
                         [](const auto &row) { return row.param.name; });

// Guards against a log that is filled with statements that say nothing new.
TEST(TargetStatements, ReportWhetherTheyChangeAnything)
{
    SeededRandom random(5);
    TargetAdmission admission;
    EXPECT_FALSE(admission.apply(RateLimitStatement{}, 1, Start, random));
    EXPECT_TRUE(admission.apply(RateLimitStatement{2}, 1, Start, random));
    EXPECT_FALSE(admission.apply(RateLimitStatement{2}, 1, Start, random));
    EXPECT_TRUE(admission.apply(RestStatement{2s}, 1, Start, random));
    EXPECT_FALSE(admission.apply(RestStatement{1s}, 1, Start + 1s, random));
    EXPECT_TRUE(admission.apply(LeavingStatement{}, 1, Start, random));
    EXPECT_FALSE(admission.apply(LeavingStatement{}, 1, Start + 1s, random));
    EXPECT_FALSE(admission.isIdle(Start + 5s));
}

/** A random load on one target that now and then refuses all requests for a while. */
struct RefusalLoad
{
    double arrivalsPerSecond = 20; ///< of all callers of this entry
    milliseconds roundTrip = 10ms; ///< from sending a request to its answer
    milliseconds minRest = 200ms;
    milliseconds maxRest = 4s;
    bool ignoresRests = false; ///< the entry sends in spite of the target's statements
};

/** A request and, if it was refused, the rest that its answer asked for. */
struct SentRequest
{
    SteadyTime sentAt{};
    SteadyTime answeredAt{};
    std::optional<milliseconds> rest{};
};

std::vector<SentRequest> replay(const RefusalLoad &load, std::uint64_t seed)
{
    constexpr auto step = 5ms;
    constexpr auto duration = 60s;
    constexpr double chanceOfChange = 0.002; // of overload to begin or end, in each step
    SeededRandom random(seed);
    TargetAdmission admission;
    std::vector<SentRequest> sent;
    std::size_t answered = 0;
    bool isOverloaded = false;
    for (auto now = Start; now < Start + duration; now += step) {
        for (; answered < sent.size() && sent[answered].answeredAt <= now; ++answered) {
            if (sent[answered].rest) {
                admission.apply(RestStatement{*sent[answered].rest}, 1, now, random);
            }
        }
        isOverloaded = isOverloaded != (random.fraction() < chanceOfChange);
        const bool isAllowed = load.ignoresRests || admission.timeUntilAllowed(1, now).count() == 0;
        const bool hasArrived =
            random.fraction() < load.arrivalsPerSecond * std::chrono::duration<double>(step).count();
        if (!hasArrived || !isAllowed) {
            continue;
        }
        SentRequest request{.sentAt = now, .answeredAt = now + load.roundTrip};
        if (isOverloaded) {
            const auto spread = static_cast<std::uint64_t>((load.maxRest - load.minRest).count());
            request.rest = load.minRest + milliseconds(random.below(spread + 1));
        }
        admission.recordSent(now);
        sent.push_back(request);
    }
    return sent;
}

/** Returns the largest number of requests that arrive in one rest, later than @p settlingTime after its request. */
std::ptrdiff_t maxArrivalsInRest(const std::vector<SentRequest> &sent, milliseconds settlingTime)
{
    std::ptrdiff_t maxArrivals = 0;
    for (const auto &refused : sent) {
        if (refused.rest) {
            const auto isInRest = [&](const SentRequest &request) {
                return request.sentAt >= refused.answeredAt + settlingTime
                    && request.sentAt < refused.answeredAt + *refused.rest;
            };
            maxArrivals = std::max(maxArrivals, std::count_if(sent.begin(), sent.end(), isInRest));
        }
    }
    return maxArrivals;
}

/** Returns the longest time from the end of all rests asked for so far to the next request. */
milliseconds longestIdleAfterRest(const std::vector<SentRequest> &sent)
{
    milliseconds longest{0};
    SteadyTime restUntil{};
    for (const auto &request : sent) {
        if (restUntil != SteadyTime{} && request.sentAt > restUntil) {
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(request.sentAt - restUntil));
            restUntil = {};
        }
        if (request.rest) {
            restUntil = std::max(restUntil, request.answeredAt + *request.rest);
        }
    }
    return longest;
}

constexpr auto SettlingTime = 500ms;

// Guards against requests to a target at rest, in any order of requests and refusals, and against a target that gets no
// work after its rest.
RC_GTEST_PROP(TargetsAtRest, AreLeftAloneForTheirRestOnly, ())
{
    const RefusalLoad load{.arrivalsPerSecond = static_cast<double>(*rc::gen::inRange(2, 150)),
                           .roundTrip = milliseconds(*rc::gen::inRange(1, 400))};
    const auto sent = replay(load, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(maxArrivalsInRest(sent, SettlingTime) <= 2);
    // Longer than any random gap between two arrivals.
    RC_ASSERT(longestIdleAfterRest(sent) < milliseconds(static_cast<int>(30'000 / load.arrivalsPerSecond)));
}

// Shows that the check above notices an entry that does not apply the statements.
TEST(TargetsAtRest, GetRequestsIfTheStatementsAreIgnored)
{
    const auto sent = replay({.ignoresRests = true}, 7);
    EXPECT_GT(maxArrivalsInRest(sent, SettlingTime), 2);
}

} // namespace
