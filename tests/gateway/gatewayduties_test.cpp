#include "heatherridge_transport/direct/gatewayduties.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start = SteadyTime{} + 1h;
const ServiceName Service("chat");
const GroupToAssign Group{.name = GroupName("g"), .homeZone = ZoneName("z"), .serviceRanks = 63};
const FleetDemand Watch{.isKnown = true, .gateways = 1};
const FleetDemand Alike{.isKnown = true, .isShared = true, .gateways = 1, .largestProcessorShare = 0.5};
const FleetDemand Larger{.isKnown = true, .isShared = true, .gateways = 1, .largestProcessorShare = 4};

/** The log's division of work; answers only when told to. */
class ScriptedDivision final : public ShareLog
{
public:
    void join(const std::string &, std::chrono::milliseconds, std::uint64_t,
              std::function<void(Result<ShareAssignment>)> done) override
    {
        ++joins;
        pending.push_back(std::move(done));
    }

    void leave(const std::string &) override
    {
        ++leaves;
    }

    /** Answers all calls: this member has all work, or none. */
    void answer(bool hasWork)
    {
        for (const auto &done : std::exchange(pending, {})) {
            done(hasWork ? ShareAssignment{.generation = 1, .partitions = {0}} : ShareAssignment{.generation = 1});
        }
    }

    int joins = 0;
    int leaves = 0;
    std::vector<std::function<void(Result<ShareAssignment>)>> pending{};
};

class GatewayDutiesTest : public testing::Test
{
protected:
    /** Lets @p time pass with @p demand known; the division among all gives this gateway all work. */
    void run(const FleetDemand &demand, std::chrono::milliseconds time)
    {
        m_duties.setFleetDemand(demand);
        for (const auto end = m_now + time; m_now < end; m_now += 20ms) {
            m_all.tick(m_now);
            m_allLog.answer(true);
            m_duties.tick(m_now);
        }
    }

    bool isAssigned(bool isUnattended = false) const
    {
        auto group = Group;
        group.isUnattended = isUnattended;
        return m_duties.isAssigned(Service, group);
    }

    SteadyTime m_now = Start;
    ScriptedDivision m_allLog;
    ScriptedDivision m_largeLog;
    WorkShare m_all{m_allLog, {.member = "m"}};
    GatewayDuties m_duties{m_all, m_largeLog, {.ownSize = 0.5, .exchangesDemand = true}};
};

// Guards against a second division of work in deployments whose configuration does not call for it.
TEST_F(GatewayDutiesTest, ComeFromOneDivisionWhileDemandIsNotShared)
{
    run(Watch, 10s);
    EXPECT_TRUE(isAssigned());
    EXPECT_TRUE(m_duties.isConfirmed(m_now));
    EXPECT_EQ(m_largeLog.joins, 0);
}

// Guards against groups that nobody rebalances while the log is away and cannot divide the work among large gateways.
TEST_F(GatewayDutiesTest, StayUntilTheDivisionAmongLargeOnesHasAnswered)
{
    run(Watch, 1s);
    run(Alike, 10s);
    EXPECT_EQ(m_largeLog.joins, 1);
    EXPECT_TRUE(isAssigned());
    m_largeLog.answer(false);
    run(Alike, 20ms);
    EXPECT_FALSE(isAssigned());
}

// Guards against large gateways that drop their duties when the log is away or was restored: nobody else has them.
TEST_F(GatewayDutiesTest, StayUnconfirmedWhileTheLogIsAway)
{
    run(Alike, 1s);
    m_largeLog.answer(true);
    run(Alike, 20ms);
    EXPECT_TRUE(isAssigned());
    EXPECT_TRUE(m_duties.isConfirmed(m_now));
    run(Alike, 3s);
    EXPECT_TRUE(isAssigned());
    EXPECT_FALSE(m_duties.isConfirmed(m_now));
    m_duties.logRestored();
    EXPECT_TRUE(isAssigned());
}

// Guards against small gateways that rebalance although large ones do, and against groups that nobody attends to
// because the large gateways have not learned of the change yet.
TEST_F(GatewayDutiesTest, OfSmallGatewaysAreOnlyUnattendedGroups)
{
    run(Larger, 1s);
    EXPECT_EQ(m_largeLog.joins, 0);
    EXPECT_FALSE(isAssigned());
    EXPECT_TRUE(isAssigned(true));
}

// Guards against an answer from before a gateway left the division that gives it duties when it is a member again.
TEST_F(GatewayDutiesTest, AreNewOnesAfterTheGatewayWasSmall)
{
    run(Alike, 1s);
    m_largeLog.answer(true);
    run(Alike, 1s); // calls again
    const auto lateAnswers = std::exchange(m_largeLog.pending, {});
    ASSERT_FALSE(lateAnswers.empty());
    run(Larger, 20ms);
    EXPECT_EQ(m_largeLog.leaves, 1);
    EXPECT_FALSE(isAssigned());
    run(Alike, 1'900ms);
    EXPECT_TRUE(m_largeLog.pending.empty()) << "is a member again too early";
    run(Alike, 200ms);
    ASSERT_FALSE(m_largeLog.pending.empty());
    m_largeLog.answer(false);
    lateAnswers.front()(ShareAssignment{.generation = 1, .partitions = {0}});
    run(Alike, 20ms);
    EXPECT_FALSE(isAssigned());
}

// Guards against a stopping gateway that joins again with its next tick.
TEST_F(GatewayDutiesTest, EndWithTheGateway)
{
    run(Alike, 1s);
    m_largeLog.answer(true);
    m_all.leave();
    m_duties.leave();
    run(Alike, 10s);
    EXPECT_EQ(m_largeLog.leaves, 1);
    EXPECT_EQ(m_largeLog.joins, 1);
    EXPECT_FALSE(isAssigned());
}

} // namespace
