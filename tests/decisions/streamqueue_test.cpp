#include "heatherridge_state/decisions/streamqueue.h"

#include <gtest/gtest.h>

#include <deque>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);
const ServiceName Service("narrator");

struct OrderRow
{
    const char *story;
    std::vector<WaitingStream> streams;
    std::vector<std::uint64_t> order; ///< numbers, a second after Start
};

const OrderRow OrderRows[] = {
    {"none", {}, {}},
    {"timely ones by urgency, not by arrival",
     {{.number = 1, .onTimeUntil = Start + 1'400ms}, {.number = 2, .onTimeUntil = Start + 1'200ms}},
     {2, 1}},
    {"late ones behind timely ones, the oldest first",
     {{.number = 1, .onTimeUntil = Start + 500ms},
      {.number = 2, .onTimeUntil = Start + 400ms},
      {.number = 3, .onTimeUntil = Start + 1'400ms}},
     {3, 1, 2}},
    {"one that was broken off before all others",
     {{.number = 1, .onTimeUntil = Start + 1'200ms}, {.number = 2, .hasStarted = true, .onTimeUntil = Start}},
     {2, 1}},
};

class Lines : public testing::TestWithParam<OrderRow>
{
};

TEST_P(Lines, LetTimelyStreamsGoFirst)
{
    StreamQueue line;
    for (const auto &stream : GetParam().streams) {
        line.enqueue(stream, Start);
    }
    std::vector<std::uint64_t> order;
    for (const auto &stream : line.inAdmissionOrder(Start + 1s)) {
        order.push_back(stream.number);
    }
    EXPECT_EQ(order, GetParam().order) << GetParam().story;
}

INSTANTIATE_TEST_SUITE_P(All, Lines, testing::ValuesIn(OrderRows));

TEST(Lines, KnowWhetherATimelyStreamOfAServiceWaits)
{
    StreamQueue line;
    line.enqueue({.number = 1, .service = Service, .onTimeUntil = Start}, Start);
    EXPECT_TRUE(line.hasOnTimeStream(Service, Start));
    EXPECT_FALSE(line.hasOnTimeStream(ServiceName("other"), Start));
    EXPECT_FALSE(line.hasOnTimeStream(Service, Start + 1ms));
    line.remove(1);
    EXPECT_TRUE(line.isEmpty());
    EXPECT_FALSE(line.hasOnTimeStream(Service, Start));
}

struct WaitRow
{
    const char *story;
    int waiting;
    std::chrono::milliseconds interval; ///< at which they get room
    std::chrono::milliseconds expected;
};

const WaitRow ExpectedWaits[] = {
    {"nobody waits", 0, 50ms, 0ms},
    {"some wait, and the queue moves", 4, 50ms, 200ms},
    {"many wait", 40, 50ms, 2s},
    {"few wait, and the queue hardly moves", 3, 600ms, 1'800ms},
};

class ExpectedWait : public testing::TestWithParam<WaitRow>
{
};

// For seconds engines carry less than comes, and late streams get no room beside new ones. Each waited for its whole
// patience and was refused then; a caller that is told at once has its second try while there is still time for it.
TEST_P(ExpectedWait, FollowsFromThoseThatHaveLeft)
{
    const auto &row = GetParam();
    constexpr int before = 12;
    StreamQueue line;
    auto now = Start;
    for (int number = 1; number <= before + row.waiting; ++number) {
        line.enqueue({.number = static_cast<std::uint64_t>(number), .service = Service}, now);
    }
    for (std::uint64_t number = 1; number <= before; ++number) {
        now += row.interval;
        line.admit(number, now);
    }
    EXPECT_EQ(line.expectedWait({.service = Service}, now), row.expected) << row.story;
    EXPECT_EQ(line.expectedWait({.service = Service, .onTimeUntil = now + 1s}, now), 0ms) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, ExpectedWait, testing::ValuesIn(ExpectedWaits));

// Engines stand still for a second after a loss of power, while streams go on coming at nine tenths of what engines
// serve. Served in the order of arrival, the streams that waited are late, and so is all that comes behind them for
// ten seconds. Callers see every answer late though engines have long been sound.
TEST(Lines, KeepWhatComesAfterAHaltOnTime)
{
    constexpr auto objective = 300ms;
    constexpr auto halt = 1s;
    constexpr auto served = 10ms; // one each
    constexpr auto comes = 11ms;
    constexpr auto day = 8s;
    StreamQueue line;
    std::uint64_t number = 0;
    int onTime = 0;
    int all = 0;
    for (auto now = 0ms; now < day; now += 1ms) {
        if (now % comes == 0ms) {
            line.enqueue({.number = ++number, .service = Service, .onTimeUntil = Start + now + objective}, Start + now);
            ++all;
        }
        if (now < halt || now % served != 0ms || line.isEmpty()) {
            continue;
        }
        const auto first = line.inAdmissionOrder(Start + now).front();
        onTime += first.onTimeUntil >= Start + now ? 1 : 0;
        line.remove(first.number);
    }
    // Of what came in the halt all but the last 300 ms is late; of what comes after it nearly nothing.
    EXPECT_GT(onTime, all * 8 / 10);
}

} // namespace
