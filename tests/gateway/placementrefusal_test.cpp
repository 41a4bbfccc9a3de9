#include "heatherridge_transport/direct/placementrefusal.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("s");

struct RefusalRow
{
    const char *name;
    NoChoiceReason reason;
    std::optional<std::chrono::milliseconds> heldFor;
    ErrorKind kind;
    std::chrono::milliseconds retryAfter;
};

const RefusalRow RefusalRows[] = {
    {"NoTarget", NoChoiceReason::NoTarget, {}, ErrorKind::NoTarget, 500ms},
    {"AllFull", NoChoiceReason::AllFull, {}, ErrorKind::Overloaded, 500ms},
    {"AllHeldBack", NoChoiceReason::AllHeldBack, 1'234ms, ErrorKind::Overloaded, 1'234ms},
    {"AllHeldBackForUnknownTime", NoChoiceReason::AllHeldBack, {}, ErrorKind::Overloaded, 500ms},
    {"PartHeld", NoChoiceReason::PartHeld, {}, ErrorKind::Overloaded, 1'000ms},
    {"ZonesDrained", NoChoiceReason::ZonesDrained, {}, ErrorKind::ZoneDrained, 2'000ms},
    {"OutsideRegions", NoChoiceReason::OutsideRegions, {}, ErrorKind::OutsideRegions, 2'000ms},
};

class PlacementRefusals : public testing::TestWithParam<RefusalRow>
{
};

// Guards against changed retry delays for services without rank admission.
TEST_P(PlacementRefusals, HaveTheirDelays)
{
    const auto &row = GetParam();
    const auto error = refusalFor(row.reason, Service, row.heldFor);
    EXPECT_EQ(error.kind, row.kind);
    EXPECT_EQ(error.retryAfter, row.retryAfter);
}

INSTANTIATE_TEST_SUITE_P(All, PlacementRefusals, testing::ValuesIn(RefusalRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
