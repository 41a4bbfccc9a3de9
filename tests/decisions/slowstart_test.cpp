#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/overloadguard.h"
#include "heatherridge_state/decisions/slowstart.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);

struct Sample
{
    std::chrono::milliseconds at;
    std::chrono::milliseconds delay;
};

struct GuardRow
{
    const char *story;
    std::vector<Sample> samples;
    std::chrono::milliseconds asked;
    bool isOverloaded;
};

std::vector<Sample> each(std::chrono::milliseconds period, std::chrono::milliseconds until,
                         std::chrono::milliseconds delay)
{
    std::vector<Sample> samples;
    for (auto at = 0ms; at <= until; at += period) {
        samples.push_back({at, delay});
    }
    return samples;
}

std::vector<Sample> joined(std::vector<Sample> first, const std::vector<Sample> &then)
{
    first.insert(first.end(), then.begin(), then.end());
    return first;
}

const GuardRow GuardRows[] = {
    {"nothing was sent", {}, 0ms, false},
    {"usual delays", each(50ms, 2s, 200ms), 2s, false},
    {"a burst that drains: some wait, others don't", joined(each(50ms, 300ms, 700ms), {{350ms, 250ms}}), 1s, false},
    {"every stream has waited for half a second", each(50ms, 500ms, 700ms), 500ms, true},
    {"a few streams behind one long prompt", {{0ms, 600ms}, {100ms, 700ms}, {450ms, 600ms}}, 500ms, false},
    {"for a moment only", each(50ms, 300ms, 700ms), 320ms, false},
    // What was let in before it stood comes out late for a while; the first good one does not end it.
    {"the first good one after it", joined(each(50ms, 1s, 900ms), {{1'050ms, 200ms}}), 1'100ms, true},
    {"no late one for a while", joined(each(50ms, 1s, 900ms), {{1'050ms, 200ms}}), 1'700ms, false},
    {"long ago", each(50ms, 1s, 900ms), 10s, false},
};

class StandingQueues : public testing::TestWithParam<GuardRow>
{
};

TEST_P(StandingQueues, AreToldFromBursts)
{
    const auto &row = GetParam();
    OverloadGuard guard;
    bool isOverloaded = false;
    for (const auto &sample : row.samples) {
        guard.record(sample.delay, Start + sample.at);
        isOverloaded = guard.isOverloaded(Start + sample.at);
    }
    isOverloaded = guard.isOverloaded(Start + row.asked);
    EXPECT_EQ(isOverloaded, row.isOverloaded) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, StandingQueues, testing::ValuesIn(GuardRows));

/** What became of the streams of a replayed overload. */
struct Outcome
{
    int onTime = 0;
    int late = 0;
    int refused = 0;
};

/** Eight engines that serve 36 streams a second, for five seconds in which 72 come; @p isGuarded bounds what is let in.
 */
Outcome replay(bool isGuarded)
{
    constexpr int places = 96;
    constexpr int placesOnTime = 48;
    constexpr auto tick = 1ms;
    constexpr auto work = 1'330ms; // at a place on time; what waits behind full places waits so long for one
    OverloadGuard guard;
    SeededRandom random(3);
    std::deque<std::chrono::milliseconds> running; // when each ends
    std::deque<std::chrono::milliseconds> waiting; // when each came
    Outcome outcome;
    const auto begin = [&](std::chrono::milliseconds came, std::chrono::milliseconds now) {
        // Above what they serve on time, engines read prompts between more and more streams.
        const auto crowd = std::max<std::int64_t>(0, static_cast<std::int64_t>(running.size()) - placesOnTime);
        const auto delay = now - came + 160ms + crowd * 16ms;
        guard.record(delay, Start + now);
        (delay <= 400ms ? outcome.onTime : outcome.late) += 1;
        running.push_back(now + work * std::max<std::int64_t>(placesOnTime, placesOnTime + crowd) / placesOnTime);
    };
    for (auto now = 0ms; now < 5s; now += tick) {
        while (!running.empty() && running.front() <= now) {
            running.pop_front();
        }
        while (!waiting.empty() && running.size() < places) {
            begin(waiting.front(), now);
            waiting.pop_front();
        }
        if (random.fraction() >= 0.072) {
            continue;
        }
        const bool isBounded = isGuarded && guard.isOverloaded(Start + now);
        if (isBounded && running.size() + waiting.size() >= placesOnTime) {
            ++outcome.refused;
        } else {
            waiting.push_back(now);
        }
    }
    return outcome;
}

// Half of the engines are gone for seconds. All streams are taken and all are late; their callers could as well have
// been told at once when to come back, and half of them would have been served on time.
TEST(StandingQueues, BoundedLeaveHalfOfTheStreamsOnTime)
{
    const auto unbounded = replay(false);
    const auto bounded = replay(true);
    EXPECT_GT(bounded.onTime, 2 * unbounded.onTime);
    EXPECT_LT(bounded.late, unbounded.late / 2);
    EXPECT_LT(bounded.refused, 5 * 72 * 2 / 3);
}

struct RoomRow
{
    const char *story;
    double places;
    int reportedLoad;
    double share;
    int room;
};

const RoomRow RoomRows[] = {
    {"an idle engine, one of four entries", 12, 0, 0.25, 3},
    {"the same for streams that are late", 6, 0, 0.25, 2},
    {"an engine that is half full", 12, 6, 0.25, 2},
    {"a full one: a place may have come free", 12, 12, 0.25, 1},
    {"an entry of hundreds", 12, 0, 0.0, 1},
    {"the only entry", 12, 2, 1.0, 10},
};

class StartRooms : public testing::TestWithParam<RoomRow>
{
};

TEST_P(StartRooms, AreSharedAmongEntries)
{
    const auto &row = GetParam();
    EXPECT_EQ(startRoom(row.places, row.reportedLoad, row.share), row.room) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, StartRooms, testing::ValuesIn(RoomRows));

} // namespace
