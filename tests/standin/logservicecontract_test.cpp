#include "heatherridge_transport/http/httpclient.h"
#include "heatherridge_transport/platform/httplogservice.h"
#include "support/childprocess.h"
#include "support/fakelog.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** An implementation of the log service under test. */
class LogUnderTest
{
public:
    virtual ~LogUnderTest() = default;

    virtual LogService &service() = 0;

    /** Runs the service until @p done is true. */
    virtual void runUntil(const bool &done) = 0;

    Result<LogOffset> append(const StreamName &stream, Bytes payload)
    {
        Result<LogOffset> result;
        bool done = false;
        service().append(stream, std::move(payload), [&](Result<LogOffset> answer) {
            result = std::move(answer);
            done = true;
        });
        EXPECT_FALSE(done) << "answered from within the call";
        runUntil(done);
        return result;
    }

    LogPage read(const StreamName &stream, std::uint64_t from, std::size_t most)
    {
        Result<LogPage> result;
        bool done = false;
        service().read(stream, static_cast<LogOffset>(from), most, 1ms, [&](Result<LogPage> answer) {
            result = std::move(answer);
            done = true;
        });
        EXPECT_FALSE(done) << "answered from within the call";
        runUntil(done);
        return std::get<LogPage>(result);
    }
};

class FakeUnderTest final : public LogUnderTest
{
public:
    LogService &service() override
    {
        return m_log;
    }

    void runUntil(const bool &done) override
    {
        while (!done) {
            m_now += 1ms;
            m_log.run(m_now);
        }
    }

private:
    FakeLog m_log;
    SteadyTime m_now{};
};

class HttpUnderTest final : public LogUnderTest
{
public:
    LogService &service() override
    {
        return m_log;
    }

    void runUntil(const bool &done) override
    {
        while (!done) {
            m_loop.run_one();
        }
    }

private:
    ChildProcess m_standIn{"heatherridge-standin", {"log"}};
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard = asio::make_work_guard(m_loop);
    HttpClient m_client{m_loop, {}};
    HttpLogService m_log{m_client, {.endpoint = m_standIn.endpoints().front()}};
};

struct ImplementationRow
{
    const char *name;
    std::unique_ptr<LogUnderTest> (*create)();
};

const ImplementationRow Implementations[] = {
    {"InMemory", [] { return std::unique_ptr<LogUnderTest>(std::make_unique<FakeUnderTest>()); }},
    {"OverHttp", [] { return std::unique_ptr<LogUnderTest>(std::make_unique<HttpUnderTest>()); }},
};

class LogServiceContract : public testing::TestWithParam<ImplementationRow>
{
protected:
    std::unique_ptr<LogUnderTest> m_log = GetParam().create();
};

TEST_P(LogServiceContract, NumbersEachStreamFromOne)
{
    const StreamName first("first");
    const StreamName second("second");
    EXPECT_EQ(std::get<LogOffset>(m_log->append(first, {1})), static_cast<LogOffset>(1));
    EXPECT_EQ(std::get<LogOffset>(m_log->append(first, {2})), static_cast<LogOffset>(2));
    EXPECT_EQ(std::get<LogOffset>(m_log->append(second, {3})), static_cast<LogOffset>(1));
}

TEST_P(LogServiceContract, ReadsRecordsUnchangedInOrderUpToTheLimit)
{
    const StreamName stream("s");
    const std::vector<Bytes> payloads{{0, 255, 10, 13}, {}, {7}};
    for (const auto &payload : payloads) {
        m_log->append(stream, payload);
    }
    const auto all = m_log->read(stream, 1, 100);
    ASSERT_EQ(all.records.size(), payloads.size());
    for (std::size_t i = 0; i < payloads.size(); ++i) {
        EXPECT_EQ(all.records[i].payload, payloads[i]);
        EXPECT_EQ(all.records[i].offset, static_cast<LogOffset>(i + 1));
    }
    EXPECT_EQ(all.last, static_cast<LogOffset>(3));
    const auto part = m_log->read(stream, 2, 1);
    ASSERT_EQ(part.records.size(), 1U);
    EXPECT_EQ(part.records.front().offset, static_cast<LogOffset>(2));
}

TEST_P(LogServiceContract, AReadAtTheEndWaitsAndReturnsAnEmptyPage)
{
    const StreamName stream("s");
    m_log->append(stream, {1});
    const auto page = m_log->read(stream, 2, 10);
    EXPECT_TRUE(page.records.empty());
    EXPECT_EQ(page.last, static_cast<LogOffset>(1));
    EXPECT_TRUE(m_log->read(StreamName("nothing"), 1, 10).records.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, LogServiceContract, testing::ValuesIn(Implementations),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
