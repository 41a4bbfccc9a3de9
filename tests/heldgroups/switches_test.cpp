#include "heatherridge_coordination/groups/mapswitch.h"
#include "support/silentranks.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Epoch = 3;

/** Ranks that do at once what they are told, and keep account of it. */
class WillingRanks final : public RankControl
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

MapSwitchPlan planOf()
{
    return {.ranks = {{.id = TargetName("a")}, {.id = TargetName("b")}},
            .epoch = Epoch,
            .mapNumber = MapNumber{9},
            .copyTime = 200ms};
}

struct SwitchRow
{
    const char *story;
    std::chrono::milliseconds pause; ///< of the process, while ranks copy
    std::chrono::milliseconds mayHoldAfter; ///< from the start on
    MapSwitch::State state;
};

const SwitchRow SwitchRows[] = {
    {"nothing in the way", 0ms, 0ms, MapSwitch::State::Switched},
    {"another group is held for a while", 0ms, 700ms, MapSwitch::State::Switched},
    // A frozen process wakes and goes on with a switch of four seconds ago: its pass is held, but the ranks have
    // prepared other maps since, so none can be armed and the group stands still for two seconds.
    {"the process was frozen while ranks copied", 4s, 0ms, MapSwitch::State::Abandoned},
    {"another group is held for too long", 0ms, 5s, MapSwitch::State::Abandoned},
};

class Switches : public testing::TestWithParam<SwitchRow>
{
};

TEST_P(Switches, HoldTheirGroupOnlyWhileTheirPlanIsFresh)
{
    const auto &row = GetParam();
    WillingRanks ranks;
    MapSwitch mapSwitch(ranks, planOf());
    const SteadyTime start(1h);
    for (auto passed = 0ms; passed < 8s && mapSwitch.state() == MapSwitch::State::Running; passed += 20ms) {
        const bool isFrozen = passed > 100ms && passed < 100ms + row.pause;
        if (!isFrozen) {
            mapSwitch.tick(start + passed, passed >= row.mayHoldAfter);
        }
        EXPECT_TRUE(passed >= row.mayHoldAfter || ranks.count<HoldStep>() == 0) << row.story;
    }
    EXPECT_EQ(mapSwitch.state(), row.state) << row.story;
    EXPECT_EQ(ranks.count<HoldStep>(), row.state == MapSwitch::State::Switched ? 1 : 0) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, Switches, testing::ValuesIn(SwitchRows));

/** Ranks that answer when the test says so. */
class PatientRanks final : public SilentRanks
{
public:
    void sendOrder(const TargetEntry &, const RankOrder &, std::uint64_t, std::function<void(OrderReply)> done) override
    {
        ++orders;
        m_open.push_back(std::move(done));
    }

    void answer(OrderReply reply)
    {
        const auto done = m_open.front();
        m_open.pop_front();
        done(reply);
    }

    std::size_t open() const
    {
        return m_open.size();
    }

    int orders = 0;

private:
    std::deque<std::function<void(OrderReply)>> m_open;
};

// A map is in use 1.7 s after it was wanted, and passes are three times as long until then: the orders to prepare it on
// 192 ranks fill the keeper's link, answers come too late, and every order is given again.
TEST(OrderRounds, GiveLargeOrdersSomeAtATime)
{
    constexpr int ranks = 96;
    constexpr std::size_t maxPending = 32;
    PatientRanks control;
    OrderBatch round(control, Epoch, std::vector<OrderBatchItem>(ranks), maxPending);
    SteadyTime now(1h);
    round.tick(now);
    EXPECT_EQ(control.open(), maxPending);
    control.answer(OrderReply::NoAnswer);
    EXPECT_EQ(control.open(), maxPending) << "the next goes out at once";
    while (control.open() > 0) {
        EXPECT_LE(control.open(), maxPending);
        control.answer(OrderReply::Accepted);
    }
    EXPECT_EQ(control.orders, ranks) << "the one without an answer waits for the next tick";
    EXPECT_FALSE(round.isDone());
    round.tick(now + 20ms);
    control.answer(OrderReply::Accepted);
    EXPECT_TRUE(round.isDone());
    EXPECT_EQ(control.orders, ranks + 1);
}

TEST(OrderRounds, SendNothingOnceTheyAreGone)
{
    PatientRanks control;
    auto round = std::make_unique<OrderBatch>(control, Epoch, std::vector<OrderBatchItem>(3), 1);
    round->tick(SteadyTime(1h));
    round.reset();
    control.answer(OrderReply::Accepted);
    EXPECT_EQ(control.orders, 1);
}

} // namespace
