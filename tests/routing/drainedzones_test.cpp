#include "heatherridge_state/routing/drainedzones.h"

#include <gtest/gtest.h>

#include <variant>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start = SteadyTime{} + 1h;
const ZoneName A("a");
const ZoneName B("b");
using Zones = std::set<ZoneName>;

struct Restored
{
};

struct Tick
{
};

/** An order, a new content of the register, a restore of it, or the passing of time. */
using Step = std::variant<ZoneDrain, Zones, Restored, Tick>;

struct OrderRow
{
    const char *name;
    std::vector<std::pair<std::chrono::milliseconds, Step>> steps; ///< each with its time after Start
    Zones drained;
};

constexpr auto Grace = DrainedZones::RestoreGrace;

const OrderRow OrderRows[] = {
    {"Nothing", {}, {}},
    {"AnOrder", {{0s, ZoneDrain{A}}}, {A}},
    {"AnOrderTwice", {{0s, ZoneDrain{A}}, {1s, ZoneDrain{A}}}, {A}},
    {"AnOrderWithdrawn", {{0s, ZoneDrain{A}}, {1s, ZoneDrain{A, false}}}, {}},
    {"SeveralZones", {{0s, ZoneDrain{A}}, {0s, ZoneDrain{B}}}, {A, B}},
    {"AMalformedOrderHolds", {{0s, ZoneDrain{A, true, true}}}, {A}},
    {"ASnapshotReplacesAll", {{0s, ZoneDrain{A}}, {1s, Zones{B}}}, {B}},
    {"AnOlderCopyWithoutTheOrder", {{0s, ZoneDrain{A}}, {1s, Restored{}}, {2s, Zones{}}, {4s, Tick{}}}, {A}},
    {"MissingForGood", {{0s, ZoneDrain{A}}, {1s, Restored{}}, {2s, Zones{}}, {1s + Grace, Tick{}}}, {}},
    {"WrittenAgain",
     {{0s, ZoneDrain{A}}, {1s, Restored{}}, {2s, Zones{}}, {3s, ZoneDrain{A}}, {1s + Grace, Tick{}}},
     {A}},
    {"WithdrawnAgain", {{0s, ZoneDrain{A}}, {1s, Restored{}}, {2s, Zones{A}}, {3s, ZoneDrain{A, false}}}, {}},
};

class ZoneDrains : public testing::TestWithParam<OrderRow>
{
};

// Guards against a drained zone that gets requests again, or a restored one that stays empty.
TEST_P(ZoneDrains, FollowTheOperatorsOrders)
{
    DrainedZones zones;
    for (const auto &[after, step] : GetParam().steps) {
        const auto now = Start + after;
        if (const auto *order = std::get_if<ZoneDrain>(&step)) {
            zones.apply(*order);
        } else if (const auto *content = std::get_if<Zones>(&step)) {
            zones.replaceAll(*content, now);
        } else if (std::holds_alternative<Restored>(step)) {
            zones.noteRegisterRestored(now);
        } else {
            zones.tick(now);
        }
    }
    EXPECT_EQ(zones.zones(), GetParam().drained);
}

INSTANTIATE_TEST_SUITE_P(All, ZoneDrains, testing::ValuesIn(OrderRows), [](const auto &row) { return row.param.name; });

} // namespace
