#include "heatherridge_coordination/groups/groupassignment.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const ZoneName OwnZone("own");
const ZoneName OtherZone("other");

/** Assigns the only partition of all members, or of the members of a zone, at once. */
class FixedShareLog final : public ShareLog
{
public:
    explicit FixedShareLog(ShareAssignment assignment)
        : m_assignment(std::move(assignment))
    {
    }

    void join(const std::string &, std::chrono::milliseconds, std::uint64_t,
              std::function<void(Result<ShareAssignment>)> done) override
    {
        done(m_assignment);
    }

    void leave(const std::string &) override
    {
    }

private:
    ShareAssignment m_assignment;
};

struct AssignmentRow
{
    const char *name;
    std::size_t serviceRanks;
    ZoneName homeZone;
    bool isUnattended;
    bool ownsWorkOfAll;
    bool ownsWorkOfZone;
    bool isAssigned;
};

constexpr auto Small = MaxRanksPerRebalancer;
constexpr auto Large = MaxRanksPerRebalancer + 1;

const AssignmentRow AssignmentRows[] = {
    {"SmallServiceByTheShareOfAll", Small, OtherZone, false, true, false, true},
    {"SmallServiceOfAnotherMember", Small, OwnZone, true, false, true, false},
    {"LargeServiceAtHome", Large, OwnZone, false, false, true, true},
    {"LargeServiceAtHomeOfAnotherMember", Large, OwnZone, true, true, false, false},
    {"LargeServiceElsewhere", Large, OtherZone, false, true, true, false},
    {"UnattendedElsewhere", Large, OtherZone, true, true, false, true},
    {"UnattendedElsewhereOfAnotherMember", Large, OtherZone, true, false, true, false},
};

class AssignmentsOfGroups : public testing::TestWithParam<AssignmentRow>
{
};

// Guards against a service whose groups all go to one process whatever their number, and against groups of nobody.
TEST_P(AssignmentsOfGroups, FollowSizeZoneAndShare)
{
    const auto &row = GetParam();
    ShareAssignment assignment{.generation = 1};
    if (row.ownsWorkOfAll) {
        assignment.partitions = {0};
    }
    if (row.ownsWorkOfZone) {
        assignment.zonePartitions = {0};
    }
    FixedShareLog log(assignment);
    WorkShare share(log, {.member = "m"});
    share.tick(SteadyTime{1h});
    EXPECT_EQ(isAssignedTo(share, OwnZone, ServiceName("s"),
                           {.name = GroupName("g"),
                            .homeZone = row.homeZone,
                            .serviceRanks = row.serviceRanks,
                            .isUnattended = row.isUnattended}),
              row.isAssigned);
}

INSTANTIATE_TEST_SUITE_P(All, AssignmentsOfGroups, testing::ValuesIn(AssignmentRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
