#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/demand/busiestworkspaces.h"
#include "heatherridge_state/demand/demandmeter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>
#include <optional>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};
const ServiceName Service("engines");

DemandMeter::StreamClass streamClass(int priority, const std::string &workspace)
{
    return {.service = Service, .priority = priority, .workspace = WorkspaceName(workspace)};
}

/** What a stream of the random schedules below is expected to be counted as. */
struct ExpectedStream
{
    DemandMeter::Stream handle{};
    int priority = 0;
    WorkspaceName workspace{};
    bool isWaiting = false;
    bool isInProgress = false;
};

RankDemand expectedRank(const std::vector<ExpectedStream> &streams, int priority)
{
    RankDemand expected;
    for (const auto &stream : streams) {
        expected.waiting += stream.priority == priority && stream.isWaiting ? 1 : 0;
        expected.inProgress += stream.priority == priority && stream.isInProgress ? 1 : 0;
    }
    return expected;
}

double expectedInFlight(const std::vector<ExpectedStream> &streams, const WorkspaceName &workspace)
{
    return static_cast<double>(std::count_if(streams.begin(), streams.end(), [&](const auto &stream) {
        return stream.workspace == workspace && (stream.isWaiting || stream.isInProgress);
    }));
}

/** Applies one random change to @p streams. */
void applyStep(DemandMeter &meter, std::vector<ExpectedStream> &streams, std::uint32_t step, SteadyTime now)
{
    const auto choice = step % 8;
    const auto drawn = step / 8;
    if (choice <= 1 || streams.empty()) {
        const int priority = static_cast<int>(drawn % 3);
        const std::string workspace(1, static_cast<char>('a' + drawn % 5));
        streams.push_back({.handle = meter.recordArrival(streamClass(priority, workspace), now),
                           .priority = priority,
                           .workspace = WorkspaceName(workspace)});
        return;
    }
    auto &stream = streams[drawn % streams.size()];
    if (choice == 2 || choice == 3) {
        stream.handle.setWaiting();
    } else if (choice == 4) {
        stream.handle.setInProgress();
    } else if (choice == 5) {
        stream.handle.setIdle();
    } else if (choice == 6) {
        auto moved = std::move(stream.handle);
        stream.handle = std::move(moved);
        return;
    } else {
        std::swap(stream, streams.back());
        streams.pop_back(); // ends the stream in whatever state it is
        return;
    }
    stream.isWaiting = choice == 2 || choice == 3;
    stream.isInProgress = choice == 4;
}

// Guards against counts that leak: a stream that ends, is moved or changes state twice must never remain counted, or
// the gateway would claim capacity for streams that do not exist until it is restarted.
RC_GTEST_PROP(DemandMeter, CountsAreExactAfterEveryStep, (const std::vector<std::uint32_t> &steps))
{
    DemandMeter meter;
    std::vector<ExpectedStream> streams;
    auto now = Start;
    for (const auto step : steps) {
        now += std::chrono::milliseconds(step % 50);
        applyStep(meter, streams, step, now);
        auto demand = meter.demandOf(Service, now);
        for (int priority = 0; priority < 3; ++priority) {
            const auto expected = expectedRank(streams, priority);
            RC_ASSERT(demand.ranks[priority].waiting == expected.waiting);
            RC_ASSERT(demand.ranks[priority].inProgress == expected.inProgress);
        }
        for (const auto &stated : demand.workspaces) {
            RC_ASSERT(stated.inFlight == expectedInFlight(streams, stated.workspace));
        }
    }
    streams.clear();
    RC_ASSERT(meter.demand(now + 20s).empty());
}

// Guards against a handle that refers to a destroyed meter: calls with pending operations outlive the traffic state.
TEST(DemandMeter, HandleMayOutliveTheMeter)
{
    std::optional<DemandMeter> meter(std::in_place);
    auto stream = meter->recordArrival(streamClass(0, "a"), Start);
    stream.setWaiting();
    meter.reset();
    stream.setInProgress();
    stream = {};
}

// Guards against dropping a service with an open stream when another service appears, which would lose its count.
TEST(DemandMeter, KeepsServicesWithOpenStreams)
{
    DemandMeter meter;
    auto stream = meter.recordArrival(streamClass(0, "a"), Start);
    const auto other =
        meter.recordArrival({.service = ServiceName("other"), .workspace = WorkspaceName("a")}, Start + 1h);
    stream.setWaiting();
    EXPECT_EQ(meter.demandOf(Service, Start + 1h).ranks.at(0).waiting, 1);
    EXPECT_EQ(meter.demand(Start + 1h).size(), 2);
}

struct StepRow
{
    const char *description;
    double before; ///< arrivals per second
    double after;
};

const StepRow StepRows[] = {
    {"a burst from nothing", 0, 200},
    {"a peak", 50, 300},
    {"the end of a peak", 300, 50},
};

class DemandStep : public testing::TestWithParam<StepRow>
{
};

/** Records evenly spaced arrivals from @p from to @p until. */
void recordArrivals(DemandMeter &meter, double perSecond, SteadyTime from, SteadyTime until)
{
    if (perSecond == 0) {
        return;
    }
    const auto interval =
        std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / perSecond));
    for (auto at = from; at < until; at += interval) {
        meter.recordArrival(streamClass(1, "a"), at);
    }
}

// Guards against a rate that lags behind the demand by more than its time constant, or that is wrong in the long run:
// shares of the capacity would go to the gateways that were busy before.
TEST_P(DemandStep, IsFollowedWithinTheTimeConstant)
{
    const auto &row = GetParam();
    DemandMeter meter;
    recordArrivals(meter, row.before, Start, Start + 10s);
    recordArrivals(meter, row.after, Start + 10s, Start + 20s);
    EXPECT_NEAR(meter.demandOf(Service, Start + 20s).ranks.at(1).arrivalsPerSecond, row.after, row.after * 0.03);

    DemandMeter afterOneSecond;
    recordArrivals(afterOneSecond, row.before, Start, Start + 10s);
    recordArrivals(afterOneSecond, row.after, Start + 10s, Start + 11s);
    const auto demand = afterOneSecond.demandOf(Service, Start + 11s);
    const double expected = row.after + (row.before - row.after) * std::exp(-1);
    EXPECT_NEAR(demand.ranks.at(1).arrivalsPerSecond, expected, std::abs(row.after - row.before) * 0.03);
    EXPECT_NEAR(demand.workspaces.at(0).arrivalsPerSecond, demand.ranks.at(1).arrivalsPerSecond, 1e-3);
}

INSTANTIATE_TEST_SUITE_P(Rows, DemandStep, testing::ValuesIn(StepRows),
                         [](const auto &info) { return "row" + std::to_string(info.index); });

struct SketchRow
{
    const char *description;
    int workspaces;
    double exponent; ///< of the power law of their sizes; 0 gives equal sizes
};

const SketchRow SketchRows[] = {
    {"fewer workspaces than entries", 24, 1},
    {"450 workspaces of very different size", 450, 1},
    {"5,000 workspaces of very different size", 5'000, 1.2},
    {"5,000 equal workspaces", 5'000, 0},
};

class SketchError : public testing::TestWithParam<SketchRow>
{
};

// Guards against an error above the stated bound, and against missing a workspace that sends more than 1/64: a
// workspace that takes all capacity would not be named, and quiet ones would be named as busy.
TEST_P(SketchError, IsWithinItsBound)
{
    const auto &row = GetParam();
    std::vector<double> cumulative;
    for (int rank = 1; rank <= row.workspaces; ++rank) {
        cumulative.push_back((cumulative.empty() ? 0 : cumulative.back()) + std::pow(rank, -row.exponent));
    }
    SeededRandom random(7);
    BusiestWorkspaces sketch;
    std::vector<double> exact(cumulative.size(), 0);
    const auto interval = 1ms;
    auto now = Start;
    // 45 s, so that the reference time moves more than once.
    for (int arrival = 0; arrival < 45'000; ++arrival, now += interval) {
        const double drawn = static_cast<double>(random.below(1'000'000)) / 1e6 * cumulative.back();
        const auto index = std::upper_bound(cumulative.begin(), cumulative.end(), drawn) - cumulative.begin();
        sketch.recordArrival(WorkspaceName("w" + std::to_string(index)), now);
        if (now > Start + 25s) { // arrivals before this have decayed to 1e-9
            exact[static_cast<std::size_t>(index)] +=
                std::exp(-((Start + 45s) - now) / std::chrono::duration<double>(1s));
        }
    }
    const double total = std::accumulate(exact.begin(), exact.end(), 0.0);
    const double bound = row.workspaces <= 64 ? 1e-3 : total / BusiestWorkspaces::Capacity;
    std::map<WorkspaceName, double> stated;
    for (const auto &rate : sketch.busiest(BusiestWorkspaces::Capacity, now)) {
        stated[rate.workspace] = rate.arrivalsPerSecond;
    }
    EXPECT_LE(stated.size(), BusiestWorkspaces::Capacity);
    for (std::size_t index = 0; index < exact.size(); ++index) {
        const double rate = stated[WorkspaceName("w" + std::to_string(index))];
        EXPECT_LE(rate, exact[index] + 1e-3) << row.description << " w" << index;
        EXPECT_GE(rate, exact[index] - bound - 1e-3) << row.description << " w" << index;
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, SketchError, testing::ValuesIn(SketchRows),
                         [](const auto &info) { return "row" + std::to_string(info.index); });

// Guards against a demand that the receiving sidecar would reject as a whole because it exceeds a limit.
TEST(DemandMeter, StaysWithinTheLimitsOfAStatement)
{
    DemandMeter meter;
    std::vector<DemandMeter::Stream> streams;
    for (int service = 0; service < 70; ++service) {
        for (int stream = 0; stream < 100 + service; ++stream) {
            streams.push_back(meter.recordArrival({.service = ServiceName("s" + std::to_string(service)),
                                                   .priority = stream % 15,
                                                   .workspace = WorkspaceName("w" + std::to_string(stream))},
                                                  Start));
            streams.back().setWaiting();
        }
    }
    const auto demand = meter.demand(Start);
    ASSERT_EQ(demand.size(), MaxDemandServices);
    for (const auto &service : demand) {
        EXPECT_LE(service.ranks.size(), MaxDemandRanks);
        EXPECT_LE(service.workspaces.size(), MaxDemandWorkspaces);
        EXPECT_NE(service.service, ServiceName("s0")) << "the smallest services are left out";
    }
    double waiting = 0;
    for (const auto &[priority, rank] : meter.demandOf(ServiceName("s69"), Start).ranks) {
        waiting += rank.waiting;
    }
    EXPECT_EQ(waiting, 169) << "streams of the ranks beyond the limit are counted in the lowest one";
}

// Guards against naming the callers without a workspace as one workspace, whose name would be invalid.
TEST(DemandMeter, CountsStreamsWithoutWorkspaceByRankOnly)
{
    DemandMeter meter;
    auto stream = meter.recordArrival(streamClass(2, ""), Start);
    stream.setInProgress();
    const auto demand = meter.demandOf(Service, Start);
    EXPECT_TRUE(demand.workspaces.empty());
    EXPECT_EQ(demand.ranks.at(2).inProgress, 1);
    stream = {};
    EXPECT_EQ(meter.demandOf(Service, Start).ranks.at(2).inProgress, 0);
}

} // namespace
