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
    const char *description;
    std::vector<WaitingStream> streams;
    std::vector<std::uint64_t> order; ///< stream numbers, one second after Start
};

const OrderRow OrderRows[] = {
    {"none", {}, {}},
    {"timely streams by urgency, not by arrival",
     {{.number = 1, .onTimeUntil = Start + 1'400ms}, {.number = 2, .onTimeUntil = Start + 1'200ms}},
     {2, 1}},
    {"late streams behind timely ones, the oldest first",
     {{.number = 1, .onTimeUntil = Start + 500ms},
      {.number = 2, .onTimeUntil = Start + 400ms},
      {.number = 3, .onTimeUntil = Start + 1'400ms}},
     {3, 1, 2}},
    {"an interrupted stream before all others",
     {{.number = 1, .onTimeUntil = Start + 1'200ms}, {.number = 2, .hasStarted = true, .onTimeUntil = Start}},
     {2, 1}},
    {"timely streams by rank before urgency",
     {{.number = 1, .onTimeUntil = Start + 1'200ms, .rank = 2},
      {.number = 2, .onTimeUntil = Start + 1'400ms, .rank = 0},
      {.number = 3, .onTimeUntil = Start + 1'300ms, .rank = 0}},
     {3, 2, 1}},
    {"late streams by rank before arrival",
     {{.number = 1, .onTimeUntil = Start, .rank = 1}, {.number = 2, .onTimeUntil = Start + 10ms}},
     {2, 1}},
    {"a timely stream before a late one of a higher rank",
     {{.number = 1, .onTimeUntil = Start, .rank = 0}, {.number = 2, .onTimeUntil = Start + 1'200ms, .rank = 2}},
     {2, 1}},
    {"an interrupted stream before one of a higher rank",
     {{.number = 1, .onTimeUntil = Start + 1'200ms, .rank = 0},
      {.number = 2, .hasStarted = true, .onTimeUntil = Start, .rank = 2}},
     {2, 1}},
    {"a stream of a workspace over its share behind those of its rank, however urgent",
     {{.number = 1, .onTimeUntil = Start + 1'200ms, .rank = 1, .isOverShare = true},
      {.number = 2, .onTimeUntil = Start + 1'400ms, .rank = 1},
      {.number = 3, .onTimeUntil = Start + 1'300ms, .rank = 2}},
     {2, 1, 3}},
    {"late streams of workspaces over their share behind those within theirs",
     {{.number = 1, .onTimeUntil = Start, .isOverShare = true}, {.number = 2, .onTimeUntil = Start + 10ms}},
     {2, 1}},
    {"an interrupted stream first, although its workspace is over its share",
     {{.number = 1, .onTimeUntil = Start + 1'200ms},
      {.number = 2, .hasStarted = true, .onTimeUntil = Start, .isOverShare = true}},
     {2, 1}},
};

class StreamQueues : public testing::TestWithParam<OrderRow>
{
};

TEST_P(StreamQueues, OrderOnTimeStreamsFirst)
{
    StreamQueue queue;
    for (const auto &stream : GetParam().streams) {
        queue.enqueue(stream, Start);
    }
    std::vector<std::uint64_t> order;
    for (const auto &stream : queue.inAdmissionOrder(Start + 1s)) {
        order.push_back(stream.number);
    }
    EXPECT_EQ(order, GetParam().order) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, StreamQueues, testing::ValuesIn(OrderRows));

TEST(StreamQueues, ReportOnTimeStreamsOfAService)
{
    StreamQueue queue;
    queue.enqueue({.number = 1, .service = Service, .onTimeUntil = Start}, Start);
    EXPECT_TRUE(queue.hasOnTimeStream({.service = Service}, Start));
    EXPECT_FALSE(queue.hasOnTimeStream({.service = ServiceName("other")}, Start));
    EXPECT_FALSE(queue.hasOnTimeStream({.service = Service}, Start + 1ms));
    queue.remove(1);
    EXPECT_TRUE(queue.isEmpty());
    EXPECT_FALSE(queue.hasOnTimeStream({.service = Service}, Start));
}

// Guards against a stream of a high rank that waits behind lower ones when it arrives.
TEST(StreamQueues, ReportOnTimeStreamsOfHigherRanks)
{
    StreamQueue queue;
    queue.enqueue({.number = 1, .service = Service, .onTimeUntil = Start, .rank = 1}, Start);
    EXPECT_FALSE(queue.hasOnTimeStream({.service = Service, .rank = 0}, Start));
    EXPECT_TRUE(queue.hasOnTimeStream({.service = Service, .rank = 1}, Start));
    EXPECT_TRUE(queue.hasOnTimeStream({.service = Service, .rank = 2}, Start));
}

// Guards against refusing a stream while one of a lower rank waits, and against refusing one that a caller has begun to
// receive.
TEST(StreamQueues, NameTheLastStreamOfTheLowestRank)
{
    StreamQueue queue;
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 0}), std::nullopt);
    queue.enqueue({.number = 1, .service = Service, .rank = 1}, Start);
    queue.enqueue({.number = 2, .service = Service, .rank = 2}, Start);
    queue.enqueue({.number = 3, .service = Service, .rank = 2}, Start);
    queue.enqueue({.number = 4, .service = Service, .hasStarted = true, .rank = 2}, Start);
    queue.enqueue({.number = 5, .service = ServiceName("other"), .rank = 2}, Start);
    queue.enqueue({.number = 6, .service = Service, .rank = 1}, Start);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 0}), 3U);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 2}), std::nullopt);
    queue.remove(3);
    queue.remove(2);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 0}), 6U);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 1}), std::nullopt);
}

// Guards against refusing a stream within its share while one of the same rank waits that is over its share, and
// against refusing a stream of a higher rank because its workspace is over its share.
TEST(StreamQueues, NameStreamsOverTheirShareFirst)
{
    StreamQueue queue;
    queue.enqueue({.number = 1, .service = Service, .rank = 1, .isOverShare = true}, Start);
    queue.enqueue({.number = 2, .service = Service, .rank = 1}, Start);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 1}), 1U);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 0, .isOverShare = true}), 1U);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 1, .isOverShare = true}), std::nullopt);
    queue.enqueue({.number = 3, .service = Service, .rank = 2}, Start);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 1}), 3U) << "the rank comes before the share";
    queue.enqueue({.number = 4, .service = Service, .rank = 1, .isOverShare = true}, Start);
    queue.remove(3);
    EXPECT_EQ(queue.streamToRefuseInsteadOf({.service = Service, .rank = 1}), 4U) << "the last to arrive";
}

// Guards against refusing streams of quiet workspaces because of a long queue that they do not wait behind.
TEST(StreamQueues, ExpectNoWaitBehindStreamsOverTheirShare)
{
    StreamQueue queue;
    auto now = Start;
    for (std::uint64_t number = 1; number <= 32; ++number) {
        queue.enqueue({.number = number, .service = Service, .isOverShare = number > 16}, now);
    }
    for (std::uint64_t number = 1; number <= 12; ++number) {
        now += 50ms;
        queue.admit(number, now);
    }
    EXPECT_EQ(queue.expectedWait({.service = Service}, now), 200ms);
    EXPECT_EQ(queue.expectedWait({.service = Service, .isOverShare = true}, now), 1s);
}

struct WaitRow
{
    const char *description;
    int waiting;
    std::chrono::milliseconds interval; ///< between admissions
    std::chrono::milliseconds expected;
};

const WaitRow ExpectedWaits[] = {
    {"no stream waits", 0, 50ms, 0ms},
    {"some wait, and the queue moves", 4, 50ms, 200ms},
    {"many wait", 40, 50ms, 2s},
    {"few wait, and the queue hardly moves", 3, 600ms, 1'800ms},
};

class ExpectedWait : public testing::TestWithParam<WaitRow>
{
};

// Guards against late refusals: for seconds engines have less capacity than arrives, and late streams are not admitted
// beside new ones. Each used to wait for its whole patience and was refused only then; a caller that is refused at once
// still has time for its second attempt.
TEST_P(ExpectedWait, FollowsFromPastAdmissions)
{
    const auto &row = GetParam();
    constexpr int admitted = 12;
    StreamQueue queue;
    auto now = Start;
    for (int number = 1; number <= admitted + row.waiting; ++number) {
        queue.enqueue({.number = static_cast<std::uint64_t>(number), .service = Service}, now);
    }
    for (std::uint64_t number = 1; number <= admitted; ++number) {
        now += row.interval;
        queue.admit(number, now);
    }
    EXPECT_EQ(queue.expectedWait({.service = Service}, now), row.expected) << row.description;
    EXPECT_EQ(queue.expectedWait({.service = Service, .onTimeUntil = now + 1s}, now), 0ms) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, ExpectedWait, testing::ValuesIn(ExpectedWaits));

// Guards against a backlog that makes all later streams late: engines are stopped for a second after a power loss,
// while streams keep arriving at nine tenths of the service rate. Served in order of arrival, the streams that waited
// are late, and so are all that arrive behind them for ten seconds, long after the engines have recovered.
TEST(StreamQueues, KeepStreamsAfterAnOutageOnTime)
{
    constexpr auto objective = 300ms;
    constexpr auto outage = 1s;
    constexpr auto serviceInterval = 10ms; // one stream per interval
    constexpr auto arrivalInterval = 11ms;
    constexpr auto testTime = 8s;
    StreamQueue queue;
    std::uint64_t number = 0;
    int onTime = 0;
    int arrivals = 0;
    for (auto now = 0ms; now < testTime; now += 1ms) {
        if (now % arrivalInterval == 0ms) {
            queue.enqueue({.number = ++number, .service = Service, .onTimeUntil = Start + now + objective},
                          Start + now);
            ++arrivals;
        }
        if (now < outage || now % serviceInterval != 0ms || queue.isEmpty()) {
            continue;
        }
        const auto first = queue.inAdmissionOrder(Start + now).front();
        onTime += first.onTimeUntil >= Start + now ? 1 : 0;
        queue.remove(first.number);
    }
    // Of the arrivals during the outage all but those of the last 300 ms are late; of those after it almost none.
    EXPECT_GT(onTime, arrivals * 8 / 10);
}

} // namespace
