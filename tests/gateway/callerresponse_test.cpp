#include "heatherridge_transport/direct/callerresponse.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Records what is sent to the caller and the calls that came out of order. */
class RecordingExchange final : public HttpExchange
{
public:
    const HttpRequest &request() const override
    {
        return m_request;
    }

    void onClosed(std::function<void()>) override
    {
    }

    const std::string &sent() const
    {
        return m_sent;
    }

    int outOfOrderCount() const
    {
        return m_outOfOrderCount;
    }

private:
    void sendResponse(HttpResponse response) override
    {
        m_sent += "respond " + std::to_string(response.status) + " " + response.body + ";";
    }

    void sendStreamHead(int status, const std::vector<HttpHeader> &headers) override
    {
        m_sent += "begin " + std::to_string(status);
        for (const auto &header : headers) {
            m_sent += " " + header.name + "=" + header.value;
        }
        m_sent += ";";
    }

    void sendStreamBytes(std::string bytes, WriteCallback done) override
    {
        m_sent += "write " + bytes + ";";
        done(true);
    }

    void sendStreamEnd() override
    {
        m_sent += "end;";
    }

    void closeConnection() override
    {
        m_sent += "close;";
    }

    void recordOutOfOrder() override
    {
        ++m_outOfOrderCount;
    }

    HttpRequest m_request;
    std::string m_sent;
    int m_outOfOrderCount = 0;
};

struct ConclusionCase
{
    const char *name;
    int forwardedEvents; ///< before the call ends; 0: the response has not begun
    CallOutcome outcome;
    const char *sent; ///< after the forwarded events
    const char *outcomeText;
    int status;
};

const ConclusionCase ConclusionCases[] = {
    {"WholeAnswer", 0, WholeAnswer{{.status = 201, .body = "made"}}, "respond 201 made;", "delivered", 201},
    {"FailureOfTheTarget", 0, WholeAnswer{{.status = 400, .body = "no"}}, "respond 400 no;", "target-failure", 400},
    {"EmptyStream", 0, CompleteStream{.status = 202, .headers = {{.name = "A", .value = "b"}}}, "begin 202 A=b;end;",
     "delivered", 202},
    {"LocalError", 0, LocalError{{.status = 503, .body = "full"}, "no-target"}, "respond 503 full;", "no-target", 503},
    {"AbandonedCall", 0, AbandonedCall{}, "close;", "", 0},
    {"WholeAnswerInAStream", 1, WholeAnswer{{.status = 201, .body = "made"}}, "close;",
     "stream-broken: target answered 201", 200},
    {"FailureOfTheTargetInAStream", 2, WholeAnswer{{.status = 500, .body = "no"}}, "close;",
     "stream-broken: target answered 500", 200},
    {"CompleteStream", 2, CompleteStream{.status = 200}, "end;", "delivered", 200},
    {"LocalErrorInAStream", 1, LocalError{{.status = 503, .body = "full"}, "no-target"}, "close;",
     "stream-broken: no-target", 200},
    {"AbandonedCallInAStream", 1, AbandonedCall{}, "close;", "", 0},
};

class Conclusions : public testing::TestWithParam<ConclusionCase>
{
};

// Guards against an end of a call that sends its caller a second response, or the rest of one, inside a stream that has
// begun, and against a log line that tells another end than the caller saw.
TEST_P(Conclusions, SendOneResponseAndTellHowItEnded)
{
    const auto &testCase = GetParam();
    const auto exchange = std::make_shared<RecordingExchange>();
    const auto response = std::make_shared<CallerResponse>(exchange);
    std::string expected;
    for (int event = 0; event < testCase.forwardedEvents; ++event) {
        expected += event == 0 ? "begin 200;" : "";
        expected += "write event;";
        response->forward("event", 200, {});
    }
    EXPECT_EQ(response->hasBegun(), testCase.forwardedEvents > 0);
    const auto conclusion = response->conclude(testCase.outcome);
    EXPECT_EQ(exchange->sent(), expected + testCase.sent);
    EXPECT_EQ(exchange->outOfOrderCount(), 0);
    EXPECT_EQ(conclusion.outcome, testCase.outcomeText);
    EXPECT_EQ(conclusion.status, testCase.status);
}

INSTANTIATE_TEST_SUITE_P(All, Conclusions, testing::ValuesIn(ConclusionCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
