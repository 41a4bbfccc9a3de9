#include "heatherridge_coordination/feed/crashfeed.h"
#include "heatherridge_protocol/crashreportcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

CrashReport report(std::uint64_t number)
{
    return {.kind = CrashReport::Kind::TargetDied, .request = {.low = number}, .target = TargetName("t")};
}

/** A report log that answers when the test says so. */
class SlowReports final : public ReportLog
{
public:
    struct Read
    {
        std::uint64_t from = 0;
        std::chrono::milliseconds wait{};
        std::function<void(Result<ReportPage>)> done{};
    };

    void append(const std::vector<std::string> &records, std::function<void(Outcome)> done) override
    {
        appended.push_back(records);
        appends.push_back(std::move(done));
    }

    void read(std::uint64_t from, std::chrono::milliseconds wait, std::function<void(Result<ReportPage>)> done) override
    {
        reads.push_back({.from = from, .wait = wait, .done = std::move(done)});
    }

    std::vector<std::vector<std::string>> appended;
    std::vector<std::function<void(Outcome)>> appends;
    std::vector<Read> reads;
};

class CrashFeeds : public testing::Test
{
protected:
    void tick(std::chrono::milliseconds time)
    {
        m_now += time;
        m_feed.tick(m_now);
    }

    SlowReports m_log;
    std::vector<CrashReport> m_learnt;
    std::vector<std::string> m_failures;
    int m_lost = 0;
    int m_reads = 0;
    CrashFeed m_feed{
        m_log,
        {.idlePollTimeout = 15s, .busyPollTimeout = 2s, .busyPeriod = 60s, .retryDelay = 250ms, .maxPendingReports = 3},
        {.received = [this](auto reports) { m_learnt.insert(m_learnt.end(), reports.begin(), reports.end()); },
         .failed = [this](auto what, const auto &) { m_failures.emplace_back(what); },
         .lost = [this](auto) { ++m_lost; }}};

private:
    SteadyTime m_now{};
};

const Error Out{.kind = ErrorKind::PlatformUnavailable};

// Guards against a gateway that starts and does not hear what was reported before.
TEST_F(CrashFeeds, ReadFromTheFirstRecordAndOnFromWhereTheyAre)
{
    tick(20ms);
    ASSERT_EQ(m_log.reads.size(), 1U);
    EXPECT_EQ(m_log.reads[0].from, 0U);
    m_log.reads[0].done(ReportPage{.records = {encode(report(1)), "not a report", encode(report(2))}, .end = 3});
    EXPECT_EQ(m_learnt, (std::vector{report(1), report(2)}));
    EXPECT_EQ(m_lost, 1);
    tick(20ms);
    ASSERT_EQ(m_log.reads.size(), 2U);
    EXPECT_EQ(m_log.reads[1].from, 3U);
}

// Guards against asking for ever for records that the log has dropped, or had given out before it came back older.
TEST_F(CrashFeeds, GoOnWhereTheLogBeginsWhenItDoesNotHoldTheirPlace)
{
    tick(20ms);
    m_log.reads[0].done(ReportPage{.end = 40});
    tick(20ms);
    EXPECT_EQ(m_log.reads.size(), 1U);
    tick(250ms);
    ASSERT_EQ(m_log.reads.size(), 2U);
    EXPECT_EQ(m_log.reads[1].from, 40U);
}

// Guards against a report that is lost with a call that failed.
TEST_F(CrashFeeds, OfferAReportAgainUntilTheLogHasTakenIt)
{
    tick(20ms);
    m_feed.report(report(1));
    tick(20ms);
    ASSERT_EQ(m_log.appended.size(), 1U);
    m_feed.report(report(2));
    m_log.appends[0](Out);
    tick(20ms);
    EXPECT_EQ(m_log.appended.size(), 1U) << "before the pause is over";
    tick(250ms);
    ASSERT_EQ(m_log.appended.size(), 2U);
    EXPECT_EQ(m_log.appended[1], (std::vector{encode(report(1)), encode(report(2))}));
    m_log.appends[1]({});
    tick(250ms);
    EXPECT_EQ(m_log.appended.size(), 2U);
    EXPECT_EQ(m_failures, std::vector<std::string>{"append"});
}

// Guards against calls by the hundred, which are paid for, while the log refuses one gateway for long.
TEST_F(CrashFeeds, ReadSeldomWhileTheLogIsOutAndAtOnceWhenItIsBack)
{
    for (auto time = 0ms; time < 10s; time += 20ms) {
        tick(20ms);
        if (!m_log.reads.empty()) {
            m_log.reads.back().done(Out);
            m_log.reads.pop_back();
            ++m_reads;
        }
    }
    EXPECT_LE(m_reads, 13);
    m_feed.restartRead();
    tick(20ms);
    EXPECT_EQ(m_log.reads.size(), 1U);
}

// Guards against memory that grows without bound while the log is out.
TEST_F(CrashFeeds, DropTheOldestReportsWhenTooManyWait)
{
    for (std::uint64_t number = 0; number < 5; ++number) {
        m_feed.report(report(number));
    }
    tick(20ms);
    EXPECT_EQ(m_log.appended.at(0), (std::vector{encode(report(2)), encode(report(3)), encode(report(4))}));
    EXPECT_EQ(m_lost, 2);
}

// Guards against a connection that has gone silent while a read waits on it: reports of others would come too late.
TEST_F(CrashFeeds, ReadAnewAndWaitShorterOnceThereIsAReport)
{
    tick(20ms);
    EXPECT_EQ(m_log.reads.at(0).wait, 15s);
    m_feed.report(report(1));
    tick(20ms);
    ASSERT_EQ(m_log.reads.size(), 2U);
    EXPECT_EQ(m_log.reads[1].wait, 2s);
    m_log.reads[0].done(ReportPage{.records = {encode(report(9))}, .end = 1});
    EXPECT_TRUE(m_learnt.empty()) << "the answer to a read that was given up";
    m_feed.report(report(2));
    tick(20ms);
    EXPECT_EQ(m_log.reads.size(), 2U);
    m_feed.restartRead();
    tick(20ms);
    EXPECT_EQ(m_log.reads.size(), 3U);
}

// Guards against reports that are gone with what the log had acknowledged last.
TEST_F(CrashFeeds, AreToldAgainOnceTheLogHasComeBackOlder)
{
    tick(20ms);
    m_feed.report(report(1));
    m_feed.report(report(2));
    tick(20ms);
    m_log.appends[0]({});
    m_feed.report(report(3));
    tick(20ms);
    m_feed.logRestored();
    m_log.appends[1]({}); // of the m_log before
    tick(20ms);
    ASSERT_EQ(m_log.appended.size(), 3U);
    EXPECT_EQ(m_log.appended[2], (std::vector{encode(report(1)), encode(report(2)), encode(report(3))}));
    EXPECT_EQ(m_log.reads.back().from, 0U);
}

RC_GTEST_PROP(CrashReports, AreReadAsTheyWereWritten,
              (bool hasAnswered, std::uint64_t high, std::uint64_t low, const std::string &target))
{
    const CrashReport written{.kind = hasAnswered ? CrashReport::Kind::Answered : CrashReport::Kind::TargetDied,
                              .request = {.high = high, .low = low},
                              .target = TargetName(hasAnswered ? "" : "t" + std::to_string(target.size()))};
    const auto read = decodeCrashReport(encode(written));
    RC_ASSERT(errorIn(read) == nullptr);
    RC_ASSERT(std::get<CrashReport>(read) == written);
}

RC_GTEST_PROP(CrashReports, TakeAnyBytesWithoutHarm, (const std::string &bytes))
{
    static_cast<void>(decodeCrashReport(bytes));
}

} // namespace
