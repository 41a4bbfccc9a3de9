#include "heatherridge_transport/http/httpclient.h"
#include "heatherridge_transport/http/httpserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <atomic>

using namespace Heatherridge;

namespace
{

/** Answers by path: an echo, a stream of ten chunks, a stream that is cut off. */
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
    int status; // 0: no whole answer
    std::string body;
};

const ExchangeCase ExchangeCases[] = {
    {"a body comes back whole", {.method = "POST", .path = "/echo", .query = "q=a%20b", .body = "hello"}, 201, "hello"},
    {"an empty body", {.method = "GET", .path = "/echo"}, 201, ""},
    {"a method of its own", {.method = "DELETE", .path = "/echo"}, 201, ""},
    {"a stream comes whole and in order",
     {.method = "GET", .path = "/stream"},
     200,
     "chunk0chunk1chunk2chunk3chunk4chunk5chunk6chunk7chunk8chunk9"},
    {"a stream that is cut off is not taken for whole", {.method = "GET", .path = "/cut"}, 0, ""},
    {"a connection closed without any answer", {.method = "POST", .path = "/hang-up", .body = "x"}, 0, ""},
    {"an exchange dropped without an answer ends at once", {.method = "GET", .path = "/silent"}, 500, ""},
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

// A handler holds exchanges it has not answered, as the long polls of a log do, when its server is stopped and goes.
// The program used to crash at its end, now and then, as the exchange reached for the server's loop.
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

// Calls to engines get no answer until their time is over, or a gateway ends by itself, "assign: File exists", and cuts
// the streams of all its callers. A server closes a kept connection as the next request arrives on it: libcurl closes
// the socket, opens another for the repeat and gets the same number, all in one step, while the loop still watches that
// number for the closed one.
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
