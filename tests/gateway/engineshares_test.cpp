#include "heatherridge_transport/direct/engineshares.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start = SteadyTime{} + 1h;
const ServiceName Service("chat");

ServiceDemand makeDemand(double waiting)
{
    return {.service = Service, .ranks = {{0, {.waiting = waiting}}}};
}

FleetDemand makeFleet(bool isKnown, bool isShared)
{
    return {.isKnown = isKnown, .isShared = isShared, .gateways = 3, .services = {makeDemand(10)}};
}

struct ShareRow
{
    const char *name;
    FleetDemand fleet;
    ServiceName service;
    double share;
};

// This gateway has a demand of 30 and an even share of a quarter.
const ShareRow ShareRows[] = {
    {"KnownDemand", makeFleet(true, true), Service, 0.75 * 0.75 + 0.25 * 0.25},
    {"UnknownDemand", makeFleet(false, true), Service, 0.25},
    {"DemandThatOthersDoNotUse", makeFleet(true, false), Service, 0.25},
    {"ServiceWithoutDemand", makeFleet(true, true), ServiceName("other"), 0.25},
};

class EngineShareOf : public testing::TestWithParam<ShareRow>
{
};

// Guards against shares by demand in deployments whose configuration does not call for them, and against shares that
// keep following demand that is not known any more.
TEST_P(EngineShareOf, FollowsDemandOnlyWhileItIsKnownAndShared)
{
    const auto &row = GetParam();
    Metrics metrics;
    EngineShares shares({.ownDemand =
                             [](const ServiceName &service, SteadyTime) {
                                 return service == Service ? makeDemand(30) : ServiceDemand{.service = service};
                             },
                         .metrics = &metrics});
    shares.setEvenShare(0.25, 3);
    EXPECT_DOUBLE_EQ(shares.share(row.service, Start), 0.25);
    shares.setFleetDemand(row.fleet, Start);
    EXPECT_DOUBLE_EQ(shares.share(row.service, Start), row.share);
    shares.setFleetDemand({}, Start);
    EXPECT_DOUBLE_EQ(shares.share(row.service, Start), 0.25);
}

INSTANTIATE_TEST_SUITE_P(All, EngineShareOf, testing::ValuesIn(ShareRows),
                         [](const auto &row) { return row.param.name; });

// Guards against a gateway that has just joined the division of work, has no part in it yet and holds its streams back
// for a second, since it counts more gateways than the log has partitions.
TEST(EngineShares, CountGatewaysByStatementsUntilTheLogHasAssignedAPart)
{
    EngineShares shares({.ownDemand = [](const ServiceName &, SteadyTime) { return makeDemand(30); }});
    shares.setEvenShare(1.0 / 457, 0);
    EXPECT_DOUBLE_EQ(shares.share(Service, Start), 1.0 / 457) << "demand is not shared";
    shares.setFleetDemand(makeFleet(false, true), Start);
    EXPECT_DOUBLE_EQ(shares.share(Service, Start), 0.25);
    shares.setFleetDemand(makeFleet(true, true), Start);
    EXPECT_DOUBLE_EQ(shares.share(Service, Start), 0.75 * 0.75 + 0.25 * 0.25);
}

// Guards against a share of 0 while the log is lost, which would keep this gateway from sending anything.
TEST(EngineShares, KeepTheLastEvenShareWithoutTheLog)
{
    EngineShares shares(EngineShares::Options{});
    shares.setEvenShare(0.5, 1);
    shares.setEvenShare(0, 0);
    EXPECT_DOUBLE_EQ(shares.share(Service, Start), 0.5);
}

} // namespace
