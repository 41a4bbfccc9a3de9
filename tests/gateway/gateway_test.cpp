#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <cstdio>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

TargetAction sendBytes(std::string bytes)
{
    return {.bytes = std::move(bytes)};
}

TargetAction waitFor(std::chrono::milliseconds time)
{
    return {.kind = Kind::Wait, .duration = time};
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string streamHead(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
}

/** A script that answers every request successfully. */
Actions answerGood(const std::string &request, int)
{
    return {sendBytes(signedResponse(request, "good"))};
}

std::string refusalTo(const std::string &request)
{
    return "HTTP/1.1 503 Full\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

struct AnswerCase
{
    const char *description;
    ScriptedTarget::Script firstScript; ///< runs for the first request; later ones are answered successfully
    const char *path; ///< of the request
    int status;
    const char *body;
    std::size_t requests = 1; ///< received by both targets together
};

const AnswerCase AnswerCases[] = {
    {"a complete answer", answerGood, "/look/1", 200, "good"},
    {"an error answer of the target, for a booking",
     [](const auto &request, int) { return Actions{sendBytes(signedResponse(request, "bad", 500))}; }, "/book/1", 500,
     "bad"},
    {"an answer delimited by the end of its connection",
     [](const auto &request, int) {
         return Actions{sendBytes("HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: "
                                  + requestHeader(request, "X-Heatherridge-Request-Id")
                                  + "\r\nX-Heatherridge-Response-Signature: s\r\n\r\ngood"),
                        {.kind = Kind::Close}};
     },
     "/look/1", 200, "good"},
    {"a refused request is sent to another target, even a booking",
     [](const auto &request, int) { return Actions{sendBytes(refusalTo(request))}; }, "/book/1", 200, "good", 2},
    // The target executed the booking and its answer was lost: sent to another target, it would be made twice.
    {"a booking whose connection is reset is not retried",
     [](const auto &, int) { return Actions{{.kind = Kind::Reset}}; }, "/book/1", 502, nullptr},
    {"a look-up whose connection is reset is retried", [](const auto &, int) { return Actions{{.kind = Kind::Reset}}; },
     "/look/1", 200, "good", 2},
    {"a truncated answer is not forwarded as complete",
     [](const auto &request, int) {
         const auto whole = signedResponse(request, "a longer answer");
         return Actions{sendBytes(whole.substr(0, whole.size() - 4)), {.kind = Kind::Close}};
     },
     "/look/1", 200, "good", 2},
    {"an answer without length whose connection is reset is not complete",
     [](const auto &request, int) {
         return Actions{sendBytes("HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: "
                                  + requestHeader(request, "X-Heatherridge-Request-Id")
                                  + "\r\nX-Heatherridge-Response-Signature: s\r\n\r\ntorn"),
                        waitFor(50ms),
                        {.kind = Kind::Reset}};
     },
     "/look/1", 200, "good", 2},
    {"an answer to another request", [](const auto &, int) { return Actions{sendBytes(signedResponse("", "stolen"))}; },
     "/look/1", 200, "good", 2},
    {"bytes that are not an HTTP response",
     [](const auto &, int) { return Actions{sendBytes("garbage garbage\r\n\r\n")}; }, "/look/1", 200, "good", 2},
    {"an answer without a signature",
     [](const auto &request, int) {
         return Actions{sendBytes("HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: "
                                  + requestHeader(request, "X-Heatherridge-Request-Id")
                                  + "\r\nContent-Length: 5\r\n\r\nfalse")};
     },
     "/look/1", 200, "good", 2},
    {"a body with a content encoding that was not requested",
     [](const auto &request, int) {
         return Actions{sendBytes(signedResponse(request, "zip", 200, "Content-Encoding: gzip\r\n"))};
     },
     "/look/1", 200, "good", 2},
    // The status implies that the booking has not run, but the target does not confirm it: the caller would book again.
    {"a status that implies no execution, without the target's confirmation",
     [](const auto &request, int) { return Actions{sendBytes(signedResponse(request, "", 503))}; }, "/book/1", 502,
     nullptr},
    {"a look-up without an answer is retried within its objective",
     [](const auto &, int) { return Actions{{.kind = Kind::AwaitClose}}; }, "/look/1", 200, "good", 2},
    {"a booking without an answer fails at its timeout",
     [](const auto &, int) { return Actions{{.kind = Kind::AwaitClose}}; }, "/book/1", 504, nullptr},
    {"a path without a route", answerGood, "/none/1", 404, nullptr, 0},
};

class TargetResponses : public testing::TestWithParam<AnswerCase>
{
};

TEST_P(TargetResponses, AreForwardedCompleteOrNotAtAll)
{
    const auto &testCase = GetParam();
    // Whichever target receives the first request runs the script of the test case.
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int number) {
        return requestCount++ == 0 ? testCase.firstScript(request, number) : answerGood(request, number);
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", testCase.path, "r1"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, testCase.status) << testCase.description;
    EXPECT_TRUE(answer.isWhole) << testCase.description;
    if (testCase.body != nullptr) {
        EXPECT_EQ(answer.body, testCase.body) << testCase.description;
    }
    EXPECT_EQ(first.requests().size() + second.requests().size(), testCase.requests) << testCase.description;
}

INSTANTIATE_TEST_SUITE_P(All, TargetResponses, testing::ValuesIn(AnswerCases));

// Guards against a target that sends a second answer after a complete one: on a kept connection it would be taken for
// the answer to the next request, which another caller sent.
TEST(KeepAliveConnections, AreNotReusedAfterUnsolicitedBytes)
{
    const ScriptedTarget target([](const std::string &request, int) {
        return Actions{sendBytes(signedResponse(request, "own")), waitFor(30ms),
                       sendBytes(signedResponse(request, "stray"))};
    });
    GatewayFixture gateway({&target});
    for (int number = 0; number < 5; ++number) {
        RawCaller caller(gateway.callerEndpoint());
        caller.send(requestText("GET", "/look/1", "r" + std::to_string(number)));
        const auto answer = caller.receive();
        EXPECT_EQ(answer.body, "own");
        EXPECT_NE(answer.head.find("r" + std::to_string(number)), std::string::npos);
        std::this_thread::sleep_for(number % 2 == 0 ? 0ms : 60ms);
    }
}

TEST(KeepAliveConnections, ServePipelinedRequestsInOrder)
{
    const ScriptedTarget target([](const std::string &request, int) {
        return Actions{sendBytes(signedResponse(request, requestHeader(request, "X-Heatherridge-Request-Id")))};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", "/look/1", "a") + requestText("POST", "/book/1", "b", "body")
                + requestText("GET", "/look/1", "c"));
    for (const auto *id : {"a", "b", "c"}) {
        EXPECT_EQ(caller.receive().body, id);
    }
}

TEST(Requests, AreForwardedUnchangedExceptHopByHopHeaders)
{
    const ScriptedTarget target(answerGood);
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(
        "POST /book/a%20b?x=1&y HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r9\r\nX-Own: kept\r\nConnection: "
        "X-Hop\r\nX-Hop: dropped\r\nTransfer-Encoding: chunked\r\nX-Heatherridge-Deadline-Ms: "
        "900\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    EXPECT_EQ(caller.receive().status, 200);
    ASSERT_EQ(target.requests().size(), 1U);
    const auto request = target.requests().front();
    EXPECT_TRUE(request.starts_with("POST /book/a%20b?x=1&y HTTP/1.1\r\n")) << request;
    EXPECT_TRUE(request.ends_with("\r\n\r\nabcde")) << request;
    EXPECT_EQ(requestHeader(request, "X-Own"), "kept");
    EXPECT_EQ(requestHeader(request, "X-Hop"), "");
    EXPECT_EQ(requestHeader(request, "Transfer-Encoding"), "");
    EXPECT_EQ(requestHeader(request, "X-Heatherridge-Expect-Instance"), "t0");
    EXPECT_LE(std::stoi(requestHeader(request, "X-Heatherridge-Deadline-Ms")), 900);
}

struct BadRequestCase
{
    const char *description;
    std::string bytes;
    int status; ///< 0 if the connection is closed without an answer
};

const BadRequestCase BadRequestCases[] = {
    {"not HTTP", "hello there\r\n\r\n", 400},
    {"headers larger than the limit",
     "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Big: " + std::string(5'000, 'x') + "\r\n\r\n", 431},
    {"a body larger than the limit", "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n", 413},
    {"a chunked body larger than the limit",
     "POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + std::string(200'000, 'x'),
     413},
    {"two different content lengths",
     "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", 400},
    {"a content length with chunked encoding",
     "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
    {"a space after the name of the length",
     "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r\r\nContent-Length : 3\r\n\r\nabc", 400},
    {"a space after the name of the chunked encoding",
     "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
     400},
    {"a space in the name of a header",
     "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r\r\nX-O n: a\r\n\r\n", 400},
    {"a compressed body",
     "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
     "3\r\nabc\r\n0\r\n\r\n",
     400},
    {"a head that never ends", "GET /look/1 HTTP/1.1\r\nHost: h\r\n", 408},
    {"no request id", "GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
    {"a deadline that is not a number",
     "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r\r\nX-Heatherridge-Deadline-Ms: soon\r\n\r\n",
     400},
    {"a CONNECT request", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
};

class BadRequests : public testing::TestWithParam<BadRequestCase>
{
};

TEST_P(BadRequests, GetAnErrorStatus)
{
    const ScriptedTarget target(answerGood);
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(GetParam().bytes);
    EXPECT_EQ(caller.receive().status, GetParam().status) << GetParam().description;
    EXPECT_TRUE(target.requests().empty()) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, BadRequests, testing::ValuesIn(BadRequestCases));

// Guards against a target that keeps working for a caller that disconnected while its booking ran: a hundred such
// callers fill it. The connection is reset because after an orderly close, a request that is queued at a frozen host
// still reaches its target seconds later.
TEST(CallerDisconnects, ResetTheTargetConnection)
{
    const ScriptedTarget target([](const std::string &, int) { return Actions{{.kind = Kind::AwaitClose}}; });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/book/1", "r1", "body"));
    while (target.requests().empty()) {
        std::this_thread::sleep_for(5ms);
    }
    caller.close();
    constexpr int maxWaits = 400;
    for (int waits = 0; target.peerCloseCount() == 0 && waits < maxWaits; ++waits) {
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(target.peerResetCount(), 1);
}

// Guards against a torn or duplicate event when a target dies in the middle of one. The stream must resume at another
// target after the last complete event.
TEST(EventStreams, ResumeAtAnotherTargetAfterTheLastCompleteEvent)
{
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        if (++requestCount == 1) {
            return Actions{sendBytes(streamHead(request) + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\nda")),
                           waitFor(50ms),
                           {.kind = Kind::Reset}};
        }
        EXPECT_EQ(requestHeader(request, "Last-Event-Id"), "2");
        return Actions{sendBytes(streamHead(request) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n")};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r1", "prompt"));
    const auto answer = caller.receive();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3) + event(4));
}

// Guards against a gateway that abandons streams at a silent engine although no other engine can take them: a group of
// engines stalls for a second and a half and then continues, but its callers' answers have been cut off.
TEST(EventStreams, StayAtASilentTargetWithoutAnAlternative)
{
    const ScriptedTarget target([](const std::string &request, int) {
        return Actions{sendBytes(streamHead(request) + chunk(event(1))), waitFor(1'600ms),
                       sendBytes(chunk(event(2)) + "0\r\n\r\n")};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r1", "prompt"));
    const auto answer = caller.receive();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, event(1) + event(2));
    EXPECT_EQ(target.requests().size(), 1U);
}

TEST(EventStreams, AreAbortedWhenTheyCannotResume)
{
    const ScriptedTarget target([](const std::string &request, int number) {
        if (number > 0) {
            return Actions{{.kind = Kind::Reset}};
        }
        return Actions{sendBytes(streamHead(request) + chunk(event(1))), waitFor(50ms), {.kind = Kind::Reset}};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r1", "prompt"));
    const auto answer = caller.receive();
    EXPECT_FALSE(answer.isWhole);
    EXPECT_EQ(answer.body, event(1));
}

// During a planned stop, running requests get their answers, new callers are still served, kept connections are closed
// after an answer, and the readiness check fails at once.
TEST(PlannedStops, CompleteOpenAndNewRequests)
{
    const ScriptedTarget target([](const std::string &request, int) {
        return Actions{waitFor(400ms), sendBytes(signedResponse(request, "late but whole"))};
    });
    GatewayFixture gateway({&target});
    RawCaller running(gateway.callerEndpoint());
    running.send(requestText("POST", "/book/1", "r1", "body"));
    while (target.requests().empty()) {
        std::this_thread::sleep_for(5ms);
    }
    gateway.beginStop();
    std::this_thread::sleep_for(50ms);
    RawCaller balancer(gateway.readinessEndpoint());
    balancer.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(balancer.receive().status, 503);
    RawCaller late(gateway.callerEndpoint());
    late.send(requestText("POST", "/book/1", "r2", "body"));
    for (auto *caller : {&running, &late}) {
        const auto answer = caller->receive();
        EXPECT_EQ(answer.body, "late but whole");
        EXPECT_NE(answer.head.find("Connection: close"), std::string::npos);
    }
    gateway.awaitStop();
}

} // namespace
