#include "gateway/scriptedtarget.h"
#include "heatherridge_platform.h"
#include "heatherridge_transport/app/eventloop.h"

#include <gtest/gtest.h>

#include <future>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Acts = std::vector<TargetAct>;

std::string answerOf(const std::string &era, int status = 200, const std::string &body = "{}")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + (era.empty() ? "" : "Store-Era: " + era + "\r\n")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A log on loopback that answers as told, and a client of it. */
class LogClients : public testing::Test
{
protected:
    void SetUp() override
    {
        m_loop.start();
        m_loop.run([this] {
            m_http = std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{});
            m_client = std::make_shared<LogClient>(
                *m_http, LogClient::Options{.endpoint = m_log.endpoint()},
                LogEvents{.restored = [this](const auto &restored) { m_restored.push_back(restored.after); },
                          .malformed = [this](auto) { ++m_malformed; }});
        });
    }

    void TearDown() override
    {
        m_loop.run([this] {
            m_client.reset();
            m_http.reset();
        });
        m_loop.stop();
    }

    std::future<Result<HttpResponse>> send(const std::string &path)
    {
        const auto answered = std::make_shared<std::promise<Result<HttpResponse>>>();
        m_loop.post([this, path, answered] {
            m_client->send({.method = "GET", .path = path}, 5s,
                           [answered](Result<HttpResponse> answer) { answered->set_value(std::move(answer)); });
        });
        return answered->get_future();
    }

    bool isBelieved(const std::string &path)
    {
        const auto answer = send(path).get();
        return errorIn(answer) == nullptr;
    }

    std::vector<std::uint64_t> m_restored;
    int m_malformed = 0;

private:
    /** The path is the era that is told, with "late" before it in an answer that takes its time. */
    Acts answer(const std::string &request)
    {
        const auto path = request.substr(request.find('/') + 1);
        auto era = path.substr(0, path.find(' '));
        const bool waits = era.starts_with("late");
        era = waits ? era.substr(4) : era;
        Acts acts;
        if (waits) {
            acts.push_back({.kind = TargetAct::Kind::Wait, .pause = 300ms});
        }
        acts.push_back({.bytes = answerOf(era == "none" ? "" : era)});
        return acts;
    }

    ScriptedTarget m_log{[this](const std::string &request, int) { return answer(request); }};
    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_http;
    std::shared_ptr<LogClient> m_client;
};

// Guards against an answer from before the log came back that arrives after one of the time since.
TEST_F(LogClients, DropAnswersFromBeforeTheLogCameBack)
{
    EXPECT_TRUE(isBelieved("/3"));
    auto late = send("/late3");
    std::this_thread::sleep_for(50ms);
    EXPECT_FALSE(isBelieved("/4")) << "asked before the change was known";
    EXPECT_EQ(m_restored, std::vector<std::uint64_t>{4});
    EXPECT_TRUE(isBelieved("/4"));
    EXPECT_NE(errorIn(late.get()), nullptr);
    EXPECT_EQ(m_restored.size(), 1U);
}

TEST_F(LogClients, BelieveALogThatTellsNoEra)
{
    EXPECT_TRUE(isBelieved("/none"));
    EXPECT_TRUE(isBelieved("/2"));
    EXPECT_TRUE(isBelieved("/none"));
    EXPECT_TRUE(m_restored.empty());
}

TEST_F(LogClients, TellOfAnEraThatCannotBeRead)
{
    EXPECT_TRUE(isBelieved("/2"));
    EXPECT_FALSE(isBelieved("/two"));
    EXPECT_TRUE(isBelieved("/2"));
    EXPECT_EQ(m_malformed, 1);
    EXPECT_TRUE(m_restored.empty());
}

} // namespace
