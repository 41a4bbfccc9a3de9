#include "feed/rulesfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds ConfigTime{2'000}; ///< the default of RulesExchange::Options

struct CatchUpRow
{
    const char *name;
    RulesFleet::Options fleet;
    void (*disturb)(RulesFleet &fleet);
};

/** Calls @p act for each gateway but the first. */
template<typename Act>
void forAllButTheFirst(RulesFleet &fleet, Act act)
{
    for (int gateway = 1; gateway < fleet.gatewayCount(); ++gateway) {
        act(gateway);
    }
}

void rejectAllButTheFirst(RulesFleet &fleet)
{
    forAllButTheFirst(fleet, [&fleet](int gateway) { fleet.setRejected(gateway, true); });
}

const CatchUpRow CatchUpRows[] = {
    {"OneOfFourRejected", {.gateways = 4}, [](RulesFleet &fleet) { fleet.setRejected(2, true); }},
    {"OneReaderOfFour", {.gateways = 4}, rejectAllButTheFirst},
    {"OneReaderOfNinetyNine", {.gateways = 99}, rejectAllButTheFirst},
    {"OneReaderOfFiveHundred", {.gateways = 500, .zones = 7, .sidecarsPerZone = 40}, rejectAllButTheFirst},
    {"ReadsOfAllButOneUnanswered",
     {.gateways = 99},
     [](RulesFleet &fleet) {
         forAllButTheFirst(fleet, [&fleet](int gateway) { fleet.setUnanswered(gateway, true); });
     }},
    {"GatewaysInAZoneWithoutSidecars",
     {.gateways = 6, .zones = 2, .sidecarsPerZone = 1},
     [](RulesFleet &fleet) {
         rejectAllButTheFirst(fleet);
         fleet.setSidecarUp(1, false);
     }},
    {"SidecarsStartAgainAfterTheChange",
     {.gateways = 4},
     [](RulesFleet &fleet) {
         rejectAllButTheFirst(fleet);
         fleet.at(10'010ms, [&fleet] {
             for (int sidecar = 0; sidecar < fleet.sidecarCount(); ++sidecar) {
                 fleet.setSidecarUp(sidecar, true);
             }
         });
     }},
    {"AThirdOfTheSidecarsDown",
     {.gateways = 18},
     [](RulesFleet &fleet) {
         rejectAllButTheFirst(fleet);
         for (int sidecar = 0; sidecar < fleet.sidecarCount(); sidecar += 3) {
             fleet.setSidecarUp(sidecar, false);
         }
     }},
};

class RulesOfAFleet : public testing::TestWithParam<CatchUpRow>
{
};

// Guards against a gateway that stays behind its peers for as long as the log rejects it or leaves its reads
// unanswered.
TEST_P(RulesOfAFleet, AreInForceInTimeWithOneReaderOfTheLog)
{
    RulesFleet fleet(GetParam().fleet);
    fleet.publish(4);
    fleet.run(3s);
    GetParam().disturb(fleet);
    fleet.run(7s);
    fleet.publish(9);
    fleet.run(ConfigTime);
    for (int gateway = 0; gateway < fleet.gatewayCount(); ++gateway) {
        EXPECT_EQ(fleet.version(gateway), 9U) << "gateway " << gateway;
    }
    EXPECT_TRUE(fleet.hasOnlyRisen());
}

// Guards against a gateway that sends requests to a zone which the operator has drained, and leaves one empty whose
// order has been withdrawn, for as long as the log rejects it.
TEST_P(RulesOfAFleet, AreFollowedByDrainedZonesInTime)
{
    RulesFleet fleet(GetParam().fleet);
    fleet.publish(4);
    fleet.run(3s);
    GetParam().disturb(fleet);
    fleet.run(7s);
    for (const auto &zones : {std::set<ZoneName>{ZoneName("z1")}, std::set<ZoneName>{}}) {
        fleet.drain(zones);
        fleet.run(ConfigTime);
        for (int gateway = 0; gateway < fleet.gatewayCount(); ++gateway) {
            EXPECT_TRUE(fleet.isUnanswered(gateway) || fleet.drainedZones(gateway) == zones) << "gateway " << gateway;
        }
    }
}

// Guards against drained zones of before a restore of the log that a rejected gateway keeps, or gets from an exchange
// point, after the others have read newer ones.
TEST(DrainedZonesOfAFleet, AreTakenFromRestoredRegisters)
{
    RulesFleet fleet({.gateways = 4});
    for (std::uint64_t version = 1; version < 9; ++version) {
        fleet.publish(version);
    }
    fleet.drain({ZoneName("z1")});
    fleet.run(3s);
    fleet.restoreLog();
    fleet.drain({ZoneName("z2")});
    fleet.run(3s);
    fleet.restart(2);
    fleet.setRejected(2, true);
    fleet.run(2 * NewestDrains::Lifetime + ConfigTime);
    EXPECT_EQ(fleet.drainedZones(2), std::set<ZoneName>{ZoneName("z2")});
}

INSTANTIATE_TEST_SUITE_P(All, RulesOfAFleet, testing::ValuesIn(CatchUpRows),
                         [](const auto &info) { return info.param.name; });

// Guards against an older version that comes back from a peer or an exchange point, and against one that stays behind
// once the disturbances are over.
RC_GTEST_PROP(RulesOfAFleet, OnlyRiseAndSettleInDrawnSchedules, (std::uint32_t seed))
{
    SeededRandom random(seed);
    RulesFleet fleet({.gateways = 2 + static_cast<int>(random.below(6)),
                      .zones = 1 + static_cast<int>(random.below(4)),
                      .sidecarsPerZone = 1 + static_cast<int>(random.below(3)),
                      .seed = seed});
    const auto drawTime = [&random] { return std::chrono::milliseconds(random.below(10'000)); };
    std::uint64_t published = 1;
    fleet.publish(published);
    for (auto events = 10 + random.below(20); events > 0; --events) {
        const auto time = drawTime();
        const auto end = time + std::chrono::milliseconds(random.below(4'000));
        const auto gateway = static_cast<int>(random.below(fleet.gatewayCount()));
        const auto sidecar = static_cast<int>(random.below(fleet.sidecarCount()));
        switch (random.below(6)) {
        case 5:
            fleet.at(time, [&fleet, zone = random.below(4)] { fleet.drain({ZoneName("z" + std::to_string(zone))}); });
            break;
        case 0:
            fleet.at(time, [&fleet, &published] { fleet.publish(published += 3); });
            break;
        case 1:
            fleet.at(time, [&fleet, gateway] { fleet.setRejected(gateway, true); });
            fleet.at(end, [&fleet, gateway] { fleet.setRejected(gateway, false); });
            break;
        case 2:
            fleet.at(time, [&fleet, gateway] { fleet.setUnanswered(gateway, true); });
            fleet.at(end, [&fleet, gateway] { fleet.setUnanswered(gateway, false); });
            break;
        case 3:
            fleet.at(time, [&fleet, gateway] { fleet.restart(gateway); });
            break;
        default:
            fleet.at(time, [&fleet, sidecar] { fleet.setSidecarUp(sidecar, false); });
            fleet.at(end, [&fleet, sidecar] { fleet.setSidecarUp(sidecar, true); });
            break;
        }
    }
    fleet.run(14s + ConfigTime);
    RC_ASSERT(fleet.hasOnlyRisen());
    for (int gateway = 0; gateway < fleet.gatewayCount(); ++gateway) {
        RC_ASSERT(fleet.version(gateway) == published);
        RC_ASSERT(fleet.drainedZones(gateway) == fleet.drainedZones(0));
    }
}

} // namespace
