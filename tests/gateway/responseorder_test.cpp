#include "gateway/gatewayfixture.h"
#include "heatherridge_transport/direct/callerserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <future>

using namespace Heatherridge;

namespace
{

/** Calls on an exchange, in order: R(espond), B(egin a stream), W(rite), E(nd), A(bort). */
using Calls = std::string;

void perform(HttpExchange &exchange, const Calls &calls)
{
    for (const char call : calls) {
        switch (call) {
        case 'R':
            exchange.respond({.body = "whole"});
            break;
        case 'B':
            exchange.beginStream(200, {});
            break;
        case 'W':
            exchange.write("piece", [](bool) {});
            break;
        case 'E':
            exchange.end();
            break;
        default:
            exchange.abort();
        }
    }
}

/** Returns all sequences of one to three calls. */
std::vector<Calls> allSequences()
{
    std::vector<Calls> sequences{""};
    for (std::size_t index = 0; sequences[index].size() < 3; ++index) {
        for (const char call : std::string("RBWEA")) {
            sequences.push_back(sequences[index] + call);
        }
    }
    sequences.erase(sequences.begin());
    return sequences;
}

/** Returns whether @p calls send a whole answer before the first call out of order. */
bool isWholeAnswer(const Calls &calls)
{
    const auto end = calls.find('E');
    const bool isWholeStream = calls.front() == 'B' && end != Calls::npos && calls.find_first_not_of('W', 1) == end;
    return calls.front() == 'R' || isWholeStream;
}

/** The server of a gateway's callers. */
class GatewayCallerServer
{
public:
    explicit GatewayCallerServer(HttpServer::Handler handler)
        : m_server(
            m_loop, {.listen = {.address = "127.0.0.1"}}, std::move(handler),
            [](ErrorKind) { return HttpResponse{.status = 400}; }, m_metrics)
        , m_endpoint(std::get<Endpoint>(m_server.start()))
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~GatewayCallerServer()
    {
        asio::post(m_loop, [this] {
            m_server.stop();
            m_loop.stop();
        });
        m_thread.join();
    }

    GatewayCallerServer(const GatewayCallerServer &) = delete;
    GatewayCallerServer &operator=(const GatewayCallerServer &) = delete;

    Endpoint endpoint() const
    {
        return m_endpoint;
    }

private:
    asio::io_context m_loop;
    Metrics m_metrics;
    CallerServer m_server;
    Endpoint m_endpoint;
    std::thread m_thread;
};

/** The server of all other processes. */
class RestinioServer
{
public:
    explicit RestinioServer(HttpServer::Handler handler)
        : m_server({.listen = {.address = "127.0.0.1"}}, std::move(handler))
        , m_endpoint(std::get<Endpoint>(m_server.start()))
    {
    }

    Endpoint endpoint() const
    {
        return m_endpoint;
    }

private:
    HttpServer m_server;
    Endpoint m_endpoint;
};

template<typename Server>
class ResponseOrder : public testing::Test
{
};

using Servers = testing::Types<GatewayCallerServer, RestinioServer>;
TYPED_TEST_SUITE(ResponseOrder, Servers, );

// Guards against a server that writes bytes out of order into a response, whatever its user calls in which order.
TYPED_TEST(ResponseOrder, GivesTheCallerOneWholeResponseOrOneThatIsCutOff)
{
    Calls calls;
    const TypeParam server([&calls](const std::shared_ptr<HttpExchange> &exchange) { perform(*exchange, calls); });
    for (const auto &sequence : allSequences()) {
        calls = sequence;
        RawCaller caller(server.endpoint());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto answer = caller.receive();
        EXPECT_TRUE(answer.isInProtocol) << sequence;
        EXPECT_EQ(answer.isWhole, isWholeAnswer(sequence)) << sequence;
        EXPECT_TRUE(answer.isWhole ? caller.receive().status == 0 : true) << "bytes after the response: " << sequence;
    }
}

} // namespace
