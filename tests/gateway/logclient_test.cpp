#include "heatherridge_platform.h"
#include "heatherridge_transport/app/eventloop.h"
#include "support/scriptedtarget.h"

#include <gtest/gtest.h>

#include <future>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;

std::string response(const std::string &era, int status = 200, const std::string &body = "{}")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + (era.empty() ? "" : "Store-Era: " + era + "\r\n")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A scripted log on the loopback interface and a client of it. */
class LogClientTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_loop.start();
        m_loop.runAndWait([this] {
            m_http = std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{});
            m_client = std::make_shared<LogClient>(
                *m_http, LogClient::Options{.endpoint = m_log.endpoint()},
                LogEvents{.restored = [this](const auto &restored) { m_restored.push_back(restored.newCount); },
                          .malformed = [this](auto) { ++m_malformed; }});
        });
    }

    void TearDown() override
    {
        m_loop.runAndWait([this] {
            m_client.reset();
            m_http.reset();
        });
        m_loop.stop();
    }

    std::future<Result<HttpResponse>> send(const std::string &path)
    {
        const auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
        m_loop.post([this, path, promise] {
            m_client->send({.method = "GET", .path = path}, 5s,
                           [promise](Result<HttpResponse> result) { promise->set_value(std::move(result)); });
        });
        return promise->get_future();
    }

    bool isAccepted(const std::string &path)
    {
        const auto result = send(path).get();
        return errorIn(result) == nullptr;
    }

    std::vector<std::uint64_t> m_restored;
    int m_malformed = 0;

private:
    /** Responds with the era that the path names. The prefix "late" delays the response. */
    Actions respond(const std::string &request)
    {
        const auto path = request.substr(request.find('/') + 1);
        auto era = path.substr(0, path.find(' '));
        const bool isDelayed = era.starts_with("late");
        era = isDelayed ? era.substr(4) : era;
        Actions actions;
        if (isDelayed) {
            actions.push_back({.kind = TargetAction::Kind::Wait, .duration = 300ms});
        }
        actions.push_back({.bytes = response(era == "none" ? "" : era)});
        return actions;
    }

    ScriptedTarget m_log{[this](const std::string &request, int) { return respond(request); }};
    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_http;
    std::shared_ptr<LogClient> m_client;
};

// Guards against accepting a response from before the log was restored that arrives after a response from afterwards.
TEST_F(LogClientTest, DropsResponsesFromBeforeTheLogWasRestored)
{
    EXPECT_TRUE(isAccepted("/3"));
    auto delayed = send("/late3");
    std::this_thread::sleep_for(50ms);
    EXPECT_FALSE(isAccepted("/4")) << "requested before the client knew of the restore";
    EXPECT_EQ(m_restored, std::vector<std::uint64_t>{4});
    EXPECT_TRUE(isAccepted("/4"));
    EXPECT_NE(errorIn(delayed.get()), nullptr);
    EXPECT_EQ(m_restored.size(), 1U);
}

TEST_F(LogClientTest, AcceptsALogWithoutAnEra)
{
    EXPECT_TRUE(isAccepted("/none"));
    EXPECT_TRUE(isAccepted("/2"));
    EXPECT_TRUE(isAccepted("/none"));
    EXPECT_TRUE(m_restored.empty());
}

TEST_F(LogClientTest, ReportsAMalformedEra)
{
    EXPECT_TRUE(isAccepted("/2"));
    EXPECT_FALSE(isAccepted("/two"));
    EXPECT_TRUE(isAccepted("/2"));
    EXPECT_EQ(m_malformed, 1);
    EXPECT_TRUE(m_restored.empty());
}

} // namespace
