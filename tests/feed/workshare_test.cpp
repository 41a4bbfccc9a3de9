#include "heatherridge_coordination/feed/workshare.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

class ManualShareLog final : public ShareLog
{
public:
    void join(const std::string &, std::chrono::milliseconds, std::uint64_t generation,
              std::function<void(Result<ShareAssignment>)> done) override
    {
        ++joins;
        lastGeneration = generation;
        answer = std::move(done);
    }

    void leave(const std::string &) override
    {
        ++leaves;
    }

    int joins = 0;
    int leaves = 0;
    std::uint64_t lastGeneration = 0;
    std::function<void(Result<ShareAssignment>)> answer{};
};

class WorkShareTest : public testing::Test
{
protected:
    ManualShareLog m_log;
    WorkShare m_share{m_log, {.member = "m", .partitionCount = 2, .callInterval = 450ms, .lease = 1'500ms}};
};

TEST_F(WorkShareTest, OwnsTheWorkOfItsPartitions)
{
    EXPECT_FALSE(m_share.isMine("a"));
    m_share.tick(Start);
    m_log.answer(ShareAssignment{.generation = 4, .partitions = {0, 1}});
    for (const auto *work : {"a", "b", "c", "d"}) {
        EXPECT_TRUE(m_share.isMine(work));
    }
    m_share.tick(Start + 450ms);
    EXPECT_EQ(m_log.lastGeneration, 4U);
    m_log.answer(ShareAssignment{.generation = 5, .partitions = {}});
    EXPECT_FALSE(m_share.isMine("a"));
}

// Guards against groups that stay unbalanced for a whole log outage because their keeper stops, while no other member
// can take over.
TEST_F(WorkShareTest, KeepsTheShareUnconfirmedDuringALogOutage)
{
    m_share.tick(Start);
    m_log.answer(ShareAssignment{.generation = 1, .partitions = {0, 1}});
    m_share.tick(Start + 500ms);
    m_log.answer(Error{.kind = ErrorKind::PlatformUnavailable});
    EXPECT_TRUE(m_share.isMine("a"));
    EXPECT_TRUE(m_share.isConfirmed(Start + 1'400ms));
    EXPECT_FALSE(m_share.isConfirmed(Start + 1'600ms));
}

struct FractionRow
{
    const char *description;
    std::set<int> partitions;
    double fraction;
    double nonZeroFraction;
};

const FractionRow FractionRows[] = {
    {"one of two members", {1}, 0.5, 0.5},
    {"the only member", {0, 1}, 1, 1},
    // With fourteen gateways and twelve partitions, the two without a partition would take a quarter of the engines'
    // capacity if each still assumed that it is one of four.
    {"one of more members than there are partitions", {}, 0, 1.0 / 3},
};

class WorkShareFraction : public testing::TestWithParam<FractionRow>
{
};

TEST_P(WorkShareFraction, IsTheShareOfPartitionsAndNeverZeroForEqualWork)
{
    ManualShareLog log;
    WorkShare share(log, {.member = "m", .partitionCount = 2});
    EXPECT_FALSE(share.fraction());
    EXPECT_FALSE(share.nonZeroFraction());
    share.tick(Start);
    log.answer(ShareAssignment{.generation = 1, .partitions = GetParam().partitions});
    EXPECT_DOUBLE_EQ(*share.fraction(), GetParam().fraction) << GetParam().description;
    EXPECT_DOUBLE_EQ(*share.nonZeroFraction(), GetParam().nonZeroFraction) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, WorkShareFraction, testing::ValuesIn(FractionRows));

struct MemberCountRow
{
    const char *description;
    int partitions; ///< of all members
    int members;
};

const MemberCountRow MemberCountRows[] = {
    {"one member", 228, 1},
    {"six members", 228, 6},
    {"eighteen members, uneven division", 228, 18},
    {"ninety-nine members", 228, 99},
    {"as many members as partitions", 12, 12},
    {"more members than partitions", 12, 13},
};

class WorkShareMembers : public testing::TestWithParam<MemberCountRow>
{
};

// Guards against members that count others which do not exist, because an uneven division gave them fewer partitions.
TEST_P(WorkShareMembers, AreNeverOverestimated)
{
    const auto &row = GetParam();
    const int fewest = row.partitions / row.members;
    const int most = (row.partitions + row.members - 1) / row.members;
    for (const int own : {fewest, most}) {
        ManualShareLog log;
        WorkShare share(log, {.member = "m", .partitionCount = row.partitions});
        EXPECT_EQ(share.memberCount(), 1) << row.description;
        share.tick(Start);
        ShareAssignment assignment{.generation = 1};
        for (int partition = 0; partition < own; ++partition) {
            assignment.partitions.insert(partition);
        }
        log.answer(assignment);
        EXPECT_LE(share.memberCount(), row.members) << row.description;
        const int nextDivision = (row.partitions + share.memberCount() - 1) / share.memberCount();
        EXPECT_GE(nextDivision, own) << row.description;
        EXPECT_LE(row.partitions / share.memberCount(), own) << row.description;
    }
}

INSTANTIATE_TEST_SUITE_P(All, WorkShareMembers, testing::ValuesIn(MemberCountRows));

TEST_F(WorkShareTest, ReleasesAllWorkOnLeave)
{
    m_share.tick(Start);
    m_log.answer(ShareAssignment{.generation = 1, .partitions = {0, 1}});
    m_share.leave();
    m_share.tick(Start + 10s);
    EXPECT_FALSE(m_share.isMine("a"));
    EXPECT_EQ(m_log.joins, 1);
    EXPECT_EQ(m_log.leaves, 1);
}

// Guards against a keeper that stays confirmed although the restored log no longer knows its assignment, and against
// sending a generation from the lost period, which the restored log would take for one that it has yet to assign.
TEST_F(WorkShareTest, RequiresANewConfirmationAfterALogRestore)
{
    m_share.tick(Start);
    m_log.answer(ShareAssignment{.generation = 7, .partitions = {0, 1}});
    m_share.tick(Start + 450ms);
    const auto staleAnswer = m_log.answer;
    m_share.logRestored();
    staleAnswer(ShareAssignment{.generation = 8, .partitions = {0, 1}});
    EXPECT_FALSE(m_share.isConfirmed(Start + 460ms));
    EXPECT_TRUE(m_share.isMine("a")) << "work done by nobody is worse than work done twice";
    m_share.tick(Start + 470ms);
    EXPECT_EQ(m_log.joins, 3);
    EXPECT_EQ(m_log.lastGeneration, 0U);
    m_log.answer(ShareAssignment{.generation = 5, .partitions = {}});
    EXPECT_FALSE(m_share.isMine("a"));
    EXPECT_TRUE(m_share.isConfirmed(Start + 480ms));
}

} // namespace
