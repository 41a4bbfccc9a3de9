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

// While the log is out nobody can take over. A keeper that stopped then would leave groups uneven for the whole outage.
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
    // Two gateways of fourteen before twelve parts take a quarter of the room that engines have: with no part, each
    // goes on to believe that it is one of four.
    {"one of more members than there are parts", {}, 0, 1.0 / 3},
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

// Guards against a keeper that goes on as confirmed by a log that no longer knows its share, and against a generation
// of the lost time, which a log that has come back would take for the answer to one that it has not given out yet.
TEST_F(WorkShareTest, RequiresANewConfirmationAfterALogRestore)
{
    m_share.tick(Start);
    m_log.answer(ShareAssignment{.generation = 7, .partitions = {0, 1}});
    m_share.tick(Start + 450ms);
    const auto staleAnswer = m_log.answer;
    m_share.logRestored();
    staleAnswer(ShareAssignment{.generation = 8, .partitions = {0, 1}});
    EXPECT_FALSE(m_share.isConfirmed(Start + 460ms));
    EXPECT_TRUE(m_share.isMine("a")) << "work that nobody does is worse than work that two do";
    m_share.tick(Start + 470ms);
    EXPECT_EQ(m_log.joins, 3);
    EXPECT_EQ(m_log.lastGeneration, 0U);
    m_log.answer(ShareAssignment{.generation = 5, .partitions = {}});
    EXPECT_FALSE(m_share.isMine("a"));
    EXPECT_TRUE(m_share.isConfirmed(Start + 480ms));
}

} // namespace
