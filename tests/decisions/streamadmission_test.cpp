#include "heatherridge_state/decisions/streamadmission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <tuple>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);
const ServiceName Service("narrator");

std::vector<WaitingStream> drawStreams()
{
    std::vector<WaitingStream> streams;
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 20);
    for (std::uint64_t number = 1; number <= count; ++number) {
        const auto onTimeFor = std::chrono::milliseconds(*rc::gen::inRange(-200, 200));
        streams.push_back({.number = number,
                           .service = ServiceName(*rc::gen::element("a", "b")),
                           .hasStarted = *rc::gen::inRange(0, 5) == 0,
                           .onTimeUntil = Start + onTimeFor});
    }
    return streams;
}

std::vector<std::uint64_t> numbersOf(const std::vector<WaitingStream> &streams)
{
    std::vector<std::uint64_t> numbers;
    std::transform(streams.begin(), streams.end(), std::back_inserter(numbers),
                   [](const auto &stream) { return stream.number; });
    return numbers;
}

// Guards against another order of the waiting streams of services whose streams have one priority: interrupted ones,
// then those that can be on time by urgency, then late ones by arrival.
RC_GTEST_PROP(StreamsOfOneRank, AreOrderedAsBeforeRanks, ())
{
    auto streams = drawStreams();
    StreamQueue queue;
    for (const auto &stream : streams) {
        queue.enqueue(stream, Start);
    }
    const auto key = [](const WaitingStream &stream) {
        const bool isTimely = !stream.hasStarted && stream.onTimeUntil >= Start;
        return std::tuple(!stream.hasStarted, !isTimely, isTimely ? stream.onTimeUntil : SteadyTime{}, stream.number);
    };
    std::sort(streams.begin(), streams.end(), [&](const auto &a, const auto &b) { return key(a) < key(b); });
    RC_ASSERT(numbersOf(queue.inAdmissionOrder(Start)) == numbersOf(streams));
}

// Guards against other attempts for such streams: once one has found no engine, no other of its service tries.
RC_GTEST_PROP(StreamsOfOneRank, LookForEnginesAsBeforeRanks, ())
{
    const auto streams = drawStreams();
    std::set<std::uint64_t> accepted;
    for (const auto &stream : streams) {
        if (*rc::gen::inRange(0, 4) > 0) {
            accepted.insert(stream.number);
        }
    }
    std::vector<std::uint64_t> expected;
    std::set<ServiceName> fullServices;
    for (const auto &stream : streams) {
        if (fullServices.contains(stream.service)) {
            continue;
        }
        expected.push_back(stream.number);
        if (!stream.hasStarted && !accepted.contains(stream.number)) {
            fullServices.insert(stream.service);
        }
    }
    std::vector<std::uint64_t> attempted;
    admitInOrder(
        streams, [](const WaitingStream &) { return QueueClass::InOrder; },
        [&](const WaitingStream &stream) {
            attempted.push_back(stream.number);
            return accepted.contains(stream.number);
        });
    RC_ASSERT(attempted == expected);
}

struct TurnRow
{
    const char *description;
    std::vector<WaitingStream> streams; ///< in the order of the queue
    std::vector<std::uint64_t> first; ///< numbers of the streams that are first
    std::vector<std::uint64_t> assured;
    std::vector<std::uint64_t> accepted; ///< numbers of the streams that find capacity if they have a turn
    std::vector<std::uint64_t> attempted; ///< in this order
};

const TurnRow TurnRows[] = {
    {"one rank: nothing behind a stream without capacity",
     {{.number = 1, .service = Service}, {.number = 2, .service = Service}, {.number = 3, .service = Service}},
     {},
     {},
     {1},
     {1, 2}},
    {"other services", {{.number = 1, .service = Service}, {.number = 2}, {.number = 3}}, {}, {}, {}, {1, 2}},
    {"interrupted streams do not stand for others",
     {{.number = 1, .service = Service, .hasStarted = true}, {.number = 2, .service = Service}},
     {},
     {},
     {},
     {1, 2}},
    {"a lower rank without capacity: higher ones may",
     {{.number = 1, .service = Service, .rank = 1},
      {.number = 2, .service = Service, .rank = 2},
      {.number = 3, .service = Service, .rank = 0}},
     {},
     {},
     {},
     {1, 3}},
    {"the assured part after the highest rank, before the rest",
     {{.number = 1, .service = Service, .rank = 0},
      {.number = 2, .service = Service, .rank = 1},
      {.number = 3, .service = Service, .rank = 2}},
     {1},
     {3},
     {1, 2, 3},
     {1, 3, 2}},
    {"the assured part although higher ranks have no capacity",
     {{.number = 1, .service = Service, .rank = 0},
      {.number = 2, .service = Service, .rank = 1},
      {.number = 3, .service = Service, .rank = 2}},
     {1},
     {3},
     {3},
     {1, 3}},
};

class Turns : public testing::TestWithParam<TurnRow>
{
};

// Guards against a lower rank that takes the capacity which a higher one has not found, and against starvation.
TEST_P(Turns, FollowRanksAndTheAssuredPart)
{
    const auto &row = GetParam();
    const auto contains = [](const auto &numbers, std::uint64_t number) {
        return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
    };
    std::vector<std::uint64_t> attempted;
    const auto classify = [&](const WaitingStream &stream) {
        return contains(row.first, stream.number)  ? QueueClass::First
            : contains(row.assured, stream.number) ? QueueClass::Assured
                                                   : QueueClass::InOrder;
    };
    admitInOrder(row.streams, classify, [&](const WaitingStream &stream) {
        attempted.push_back(stream.number);
        return contains(row.accepted, stream.number);
    });
    EXPECT_EQ(attempted, row.attempted) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, Turns, testing::ValuesIn(TurnRows));

} // namespace
