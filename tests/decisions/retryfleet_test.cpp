#include "decisions/retryfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct ScheduleRow
{
    const char *name;
    void (*draw)(RetryFleet &fleet, int gateways);
};

/** Targets fail in all schedules from 20 s on, when the shares of all gateways are settled. */
constexpr auto FailuresFrom = 20s;

const ScheduleRow ScheduleRows[] = {
    {"Undisturbed", [](RetryFleet &, int) {}},
    {"AllKilledAtOnce",
     [](RetryFleet &fleet, int gateways) {
         fleet.at(24s, [&fleet, gateways] {
             for (int gateway = 0; gateway < gateways; ++gateway) {
                 fleet.kill(gateway, 700ms);
             }
         });
     }},
    {"StoppedOneAfterTheOther",
     [](RetryFleet &fleet, int gateways) {
         for (int gateway = 0; gateway < gateways; ++gateway) {
             fleet.at(22s + 6s * gateway / gateways, [&fleet, gateway] { fleet.stop(gateway, 1'000ms); });
         }
     }},
    {"EachKilledTwiceInAWindow",
     [](RetryFleet &fleet, int gateways) {
         for (int gateway = 0; gateway < gateways; ++gateway) {
             fleet.at(23s + 2s * gateway / gateways, [&fleet, gateway] { fleet.kill(gateway, 500ms); });
             fleet.at(27s + 2s * gateway / gateways, [&fleet, gateway] { fleet.kill(gateway, 500ms); });
         }
     }},
    {"ThreeQuartersRejectedByTheLog",
     [](RetryFleet &fleet, int gateways) {
         for (int gateway = gateways / 4; gateway < gateways; ++gateway) {
             fleet.at(10s, [&fleet, gateway] { fleet.setRejected(gateway, true); });
             fleet.at(35s, [&fleet, gateway] { fleet.setRejected(gateway, false); });
         }
     }},
    {"HalfLeaveWhileTargetsFail",
     [](RetryFleet &fleet, int gateways) {
         for (int gateway = 0; gateway < gateways / 2; ++gateway) {
             fleet.at(23s, [&fleet, gateway] { fleet.stop(gateway, 60s); });
         }
     }},
    {"LogAwayFromTheStart",
     [](RetryFleet &fleet, int gateways) {
         fleet.setLogAway(true);
         for (int gateway = 0; gateway < gateways; ++gateway) {
             fleet.at(24s, [&fleet, gateway] { fleet.kill(gateway, 700ms); });
         }
     }},
    {"LogAwayForATime",
     [](RetryFleet &fleet, int gateways) {
         fleet.at(19s, [&fleet] { fleet.setLogAway(true); });
         fleet.at(24s, [&fleet] { fleet.setLogAway(false); });
         for (int gateway = 0; gateway < gateways; gateway += 2) {
             fleet.at(26s, [&fleet, gateway] { fleet.kill(gateway, 700ms); });
         }
     }},
};

struct FleetRow
{
    int gateways;
    double requestsPerSecond;
    double slack;
};

const FleetRow FleetRows[] = {{4, 35, 88}, {18, 35, 400}, {99, 20, 88}, {500, 8, 400}};

class RetriesOfAFleet : public testing::TestWithParam<std::tuple<FleetRow, ScheduleRow>>
{
};

// Guards against retries beyond the limit of the fleet when gateways forget what they spent, or spend a share that
// another gateway has spent in the same window.
TEST_P(RetriesOfAFleet, StayWithinTheLimitInEveryWindow)
{
    const auto &[row, schedule] = GetParam();
    RetryFleet fleet({.gateways = row.gateways, .requestsPerSecond = row.requestsPerSecond, .slack = row.slack});
    schedule.draw(fleet, row.gateways);
    fleet.at(FailuresFrom, [&fleet] { fleet.setFailing(true); });
    fleet.run(45s);
    EXPECT_GT(fleet.retries(), 0);
    EXPECT_LE(fleet.worstExcess(), 0);
}

INSTANTIATE_TEST_SUITE_P(All, RetriesOfAFleet,
                         testing::Combine(testing::ValuesIn(FleetRows), testing::ValuesIn(ScheduleRows)),
                         [](const auto &info) {
                             return std::string(std::get<1>(info.param).name)
                                 + std::to_string(std::get<0>(info.param).gateways);
                         });

// Guards as above, in drawn series of kills, stops, rejections and outages of the log that overlap.
RC_GTEST_PROP(RetriesOfAFleet, StayWithinTheLimitInDrawnSchedules, (std::uint32_t seed))
{
    SeededRandom random(seed);
    const int gateways = 2 + static_cast<int>(random.below(8));
    RetryFleet fleet({.gateways = gateways, .slack = 22.0 * gateways, .seed = seed});
    const auto drawTime = [&random](std::chrono::milliseconds from, std::chrono::milliseconds to) {
        return from + std::chrono::milliseconds(random.below((to - from).count()));
    };
    for (auto events = 4 + random.below(12); events > 0; --events) {
        const auto gateway = static_cast<int>(random.below(gateways));
        const auto time = drawTime(8s, 40s);
        const auto lasting = drawTime(200ms, 9s);
        switch (random.below(5)) {
        case 0:
            fleet.at(time, [&fleet, gateway] { fleet.kill(gateway, 700ms); });
            break;
        case 1:
            fleet.at(time, [&fleet, gateway, lasting] { fleet.stop(gateway, lasting); });
            break;
        case 2:
            for (int each = 0; each < gateways; ++each) {
                fleet.at(time, [&fleet, each] { fleet.kill(each, 700ms); });
            }
            break;
        case 3:
            fleet.at(time, [&fleet, gateway] { fleet.setRejected(gateway, true); });
            fleet.at(time + lasting, [&fleet, gateway] { fleet.setRejected(gateway, false); });
            break;
        default:
            fleet.at(time, [&fleet] { fleet.setLogAway(true); });
            fleet.at(time + lasting, [&fleet] { fleet.setLogAway(false); });
            break;
        }
    }
    const auto from = drawTime(12s, 20s);
    fleet.at(from, [&fleet] { fleet.setFailing(true); });
    fleet.at(from + drawTime(8s, 25s), [&fleet] { fleet.setFailing(false); });
    fleet.run(50s);
    RC_ASSERT(fleet.worstExcess() <= 0);
}

} // namespace
