#include "heatherridge_coordination/groups/mapswitch.h"
#include "support/stubrankcontrol.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Epoch = 3;

/** Ranks that accept and record all orders immediately. */
class AcceptingRanks final : public RankControl
{
public:
    std::chrono::milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return 10ms;
    }

    void fetchStatus(const TargetEntry &, std::function<void(Result<RankStatus>)> done) override
    {
        done(RankStatus{.epoch = Epoch, .isOpen = true, .step = 100});
    }

    void fetchCounts(const TargetEntry &, std::function<void(Result<RankCounts>)> done) override
    {
        done(RankCounts{.epoch = Epoch});
    }

    void fetchExperts(const TargetEntry &, std::function<void(Result<RankExperts>)> done) override
    {
        done(RankExperts{});
    }

    void sendOrder(const TargetEntry &, const RankOrder &order, std::uint64_t,
                   std::function<void(OrderReply)> done) override
    {
        m_orders.push_back(order);
        done(OrderReply::Accepted);
    }

    template<typename T>
    std::ptrdiff_t count() const
    {
        return std::count_if(m_orders.begin(), m_orders.end(),
                             [](const auto &order) { return std::holds_alternative<T>(order); });
    }

private:
    std::vector<RankOrder> m_orders;
};

MapSwitchPlan makePlan()
{
    return {.ranks = {{.id = TargetName("a")}, {.id = TargetName("b")}},
            .epoch = Epoch,
            .mapNumber = MapNumber{9},
            .copyTime = 200ms};
}

struct MapSwitchCase
{
    const char *name;
    std::chrono::milliseconds frozenFor; ///< of the process, while ranks copy
    std::chrono::milliseconds mayHoldAfter; ///< from the start of the switch
    MapSwitch::State state;
};

const MapSwitchCase MapSwitchCases[] = {
    {"no disturbance", 0ms, 0ms, MapSwitch::State::Switched},
    {"another group is held for a while", 0ms, 700ms, MapSwitch::State::Switched},
    // Guards against a frozen process that resumes a switch of four seconds ago: its pass is held, but the ranks have
    // prepared other maps in the meantime, so none can be armed and the group stands still for two seconds.
    {"the process was frozen while ranks copied", 4s, 0ms, MapSwitch::State::Abandoned},
    {"another group is held for too long", 0ms, 5s, MapSwitch::State::Abandoned},
};

class MapSwitches : public testing::TestWithParam<MapSwitchCase>
{
};

TEST_P(MapSwitches, HoldTheirGroupOnlyBeforeTheirPlanExpires)
{
    const auto &testCase = GetParam();
    AcceptingRanks ranks;
    MapSwitch mapSwitch(ranks, makePlan());
    const SteadyTime start(1h);
    for (auto elapsed = 0ms; elapsed < 8s && mapSwitch.state() == MapSwitch::State::Running; elapsed += 20ms) {
        const bool isFrozen = elapsed > 100ms && elapsed < 100ms + testCase.frozenFor;
        if (!isFrozen) {
            mapSwitch.tick(start + elapsed, elapsed >= testCase.mayHoldAfter);
        }
        EXPECT_TRUE(elapsed >= testCase.mayHoldAfter || ranks.count<HoldStep>() == 0) << testCase.name;
    }
    EXPECT_EQ(mapSwitch.state(), testCase.state) << testCase.name;
    EXPECT_EQ(ranks.count<HoldStep>(), testCase.state == MapSwitch::State::Switched ? 1 : 0) << testCase.name;
}

INSTANTIATE_TEST_SUITE_P(All, MapSwitches, testing::ValuesIn(MapSwitchCases));

/** Ranks that reply to orders only when the test calls replyToFirst(). */
class ManualReplyRanks final : public StubRankControl
{
public:
    void sendOrder(const TargetEntry &, const RankOrder &, std::uint64_t, std::function<void(OrderReply)> done) override
    {
        ++sentOrders;
        m_pending.push_back(std::move(done));
    }

    void replyToFirst(OrderReply reply)
    {
        const auto done = m_pending.front();
        m_pending.pop_front();
        done(reply);
    }

    std::size_t pendingCount() const
    {
        return m_pending.size();
    }

    int sentOrders = 0;

private:
    std::deque<std::function<void(OrderReply)>> m_pending;
};

// Guards against prepare orders that time out: those to 192 ranks fill the rebalancer's link, answers come too late,
// and every order is sent again. The map is then in use 1.7 s after the decision, and passes take three times as long
// until then.
TEST(OrderBatches, LimitPendingOrders)
{
    constexpr int ranks = 96;
    constexpr std::size_t maxPending = 32;
    ManualReplyRanks control;
    OrderBatch batch(control, Epoch, std::vector<OrderBatchItem>(ranks), maxPending);
    SteadyTime now(1h);
    batch.tick(now);
    EXPECT_EQ(control.pendingCount(), maxPending);
    control.replyToFirst(OrderReply::NoAnswer);
    EXPECT_EQ(control.pendingCount(), maxPending) << "the next order is sent immediately";
    while (control.pendingCount() > 0) {
        EXPECT_LE(control.pendingCount(), maxPending);
        control.replyToFirst(OrderReply::Accepted);
    }
    EXPECT_EQ(control.sentOrders, ranks) << "the order without an answer is repeated at the next tick";
    EXPECT_FALSE(batch.isDone());
    batch.tick(now + 20ms);
    control.replyToFirst(OrderReply::Accepted);
    EXPECT_TRUE(batch.isDone());
    EXPECT_EQ(control.sentOrders, ranks + 1);
}

TEST(OrderBatches, SendNothingAfterDestruction)
{
    ManualReplyRanks control;
    auto batch = std::make_unique<OrderBatch>(control, Epoch, std::vector<OrderBatchItem>(3), 1);
    batch->tick(SteadyTime(1h));
    batch.reset();
    control.replyToFirst(OrderReply::Accepted);
    EXPECT_EQ(control.sentOrders, 1);
}

} // namespace
