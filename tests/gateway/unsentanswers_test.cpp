#include "gateway/exchangeservers.h"
#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t LargeAnswer = 4'000'000; ///< more than the kernel buffers for one connection

struct UnsentAnswerCase
{
    const char *name;
    void (*respond)(HttpExchange &);
};

const UnsentAnswerCase UnsentAnswerCases[] = {
    {"WholeResponse", [](HttpExchange &exchange) { exchange.respond({.body = std::string(LargeAnswer, 'x')}); }},
    {"Stream",
     [](HttpExchange &exchange) {
         exchange.beginStream(200, {});
         exchange.write(std::string(LargeAnswer, 'x'), [](bool) {});
         exchange.end();
     }},
    {"StreamThatEndsWhenItIsWritten",
     [](HttpExchange &exchange) {
         exchange.beginStream(200, {});
         exchange.write(std::string(LargeAnswer, 'x'), [&exchange](bool) { exchange.end(); });
     }},
};

/** Answers with a test case, and keeps the exchange. */
class UnsentAnswers : public testing::TestWithParam<UnsentAnswerCase>
{
protected:
    /** Sends a request and waits until its response has been handed to the server. */
    void sendRequest()
    {
        m_caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        m_hasResponded.get_future().wait();
    }

    void expectWholeAnswer()
    {
        const auto answer = m_caller.receive();
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(answer.body.size(), LargeAnswer);
    }

    std::promise<void> m_hasResponded;
    std::shared_ptr<HttpExchange> m_exchange;
    GatewayCallerServer m_server{[this](const std::shared_ptr<HttpExchange> &exchange) {
        m_exchange = exchange;
        GetParam().respond(*exchange);
        m_hasResponded.set_value();
    }};
    RawCaller m_caller{m_server.endpoint()};
};

// Guards against a planned stop that takes a connection for idle, and closes it, while a part of its answer is unsent.
TEST_P(UnsentAnswers, KeepTheirConnectionBusyDuringAStop)
{
    sendRequest();
    m_server.runAndWait([](CallerServer &server) {
        EXPECT_EQ(server.busyConnections(), 1U);
        server.beginDrain();
        server.closeIdleConnections();
    });
    expectWholeAnswer();
    m_server.runAndWait([this](CallerServer &) { m_exchange.reset(); });
}

// Guards against the idle timeout, which is for callers without a request, ending an answer that is being read.
TEST_P(UnsentAnswers, AreNotEndedByTheIdleTimeout)
{
    constexpr auto idleTimeout = 300ms;
    m_server.runAndWait([&](CallerServer &server) { server.setLimits({.idleTimeout = idleTimeout}); });
    sendRequest();
    std::this_thread::sleep_for(4 * idleTimeout);
    expectWholeAnswer();
    EXPECT_TRUE(m_caller.isClosedWithin(10s)) << "the timeout applies once the answer is sent";
    EXPECT_EQ(m_server.metrics().counter("heatherridge_caller_idle_timeouts_total").value(), 1U);
    m_server.runAndWait([this](CallerServer &) { m_exchange.reset(); });
}

INSTANTIATE_TEST_SUITE_P(All, UnsentAnswers, testing::ValuesIn(UnsentAnswerCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a broken HTTP/1.0 stream, which only a reset shows to be incomplete, that takes the answer to an
// earlier request on the same connection away from its caller.
TEST(EarlierAnswers, ArriveBeforeABrokenStreamResetsTheirConnection)
{
    constexpr std::size_t size = 400'000; // fits in the kernel's buffers
    std::promise<void> hasAborted;
    const GatewayCallerServer server([&](const std::shared_ptr<HttpExchange> &exchange) {
        if (exchange->request().target == "/whole") {
            exchange->respond({.body = std::string(size, 'x')});
            return;
        }
        exchange->beginStream(200, {});
        exchange->write("data: 1\n\n", [](bool) {});
        exchange->abort();
        hasAborted.set_value();
    });
    RawCaller caller(server.endpoint());
    caller.send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\nGET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
    hasAborted.get_future().wait();
    std::this_thread::sleep_for(100ms); // a reset would have arrived
    const auto answer = caller.receive();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body.size(), size);
    EXPECT_TRUE(caller.isClosedWithin(10s));
}

// Guards against a gateway whose stop cuts off an answer of which a part is still on its way to its caller.
TEST(GracefulStop, LetsAnAnswerReachASlowReader)
{
    const ScriptedTarget target([](const auto &request, int) {
        return std::vector<TargetAction>{{.bytes = signedResponse(request, std::string(LargeAnswer, 'x'))}};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", "/look/1", "r1"));
    std::this_thread::sleep_for(300ms);
    gateway.beginStop();
    std::this_thread::sleep_for(500ms);
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body.size(), LargeAnswer);
}

} // namespace
