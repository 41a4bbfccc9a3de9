#include "gateway/gatewayfixture.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/direct/attemptbytes.h"
#include "heatherridge_transport/http/httpclient.h"
#include "support/scriptedtarget.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;

constexpr auto SignedHead = "X-Heatherridge-Response-Signature: s\r\n";

/** A response that never ends: its beginning, and what follows again and again. */
struct EndlessRow
{
    const char *name;
    const char *path; ///< of the request
    std::string start; ///< after the status line and the request's id
    std::string repeated;
    int status; ///< that its caller gets; a stream is repeated at another target, a booking is not
};

const std::string Filler(16'000, 'x');
const std::string ChunkOfFiller = "3e80\r\n" + Filler + "\r\n";

/** Returns the response's beginning for @p request. */
std::string startOf(const EndlessRow &row, const std::string &request)
{
    return "HTTP/1.1 200 X\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\n" + row.start;
}

Actions endless(const EndlessRow &row, const std::string &request)
{
    return {{.bytes = startOf(row, request)}, {.kind = TargetAction::Kind::SendUntilClosed, .bytes = row.repeated}};
}

const EndlessRow EndlessRows[] = {
    {"Headers", "/book/1", "", "X-A: " + std::string(100, 'a') + "\r\n", 502},
    {"HeaderLine", "/book/1", "X-A: ", Filler, 502},
    {"InterimHeads", "/book/1", "\r\nHTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", 502},
    {"UnsignedBody", "/book/1", "Transfer-Encoding: chunked\r\n\r\n", ChunkOfFiller, 502},
    {"UnsignedBodyUntilClose", "/book/1", "\r\n", Filler, 502},
    {"SignedBody", "/book/1", SignedHead + std::string("Transfer-Encoding: chunked\r\n\r\n"), ChunkOfFiller, 502},
    {"SignedBodyUntilClose", "/book/1", SignedHead + std::string("\r\n"), Filler, 502},
    {"ChunkExtension", "/book/1", SignedHead + std::string("Transfer-Encoding: chunked\r\n\r\n1;a="), Filler, 502},
    {"Trailers", "/book/1", SignedHead + std::string("Transfer-Encoding: chunked\r\n\r\n0\r\n"),
     "X-A: " + std::string(100, 'a') + "\r\n", 502},
    {"Event", "/stream/1", SignedHead + std::string("\r\ndata: "), Filler, 200},
    {"EventsAfterAGap", "/stream/1", SignedHead + std::string("\r\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n"),
     "id: 3\ndata: c\n\n", 200},
};

class EndlessAnswers : public testing::TestWithParam<EndlessRow>
{
};

// Guards against a response without end that is read until the deadline, passed on as if it were complete, or kept in
// memory.
TEST_P(EndlessAnswers, AreBrokenOff)
{
    const auto &row = GetParam();
    const std::string sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        return requestCount++ == 0 ? endless(row, request) : Actions{{.bytes = signedResponse(request, sound)}};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", row.path, "r1"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, row.status);
    EXPECT_TRUE(answer.isInProtocol);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body == sound, row.status == 200);
    RawCaller next(gateway.callerEndpoint());
    next.send(requestText("GET", "/look/1", "r2"));
    EXPECT_EQ(next.receive().status, 200);
    while (first.peerCloseCount() + second.peerCloseCount() < 1) {
        std::this_thread::sleep_for(10ms); // the test's time limit ends it
    }
}

INSTANTIATE_TEST_SUITE_P(All, EndlessAnswers, testing::ValuesIn(EndlessRows),
                         [](const auto &info) { return info.param.name; });

// Guards against several responses without end that together take the memory of the host, or the room of the others.
TEST(EndlessAnswersTogether, LeaveRoomForOthers)
{
    const EndlessRow row{.start = SignedHead + std::string("Transfer-Encoding: chunked\r\n\r\n"),
                         .repeated = ChunkOfFiller};
    const ScriptedTarget target([&](const std::string &request, int) {
        return request.find("/book/endless") != std::string::npos
            ? endless(row, request)
            : Actions{{.bytes = signedResponse(request, std::string(30'000, 'x'))}};
    });
    GatewayFixture gateway({&target}, {.maxResponseBytes = 1'000'000});
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int request = 0; request < 7; ++request) {
        callers.push_back(std::make_unique<RawCaller>(gateway.callerEndpoint()));
        callers.back()->send(requestText("GET", "/book/endless", "e" + std::to_string(request)));
    }
    for (int request = 0; request < 20; ++request) {
        RawCaller caller(gateway.callerEndpoint());
        caller.send(requestText("GET", "/look/1", "r" + std::to_string(request)));
        const auto answer = caller.receive();
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
    }
    for (const auto &caller : callers) {
        EXPECT_EQ(caller->receive().status, 502);
    }
    EXPECT_EQ(gateway.metric("heatherridge_answers_abandoned_total"), 7);
}

struct TrickleRow
{
    const char *name;
    const char *path;
    int status; ///< that the caller gets; a look-up is repeated at another target, a booking is not
};

const TrickleRow TrickleRows[] = {{"LookUp", "/look/1", 200}, {"Booking", "/book/1", 502}};

class TrickledAnswers : public testing::TestWithParam<TrickleRow>
{
};

// Guards against an attempt that waits until the deadline for the end of a body that cannot be used, whatever its size.
TEST_P(TrickledAnswers, AreLeftAtTheirHead)
{
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        if (requestCount++ > 0) {
            return Actions{{.bytes = signedResponse(request, "x")}};
        }
        Actions trickle{{.bytes = "HTTP/1.1 200 X\r\n\r\n"}};
        for (int byte = 0; byte < 400; ++byte) {
            trickle.push_back({.kind = TargetAction::Kind::Wait, .duration = 50ms});
            trickle.push_back({.bytes = "x"});
        }
        return trickle;
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", GetParam().path, "r1"));
    EXPECT_EQ(caller.receive().status, GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(All, TrickledAnswers, testing::ValuesIn(TrickleRows),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against heads of many short fields that are no bytes of a body, so that no limit counts what they take, and
// against targets that stall in the middle of them and so keep the room of the others.
TEST(StalledHeadsTogether, LeaveRoomForOthers)
{
    constexpr int heads = 12;
    std::string fields;
    for (int field = 0; field < 10'000; ++field) {
        fields += "a:\r\n";
    }
    const std::string large(300'000, 'x');
    const ScriptedTarget target([&](const std::string &request, int) {
        return request.find("/book/stalled") != std::string::npos
            ? Actions{{.bytes = "HTTP/1.1 200 X\r\n" + fields}, {.kind = TargetAction::Kind::AwaitClose}}
            : Actions{{.bytes = signedResponse(request, large)}};
    });
    GatewayFixture gateway({&target}, {.maxResponseBytes = 1'200'000});
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int request = 0; request < heads; ++request) {
        callers.push_back(std::make_unique<RawCaller>(gateway.callerEndpoint()));
        callers.back()->send(requestText("GET", "/book/stalled", "s" + std::to_string(request)));
    }
    while (target.peerCloseCount() < heads - 1) {
        std::this_thread::sleep_for(10ms); // the test's time limit ends it
    }
    std::this_thread::sleep_for(1'200ms); // what is left of them has stalled
    for (int request = 0; request < 5; ++request) {
        RawCaller caller(gateway.callerEndpoint());
        caller.send(requestText("GET", "/look/1", "r" + std::to_string(request)));
        const auto answer = caller.receive();
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.body, large);
    }
    for (const auto &caller : callers) {
        EXPECT_EQ(caller->receive().status, 502);
    }
}

// Guards against failures that many calls keep while they are repeated, and that no limit counts.
TEST(KeptFailures, CountAmongTheBytesOfAllCalls)
{
    constexpr std::int64_t size = 400'000;
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        return requestCount++ == 0 ? Actions{{.bytes = signedResponse(request, std::string(size, 'x'), 500)}}
                                   : Actions{{.kind = TargetAction::Kind::AwaitClose}};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", "/look/1", "r1"));
    const auto isHeldInTime = [&gateway](std::int64_t bytes) {
        for (int poll = 0; poll < 300 && gateway.metric("heatherridge_response_bytes_held") != bytes; ++poll) {
            std::this_thread::sleep_for(10ms);
        }
        return gateway.metric("heatherridge_response_bytes_held") == bytes;
    };
    const std::vector<HttpHeader> head{{"X-Heatherridge-Request-Id", "r1"},
                                       {"X-Heatherridge-Response-Signature", "s"},
                                       {"Content-Length", std::to_string(size)}};
    EXPECT_TRUE(isHeldInTime(size + static_cast<std::int64_t>(allocatedBytes(head))));
    caller.close();
    EXPECT_TRUE(isHeldInTime(0));
}

// Guards against a stream of valid events that goes on after its caller has left, or past the deadline as if complete.
TEST(EndlessEvents, EndWithTheirCallerAndTheirDeadline)
{
    const EndlessRow row{.start = SignedHead + std::string("Transfer-Encoding: chunked\r\n\r\n"),
                         .repeated = "9\r\ndata: x\n\n\r\n"};
    const ScriptedTarget target([&](const std::string &request, int) { return endless(row, request); });
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.timeout = 800ms;
    }
    GatewayFixture gateway({&target}, {.config = config});
    {
        RawCaller leaving(gateway.callerEndpoint());
        leaving.send(requestText("GET", "/stream/1", "r1"));
        leaving.awaitBytes();
    }
    RawCaller staying(gateway.callerEndpoint());
    staying.send(requestText("GET", "/stream/1", "r2"));
    const auto answer = staying.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.isWhole);
    while (target.peerCloseCount() < 2) {
        std::this_thread::sleep_for(10ms); // the test's time limit ends it
    }
}

struct BytesRow
{
    const char *name;
    std::size_t others; ///< bytes that other calls hold
    std::size_t own;
    bool isAllowed;
};

const BytesRow BytesRows[] = {
    {"SmallWhileOthersExceedTheBudget", 10'000'000, AttemptBytes::Assured, true},
    {"LargerWhileOthersExceedTheBudget", 10'000'000, AttemptBytes::Assured + 1, false},
    {"LargestWithinTheBudget", 0, AttemptBytes::Max, true},
    {"TooLarge", 0, AttemptBytes::Max + 1, false},
};

class BufferedResponses : public testing::TestWithParam<BytesRow>
{
};

TEST_P(BufferedResponses, ShareABudget)
{
    BufferBudget budget(AttemptBytes::Max + 1'000);
    AttemptBytes others(budget);
    static_cast<void>(others.hold(GetParam().others));
    {
        AttemptBytes own(budget);
        EXPECT_EQ(own.hold(GetParam().own), GetParam().isAllowed);
    }
    EXPECT_EQ(budget.held(), GetParam().others);
}

INSTANTIATE_TEST_SUITE_P(All, BufferedResponses, testing::ValuesIn(BytesRows),
                         [](const auto &info) { return info.param.name; });

struct ClientRow
{
    const char *name;
    std::string start;
    std::string repeated;
    const char *reason;
};

const ClientRow ClientRows[] = {
    {"Headers", "HTTP/1.1 200 X\r\n", "X-A: " + std::string(100, 'a') + "\r\n", "response head too large"},
    {"InterimHeads", "", "HTTP/1.1 100 Continue\r\n\r\n", "response head too large"},
    {"Body", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", ChunkOfFiller, "response body too large"},
    {"BodyUntilClose", "HTTP/1.1 200 X\r\n\r\n", Filler, "response body too large"},
};

class EndlessResponsesToControlCalls : public testing::TestWithParam<ClientRow>
{
};

// Guards against calls to engines, sidecars and the log whose response without end is read until they time out.
TEST_P(EndlessResponsesToControlCalls, EndTheCallAndItsConnection)
{
    const auto &row = GetParam();
    const ScriptedTarget server([&](const std::string &, int) {
        return Actions{{.bytes = row.start}, {.kind = TargetAction::Kind::SendUntilClosed, .bytes = row.repeated}};
    });
    EventLoop loop;
    loop.start();
    std::unique_ptr<HttpClient> client;
    std::vector<std::future<std::variant<HttpResponse, HttpClient::Failure>>> results;
    for (int call = 0; call < 5; ++call) {
        const auto promise = std::make_shared<std::promise<std::variant<HttpResponse, HttpClient::Failure>>>();
        results.push_back(promise->get_future());
        loop.runAndWait([&] {
            client = client ? std::move(client) : std::make_unique<HttpClient>(loop.context(), HttpClient::Options{});
            client->send(
                {.endpoint = server.endpoint(), .request = {.method = "GET", .path = "/"}},
                [promise](auto result) { promise->set_value(std::move(result)); }, 1'000'000);
        });
    }
    for (auto &result : results) {
        const auto ended = result.get();
        const auto *failure = std::get_if<HttpClient::Failure>(&ended);
        ASSERT_NE(failure, nullptr);
        EXPECT_EQ(failure->reason, row.reason);
    }
    while (server.peerCloseCount() < 5) {
        std::this_thread::sleep_for(10ms); // the test's time limit ends it
    }
    loop.runAndWait([&] { client.reset(); });
    loop.stop();
}

INSTANTIATE_TEST_SUITE_P(All, EndlessResponsesToControlCalls, testing::ValuesIn(ClientRows),
                         [](const auto &info) { return info.param.name; });

} // namespace
