#include "heatherridge_platform.h"
#include "heatherridge_transport/app/eventloop.h"
#include "support/scriptedtarget.h"

#include <gtest/gtest.h>

#include <future>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Found = Result<std::optional<std::string>>;

std::string response(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** The records of runs in a log that gives the scripted answers, one after the other and the last one again. */
class PlatformRunsUnderTest
{
public:
    explicit PlatformRunsUnderTest(std::vector<std::string> answers)
        : m_answers(std::move(answers))
        , m_log([this](const std::string &, int index) {
            const auto last = static_cast<int>(m_answers.size()) - 1;
            return std::vector<TargetAction>{{.bytes = m_answers.at(static_cast<std::size_t>(std::min(index, last)))}};
        })
    {
        m_loop.start();
        m_loop.runAndWait([this] {
            m_http = std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{});
            m_runs = std::make_unique<PlatformRuns>(
                std::make_shared<LogClient>(*m_http, LogClient::Options{.endpoint = m_log.endpoint()}, LogEvents{}),
                PlatformRuns::Options{.topic = "keyed.r", .partitions = 1});
        });
    }

    ~PlatformRunsUnderTest()
    {
        m_loop.runAndWait([this] {
            m_runs.reset();
            m_http.reset();
        });
        m_loop.stop();
    }

    PlatformRunsUnderTest(const PlatformRunsUnderTest &) = delete;
    PlatformRunsUnderTest &operator=(const PlatformRunsUnderTest &) = delete;

    Found readNewest(const std::string &process)
    {
        std::promise<Found> found;
        m_loop.post([&] {
            m_runs->readNewest(ProcessName(process), [&](Found answer) { found.set_value(std::move(answer)); });
        });
        return found.get_future().get();
    }

    Outcome write(const std::string &process, const std::string &record)
    {
        std::promise<Outcome> written;
        m_loop.post([&] {
            m_runs->write(ProcessName(process), record, [&](Outcome answer) { written.set_value(std::move(answer)); });
        });
        return written.get_future().get();
    }

    std::vector<std::string> requests() const
    {
        return m_log.requests();
    }

private:
    const std::vector<std::string> m_answers;
    ScriptedTarget m_log;
    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_http;
    std::unique_ptr<PlatformRuns> m_runs;
};

constexpr const char *Unavailable = "unavailable";
constexpr const char *None = "none";

struct PageRow
{
    const char *name;
    int status;
    std::string body;
    std::string expected; ///< the record, None or Unavailable
};

const PageRow PageRows[] = {
    {"Found", 200, R"({"items":[{"key":"g","value":"YWI=","offset":3}],"hasMore":false,"end":4})", "ab"},
    {"AmongOthers", 200,
     R"({"items":[{"key":"f","value":"eA==","offset":1},{"key":"g","value":"YWI=","offset":3}],"hasMore":true,"end":4})",
     "ab"},
    {"NoOffset", 200, R"({"items":[{"key":"g","value":"YWI="}],"hasMore":false})", "ab"},
    {"NoItems", 200, R"({"items":[],"hasMore":false,"end":0})", None},
    {"NoItemsButMore", 200, R"({"items":[],"hasMore":true,"end":0})", None},
    {"NoTopic", 404, "", None},
    {"OddItems", 200,
     R"({"items":[7,null,[],{},{"key":7},{"key":"g2"},"g",{"key":"g","value":"YWI="}],"hasMore":false})", "ab"},
    {"OddValue", 200, R"({"items":[{"key":"g","value":7}],"hasMore":false})", None},
    {"NoValue", 200, R"({"items":[{"key":"g"}],"hasMore":false})", None},
    {"NotBase64", 200, R"({"items":[{"key":"g","value":"?"}],"hasMore":false})", None},
    {"OddHasMore", 200, R"({"items":[{"key":"a","value":"eA=="}],"hasMore":"yes"})", None},
    {"Rejected", 503, "", Unavailable},
    {"NotJson", 200, "{", Unavailable},
    {"Array", 200, "[]", Unavailable},
    {"OddList", 200, R"({"items":{},"hasMore":false})", Unavailable},
};

class RunPages : public testing::TestWithParam<PageRow>
{
};

// Guards against a record that cannot be read because another one in the topic is odd.
TEST_P(RunPages, AreSearched)
{
    PlatformRunsUnderTest runs({response(GetParam().status, GetParam().body)});
    const auto found = runs.readNewest("g");
    const auto *record = std::get_if<std::optional<std::string>>(&found);
    EXPECT_EQ(record != nullptr ? record->value_or(None) : Unavailable, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(All, RunPages, testing::ValuesIn(PageRows),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a key that ends the query, and a search that stops after the first page.
TEST(PlatformRunPages, AreContinuedAfterTheLastKey)
{
    PlatformRunsUnderTest runs({response(200, R"({"items":[{"key":"a b&c","value":"eA=="}],"hasMore":true})"),
                                response(200, R"({"items":[{"key":"g","value":"YWI="}],"hasMore":false})")});
    EXPECT_EQ(std::get<std::optional<std::string>>(runs.readNewest("g")), "ab");
    const auto requests = runs.requests();
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_TRUE(requests[0].starts_with("GET /api/log-newest?topic=keyed.r&part=0 ")) << requests[0];
    EXPECT_TRUE(requests[1].starts_with("GET /api/log-newest?topic=keyed.r&part=0&after=a%20b%26c ")) << requests[1];
}

// Guards against a search without end in a log that gives the same page again and again.
TEST(PlatformRunPages, AreNotReadWithoutEnd)
{
    PlatformRunsUnderTest runs({response(200, R"({"items":[{"key":"a","value":"eA=="}],"hasMore":true})")});
    EXPECT_EQ(std::get<std::optional<std::string>>(runs.readNewest("g")), std::nullopt);
    EXPECT_EQ(runs.requests().size(), 2U);
}

TEST(PlatformRunRecords, AreWrittenUnderTheNameOfTheirProcess)
{
    PlatformRunsUnderTest runs({response(200, R"({"offset":0,"end":1})"), response(503, "")});
    EXPECT_EQ(errorIn(runs.write("g", "ab")), nullptr);
    EXPECT_NE(errorIn(runs.write(std::string(300, 'g'), "ab")), nullptr) << "the log has rejected it";
    const auto requests = runs.requests();
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_TRUE(requests[0].starts_with("POST /api/log-append?topic=keyed.r&part=0 ")) << requests[0];
    EXPECT_TRUE(requests[0].ends_with(std::string("\0\0\0\4\1gab", 8))) << requests[0];
    EXPECT_TRUE(requests[1].ends_with("\xff" + std::string(255, 'g') + "ab")) << "names longer than a key are cut";
}

} // namespace
