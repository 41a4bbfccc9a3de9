#include "heatherridge_transport/http/httpclient.h"
#include "support/scriptedtarget.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

/** Sends one request to @p server with an HttpClient. @returns the response; empty if the call failed */
std::optional<HttpResponse> callWithClient(const ScriptedTarget &server, const HttpRequest &request)
{
    asio::io_context loop;
    HttpClient client(loop, {});
    std::optional<HttpResponse> response;
    bool isDone = false;
    client.send({.endpoint = server.endpoint(), .request = request, .timeout = 5s}, [&](auto result) {
        isDone = true;
        if (auto *received = std::get_if<HttpResponse>(&result)) {
            response = std::move(*received);
        }
    });
    while (!isDone) {
        loop.run_one();
    }
    return response;
}

struct AnswerCase
{
    const char *name;
    std::string bytes; ///< of the answer, after which the server closes the connection
    int status; ///< 0 if it is none
    std::string body = {};
};

std::string withStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withLine(const std::string &line)
{
    return "HTTP/1.1 200 X\r\nX-Signature: a\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok";
}

const AnswerCase AnswerCases[] = {
    {"Status200", withStatus("200 X"), 200, "ok"},
    {"StatusWithoutReason", withStatus("200"), 200, "ok"},
    {"InterimBefore", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + withStatus("200 X"), 200, "ok"},
    {"Trailers", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n\r\n", 200, "ok"},
    {"UntilTheEnd", "HTTP/1.1 200 X\r\n\r\nok", 200, "ok"},
    {"Status000", withStatus("000 X"), 0},
    {"Status099", withStatus("099 X"), 0},
    {"Status600", withStatus("600 X"), 0},
    {"Status999", withStatus("999 X"), 0},
    {"StatusOfTwoDigits", withStatus("20 X"), 0},
    {"StatusOfFourDigits", withStatus("0200 X"), 0},
    {"OnlyAnInterim", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n", 0},
    {"SwitchOfProtocols", "HTTP/1.1 101 X\r\nUpgrade: a\r\n\r\nok", 0},
    {"NameWithABlank", withLine("X A: 1"), 0},
    {"NameEndsWithABlank", withLine("X-A : 1"), 0},
    {"NameBeginsWithABlank", withLine(" X-A: 1"), 0},
    {"NameWithAControlByte", withLine("X\x01: 1"), 0},
    {"NameBeyondAscii", withLine("X\x80: 1"), 0},
    {"EmptyName", withLine(": 1"), 0},
    {"NoColon", withLine("X-A 1"), 0},
    {"ValueWithAControlByte", withLine("X-A: \x01"), 0},
    {"FoldedLine", withLine(" b"), 0},
};

class AnswersToAClient : public testing::TestWithParam<AnswerCase>
{
};

// Guards against bytes that are no answer in the protocol and reach a process as one.
TEST_P(AnswersToAClient, AreReportedOnlyWithinTheProtocol)
{
    const ScriptedTarget server([](const std::string &, int) {
        return Actions{{.bytes = GetParam().bytes}, {.kind = Kind::Close}};
    });
    const auto response = callWithClient(server, {.method = "GET", .path = "/"});
    ASSERT_EQ(response ? response->status : 0, GetParam().status);
    EXPECT_EQ(response ? response->body : "", GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(All, AnswersToAClient, testing::ValuesIn(AnswerCases),
                         [](const auto &info) { return std::string(info.param.name); });

enum class ThrowingCallback {
    Head,
    Data,
    Finished,
};

class CallbacksThatThrow : public testing::TestWithParam<ThrowingCallback>
{
};

/** Runs @p loop until @p isDone, as an EventLoop does: a handler that throws does not end it. */
void runUntil(asio::io_context &loop, const bool &isDone)
{
    while (!isDone) {
        try {
            loop.run_one();
        } catch (const std::runtime_error &) {
            continue;
        }
    }
}

// Guards against a client that makes no calls any more after one callback has thrown.
TEST_P(CallbacksThatThrow, LeaveTheClientUsable)
{
    const ScriptedTarget server([](const std::string &, int) { return Actions{{.bytes = withStatus("200 X")}}; });
    asio::io_context loop;
    HttpClient client(loop, {});
    const HttpClient::Call call{
        .endpoint = server.endpoint(), .request = {.method = "GET", .path = "/"}, .timeout = 5s};
    const auto throwAt = [](ThrowingCallback place) {
        if (GetParam() == place) {
            throw std::runtime_error("callback");
        }
    };
    bool isFirstDone = false;
    client.stream(call,
                  {.head = [&](int, const auto &) { throwAt(ThrowingCallback::Head); },
                   .data =
                       [&](std::string_view) {
                           throwAt(ThrowingCallback::Data);
                           return true;
                       },
                   .finished =
                       [&] {
                           isFirstDone = true;
                           throwAt(ThrowingCallback::Finished);
                       },
                   .failed = [&](const auto &) { isFirstDone = true; }});
    runUntil(loop, isFirstDone);
    bool isSecondDone = false;
    int status = 0;
    client.send(call, [&](auto result) {
        isSecondDone = true;
        const auto *response = std::get_if<HttpResponse>(&result);
        status = response != nullptr ? response->status : 0;
    });
    runUntil(loop, isSecondDone);
    EXPECT_EQ(status, 200);
}

INSTANTIATE_TEST_SUITE_P(All, CallbacksThatThrow,
                         testing::Values(ThrowingCallback::Head, ThrowingCallback::Data, ThrowingCallback::Finished));

class ResetUploadsOfAClient : public testing::TestWithParam<std::size_t>
{
};

// Guards against a part of an answer that is taken for whole while the request is still being sent.
TEST_P(ResetUploadsOfAClient, AreNeverAnsweredWithAPart)
{
    for (const auto pause : {0ms, 5ms, 30ms}) {
        for (int index = 0; index < 12; ++index) {
            const ScriptedTarget server(
                [pause](const std::string &, int) {
                    return Actions{{.bytes = "HTTP/1.1 200 X\r\n\r\npart"},
                                   {.kind = Kind::Wait, .duration = pause},
                                   {.kind = Kind::Reset}};
                },
                "127.0.0.1", ScriptedTarget::Reading::HeadsOnly);
            EXPECT_FALSE(callWithClient(server, {.method = "POST", .path = "/", .body = std::string(GetParam(), 'b')}));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, ResetUploadsOfAClient, testing::Values(2, 300'000, 1'000'000, 4'000'000));

} // namespace
