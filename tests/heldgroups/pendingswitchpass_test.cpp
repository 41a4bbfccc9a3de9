#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heldgroups/groupassignments.h"
#include "support/stubrankcontrol.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int Ranks = 2;
constexpr int Experts = 4;

class FixedClock final : public Clock
{
public:
    SteadyTime steadyNow() const override
    {
        return {};
    }

    WallTime wallNow() const override
    {
        return WallTime(std::chrono::sys_days(std::chrono::year(2026) / 1 / 1));
    }
};

/**
 * A group that accepts all orders and begins a pass when the test calls beginPass(). The most demanded expert changes
 * with the readings of the counts.
 */
class SimulatedGroup final : public RankControl
{
public:
    std::chrono::milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return 10ms;
    }

    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override
    {
        done(RankStatus{.group = GroupName("g"),
                        .epoch = 1,
                        .rank = rankOf(target),
                        .size = Ranks,
                        .isOpen = true,
                        .step = step,
                        .map = m_map,
                        .prepared = m_prepared,
                        .armed = m_armed});
    }

    void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) override
    {
        if (rankOf(target) == 0) {
            m_chosen[static_cast<std::size_t>(m_countsRequests++ / 4 % Experts)] += 10'000;
        }
        for (auto &count : m_chosen) {
            count += 100;
        }
        done(RankCounts{.epoch = 1, .selectionCounts = m_chosen});
    }

    void fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done) override
    {
        done(RankExperts{.map = m_map, .bySet = {m_layout[0][static_cast<std::size_t>(rankOf(target))]}});
    }

    void sendOrder(const TargetEntry &, const RankOrder &order, std::uint64_t,
                   std::function<void(OrderReply)> done) override
    {
        if (const auto *prepare = std::get_if<PrepareMap>(&order)) {
            m_prepared = prepare->map;
            m_preparedLayout = prepare->layout;
        } else if (const auto *arm = std::get_if<ArmMap>(&order)) {
            m_armed = arm->map;
            m_armedStep = arm->step;
        }
        done(OrderReply::Accepted);
    }

    /** Begins the next pass. */
    void beginPass()
    {
        ++step;
        if (m_armed && step >= m_armedStep) {
            m_map = *m_armed;
            m_layout = m_preparedLayout;
            m_armed.reset();
            m_prepared.reset();
        }
    }

    std::uint64_t step = 100;

private:
    static int rankOf(const TargetEntry &target)
    {
        return std::stoi(target.id.text());
    }

    MapNumber m_map{};
    std::optional<MapNumber> m_prepared;
    std::optional<MapNumber> m_armed;
    std::uint64_t m_armedStep = 0;
    ExpertLayout m_layout{{{0, 1}, {2, 3}}};
    ExpertLayout m_preparedLayout;
    std::vector<double> m_chosen = std::vector<double>(Experts, 0);
    int m_countsRequests = 0;
};

// Guards against a switch that is postponed because the pass of the previous one is still ahead: the ranks that wait
// for it were taken for ranks that another process has changed, and passes took two to three times as long for a second
// and a half.
TEST(PendingSwitchPasses, DoNotPostponeTheNextSwitch)
{
    SimulatedGroup group;
    std::vector<std::string> decisions;
    const FixedClock clock;
    ExpertRebalancer rebalancer(
        group, {.minGainWhenCalm = 0.06},
        {.decisionMade = [&decisions](auto what, const auto &, const auto &) { decisions.emplace_back(what); }}, clock,
        [] { return 1; });
    rebalancer.setTargets(
        numberedRanks(Ranks),
        {.layerSets = 1, .experts = Experts, .expertSlots = 3, .spareExpertSlots = 1, .expertCopyTime = 1ms}, 120ms);
    rebalancer.setActive(everyGroup, true);
    const auto count = [&decisions](std::string_view what) {
        return std::count(decisions.begin(), decisions.end(), what);
    };
    SteadyTime now(1h);
    for (int tick = 0; tick < 1'000; ++tick) {
        now += 20ms;
        rebalancer.tick(now);
        // A pass takes longer than the rebalancer estimates.
        if (tick % 40 == 0) {
            group.beginPass();
        }
    }
    EXPECT_GE(count("map-switched"), 4);
    EXPECT_EQ(count("map-switch-put-off"), 0);
}

} // namespace
