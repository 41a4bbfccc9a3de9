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
    bool isDraining;
};

const HoldRow HoldRows[] = {
    {"NothingStated", {}, 0s, 0s, false},
    {"ABackoff", {BackoffStatement{3s}}, 1s, 2s, false},
    {"ABackoffThatIsOver", {BackoffStatement{3s}}, 3s, 0s, false},
    {"ALongerBackoffAfterAShortOne", {BackoffStatement{2s}, BackoffStatement{4s}}, 1s, 4s, false},
    {"AShortBackoffAfterALongOne", {BackoffStatement{4s}, BackoffStatement{1s}}, 1s, 3s, false},
    {"ABackoffBeyondTheMaximum", {BackoffStatement{24h}}, 0s, TargetAdmission::MaxBackoff, false},
    {"ALimitWithinABackoff", {BackoffStatement{3s}, RateLimitStatement{1000}}, 1s, 2s, false},
    {"ABackoffWithinALimit",
     {RateLimitStatement{0}, BackoffStatement{1s}},
     1s,
     TargetRateLimit::ProbePeriod - 1s,
     false},
    {"NoLimitEndsNoBackoff", {BackoffStatement{3s}, RateLimitStatement{}}, 1s, 2s, false},
    {"Draining", {DrainingStatement{}}, 10s, 0s, true},
    {"DrainingIsNotTakenBack", {DrainingStatement{}, RateLimitStatement{}}, 1s, 0s, true},
    {"DrainingLongAgo", {DrainingStatement{}}, TargetAdmission::DrainingRetention, 0s, false},
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
    EXPECT_EQ(admission.timeUntilAllowed({.rateLimit = 1}, now), row.timeUntilAllowed);
    EXPECT_EQ(admission.isDraining(now), row.isDraining);
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
    EXPECT_TRUE(admission.apply(BackoffStatement{2s}, 1, Start, random));
    EXPECT_FALSE(admission.apply(BackoffStatement{1s}, 1, Start + 1s, random));
    EXPECT_TRUE(admission.apply(DrainingStatement{}, 1, Start, random));
    EXPECT_FALSE(admission.apply(DrainingStatement{}, 1, Start + 1s, random));
    EXPECT_FALSE(admission.isIdle(Start + 5s));
}

/** A random load on one target that now and then refuses all requests for a while. */
struct RefusalLoad
{
    double arrivalsPerSecond = 20; ///< of all callers of this entry
    milliseconds roundTrip = 10ms; ///< from sending a request to its answer
    milliseconds minBackoff = 200ms;
    milliseconds maxBackoff = 4s;
    bool ignoresBackoffs = false; ///< the entry sends in spite of the target's statements
};

/** A request and, if it was refused, the back-off that its answer asked for. */
struct SentRequest
{
    SteadyTime sentAt{};
    SteadyTime answeredAt{};
    std::optional<milliseconds> backoff{};
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
            if (sent[answered].backoff) {
                admission.apply(BackoffStatement{*sent[answered].backoff}, 1, now, random);
            }
        }
        isOverloaded = isOverloaded != (random.fraction() < chanceOfChange);
        const bool isAllowed = load.ignoresBackoffs || admission.timeUntilAllowed({.rateLimit = 1}, now).count() == 0;
        const bool hasArrived =
            random.fraction() < load.arrivalsPerSecond * std::chrono::duration<double>(step).count();
        if (!hasArrived || !isAllowed) {
            continue;
        }
        SentRequest request{.sentAt = now, .answeredAt = now + load.roundTrip};
        if (isOverloaded) {
            const auto spread = static_cast<std::uint64_t>((load.maxBackoff - load.minBackoff).count());
            request.backoff = load.minBackoff + milliseconds(random.below(spread + 1));
        }
        admission.recordSent(now);
        sent.push_back(request);
    }
    return sent;
}

/** Returns the largest number of requests that arrive in one back-off, later than @p settlingTime after its request. */
std::ptrdiff_t maxArrivalsInBackoff(const std::vector<SentRequest> &sent, milliseconds settlingTime)
{
    std::ptrdiff_t maxArrivals = 0;
    for (const auto &refused : sent) {
        if (refused.backoff) {
            const auto isInRest = [&](const SentRequest &request) {
                return request.sentAt >= refused.answeredAt + settlingTime
                    && request.sentAt < refused.answeredAt + *refused.backoff;
            };
            maxArrivals = std::max(maxArrivals, std::count_if(sent.begin(), sent.end(), isInRest));
        }
    }
    return maxArrivals;
}

/** Returns the longest time from the end of all back-offs asked for so far to the next request. */
milliseconds longestIdleAfterBackoff(const std::vector<SentRequest> &sent)
{
    milliseconds longest{0};
    SteadyTime backoffUntil{};
    for (const auto &request : sent) {
        if (backoffUntil != SteadyTime{} && request.sentAt > backoffUntil) {
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(request.sentAt - backoffUntil));
            backoffUntil = {};
        }
        if (request.backoff) {
            backoffUntil = std::max(backoffUntil, request.answeredAt + *request.backoff);
        }
    }
    return longest;
}

constexpr auto SettlingTime = 500ms;

// Guards against requests to a target in back-off, in any order of requests and refusals, and against a target that
// gets no work after its back-off.
RC_GTEST_PROP(TargetsInBackoff, GetNoRequestsUntilItEndsOnly, ())
{
    const RefusalLoad load{.arrivalsPerSecond = static_cast<double>(*rc::gen::inRange(2, 150)),
                           .roundTrip = milliseconds(*rc::gen::inRange(1, 400))};
    const auto sent = replay(load, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(maxArrivalsInBackoff(sent, SettlingTime) <= 2);
    // Longer than any random gap between two arrivals.
    RC_ASSERT(longestIdleAfterBackoff(sent) < milliseconds(static_cast<int>(30'000 / load.arrivalsPerSecond)));
}

// Shows that the check above notices an entry that does not apply the statements.
TEST(TargetsInBackoff, GetRequestsIfTheStatementsAreIgnored)
{
    const auto sent = replay({.ignoresBackoffs = true}, 7);
    EXPECT_GT(maxArrivalsInBackoff(sent, SettlingTime), 2);
}

} // namespace
