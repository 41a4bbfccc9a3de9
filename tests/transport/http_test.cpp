#include "heatherridge_transport/http/httpclient.h"
#include "heatherridge_transport/http/httpserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <atomic>

using namespace Heatherridge;

namespace
{

/** Responds according to the path: an echo, a stream of ten chunks, a truncated stream, an aborted connection, or no
 * response. */
void handleRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/echo") {
        exchange->respond({.status = 201,
                           .headers = {{"X-Method", request.method}, {"X-Q", request.queryParameter("q")}},
                           .body = request.body});
        return;
    }
    if (request.path == "/silent") {
        return;
    }
    if (request.path == "/hang-up") {
        exchange->abort();
        return;
    }
    exchange->beginStream(200, {{"Content-Type", "text/plain"}});
    for (int i = 0; i < 10; ++i) {
        exchange->write("chunk" + std::to_string(i), [exchange](bool) {});
    }
    if (request.path == "/stream") {
        exchange->end();
    } else {
        exchange->abort();
    }
}

struct ExchangeCase
{
    const char *description;
    HttpRequest request;
    int status; // 0: no complete response
    std::string body;
};

const ExchangeCase ExchangeCases[] = {
    {"a body is echoed completely",
     {.method = "POST", .path = "/echo", .query = "q=a%20b", .body = "hello"},
     201,
     "hello"},
    {"an empty body", {.method = "GET", .path = "/echo"}, 201, ""},
    {"another method", {.method = "DELETE", .path = "/echo"}, 201, ""},
    {"a stream arrives complete and in order",
     {.method = "GET", .path = "/stream"},
     200,
     "chunk0chunk1chunk2chunk3chunk4chunk5chunk6chunk7chunk8chunk9"},
    {"a truncated stream is not reported as complete", {.method = "GET", .path = "/cut"}, 0, ""},
    {"a connection closed without any response", {.method = "POST", .path = "/hang-up", .body = "x"}, 0, ""},
    {"an exchange dropped without a response ends immediately", {.method = "GET", .path = "/silent"}, 500, ""},
};

class HttpRoundTrip : public testing::TestWithParam<ExchangeCase>
{
};

TEST_P(HttpRoundTrip, ResponsesAreCompleteOrReportedAsFailed)
{
    HttpServer server({.listen = {.address = "127.0.0.1"}, .threads = 2}, handleRequest);
    const auto serverEndpoint = std::get<Endpoint>(server.start());
    asio::io_context loop;
    HttpClient client(loop, {});
    int status = -1;
    std::string body;
    client.send({.endpoint = serverEndpoint, .request = GetParam().request},
                [&](std::variant<HttpResponse, HttpClient::Failure> result) {
                    const auto *response = std::get_if<HttpResponse>(&result);
                    status = response == nullptr ? 0 : response->status;
                    body = response == nullptr ? "" : response->body;
                    loop.stop();
                });
    loop.run();
    EXPECT_EQ(status, GetParam().status) << GetParam().description;
    EXPECT_EQ(body, GetParam().body) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, HttpRoundTrip, testing::ValuesIn(ExchangeCases));

// A handler still holds unanswered exchanges, as a log's long polls do, when its server is stopped and destroyed. The
// program used to crash occasionally at exit, because the exchange accessed the server's loop.
TEST(HttpServer, ExchangeMayOutliveServer)
{
    asio::io_context loop;
    std::vector<std::shared_ptr<HttpExchange>> heldExchanges;
    {
        HttpServer server({.listen = {.address = "127.0.0.1"}},
                          [&heldExchanges, &loop](const std::shared_ptr<HttpExchange> &exchange) {
                              heldExchanges.push_back(exchange);
                              loop.stop();
                          });
        const auto serverEndpoint = std::get<Endpoint>(server.start());
        HttpClient client(loop, {});
        client.send({.endpoint = serverEndpoint, .request = {.method = "GET", .path = "/"}}, [](const auto &) {});
        loop.run();
    }
    ASSERT_EQ(heldExchanges.size(), 1U);
    heldExchanges.front()->onClosed([] {});
    heldExchanges.clear();
}

TEST(HttpClient, RefusedConnectionReportsThatNothingArrived)
{
    Endpoint closedEndpoint;
    {
        HttpServer server({.listen = {.address = "127.0.0.1"}}, handleRequest);
        closedEndpoint = std::get<Endpoint>(server.start());
    }
    asio::io_context loop;
    HttpClient client(loop, {});
    bool mayHaveArrived = true;
    client.send({.endpoint = closedEndpoint, .request = {.method = "GET", .path = "/"}},
                [&](std::variant<HttpResponse, HttpClient::Failure> result) {
                    mayHaveArrived = std::get<HttpClient::Failure>(result).mayHaveArrived;
                    loop.stop();
                });
    loop.run();
    EXPECT_FALSE(mayHaveArrived);
}

// Guards against calls to engines that get no response until they time out, and against a gateway that terminates with
// "assign: File exists" and cuts the streams of all its callers. A server closes an idle connection as the next request
// arrives on it: within one call, libcurl closes the socket and opens another for the retry, which gets the same
// descriptor number while the loop still watches that number for the closed socket.
TEST(HttpClient, SocketMayReuseDescriptorOfClosedSocket)
{
    std::atomic<bool> shouldAbort{false};
    HttpServer server({.listen = {.address = "127.0.0.1"}},
                      [&shouldAbort](const std::shared_ptr<HttpExchange> &exchange) {
                          shouldAbort.exchange(false) ? exchange->abort() : exchange->respond({.status = 200});
                      });
    const auto serverEndpoint = std::get<Endpoint>(server.start());
    asio::io_context loop;
    HttpClient client(loop, {});
    constexpr int callCount = 10;
    int responseCount = 0;
    for (int call = 0; call < callCount; ++call) {
        shouldAbort = call > 0;
        client.send({.endpoint = serverEndpoint,
                     .request = {.method = "GET", .path = "/"},
                     .timeout = std::chrono::milliseconds(2'000)},
                    [&](const std::variant<HttpResponse, HttpClient::Failure> &result) {
                        responseCount += std::holds_alternative<HttpResponse>(result) ? 1 : 0;
                        loop.stop();
                    });
        loop.run();
        loop.restart();
    }
    EXPECT_EQ(responseCount, callCount);
}

} // namespace
