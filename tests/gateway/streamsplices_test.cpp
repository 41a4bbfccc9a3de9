#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

enum class AnswerEnd {
    Whole, ///< as its length says
    Reset, ///< the connection is reset before the end
    Unframed, ///< an orderly end of the connection; the answer has no length
};

/** Answer of the target of one attempt. */
struct AttemptAnswer
{
    std::string body;
    AnswerEnd end = AnswerEnd::Whole;
    int status = 200;
};

Actions actionsFor(const AttemptAnswer &answer, const std::string &request)
{
    switch (answer.end) {
    case AnswerEnd::Whole:
        return {{.bytes = signedResponse(request, answer.body, answer.status)}};
    case AnswerEnd::Reset:
        // The wait lets the gateway read the bytes, which a reset may discard.
        return {{.bytes = unframedResponse(request, answer.body, answer.status)},
                {.kind = Kind::Wait, .duration = 100ms},
                {.kind = Kind::Reset}};
    case AnswerEnd::Unframed:
        break;
    }
    return {{.bytes = unframedResponse(request, answer.body, answer.status)}, {.kind = Kind::Close}};
}

std::string event(int id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

struct SpliceCase
{
    const char *name;
    std::vector<AttemptAnswer> answers; ///< in the order of the attempts; the last one is repeated
    std::string body; ///< that the caller gets
    bool isWhole;
    int attempts; ///< at all targets together
    int maxAttempts = 2;
    std::string headers{}; ///< of the caller, besides the usual ones
};

const std::string EventWithoutId = "data: x\n\n";

const SpliceCase SpliceCases[] = {
    {"EventsWithoutId",
     {{EventWithoutId, AnswerEnd::Reset}, {EventWithoutId + "data: y\n\n"}},
     EventWithoutId,
     false,
     1},
    {"EventWithoutIdAfterOneWithId",
     {{event(1, "a") + EventWithoutId, AnswerEnd::Reset}, {event(2, "b")}},
     event(1, "a") + EventWithoutId,
     false,
     1},
    {"EventWithoutIdBeforeOneWithId",
     {{EventWithoutId + event(1, "a"), AnswerEnd::Reset}, {event(2, "b")}},
     EventWithoutId + event(1, "a") + event(2, "b"),
     true,
     2},
    {"CommentAfterAnEventWithId",
     {{event(1, "a") + ": comment\n\n", AnswerEnd::Reset}, {event(2, "b")}},
     event(1, "a") + ": comment\n\n" + event(2, "b"),
     true,
     2},
    {"EventWithoutIdRepeatedAmongEarlierOnes",
     {{event(1, "a") + EventWithoutId + event(2, "b"), AnswerEnd::Reset},
      {event(1, "a") + EventWithoutId + event(2, "b") + event(3, "c")}},
     event(1, "a") + EventWithoutId + event(2, "b") + event(3, "c"),
     true,
     2},
    {"ResumedByEventsWithoutId",
     {{event(1, "a"), AnswerEnd::Reset}, {EventWithoutId}, {event(2, "b")}},
     event(1, "a") + event(2, "b"),
     true,
     3,
     3},
    {"ResumedByAnEventWithoutIdAfterARepeatedOne",
     {{event(1, "a"), AnswerEnd::Reset}, {event(1, "a") + EventWithoutId + event(2, "b")}},
     event(1, "a") + EventWithoutId + event(2, "b"),
     true,
     2},
    {"ResumedWithoutLengthAndEvents",
     {{event(1, "a"), AnswerEnd::Reset}, {"", AnswerEnd::Unframed}},
     event(1, "a"),
     false,
     2},
    {"ResumedAfterAnAnswerWithoutLengthAndEvents",
     {{event(1, "a"), AnswerEnd::Reset}, {"", AnswerEnd::Unframed}, {event(2, "b")}},
     event(1, "a") + event(2, "b"),
     true,
     3,
     3},
    {"GapAfterTheLastEventOfTheCaller",
     {{event(15, "late")}, {event(13, "next")}},
     event(13, "next"),
     true,
     2,
     2,
     "Last-Event-Id: 12\r\n"},
    {"RejectionByATargetThatDoesNotResume",
     {{event(1, "a"), AnswerEnd::Reset}, {"unknown", AnswerEnd::Whole, 404}, {event(2, "b")}},
     event(1, "a") + event(2, "b"),
     true,
     3,
     3},
    {"EmptyAnswerOfATargetThatDoesNotResume",
     {{event(1, "a"), AnswerEnd::Reset}, {"", AnswerEnd::Whole, 204}, {event(2, "b")}},
     event(1, "a") + event(2, "b"),
     true,
     3,
     3},
    {"FailureOfATargetThatDoesNotResume",
     {{event(1, "a"), AnswerEnd::Reset}, {"failed", AnswerEnd::Whole, 500}, {event(2, "b")}},
     event(1, "a") + event(2, "b"),
     true,
     3,
     3},
    {"EventLeftOut",
     {{event(1, "a") + event(3, "c")}, {event(2, "b") + event(3, "c")}},
     event(1, "a") + event(2, "b") + event(3, "c"),
     true,
     2},
    {"EventLeftOutTwice", {{event(1, "a") + event(3, "c")}}, event(1, "a"), false, 2},
};

class StreamSplices : public testing::TestWithParam<SpliceCase>
{
};

// Guards against a stream in which an event is missing or comes twice because targets that send parts of it begin at
// different events, and against one that is given up although it can still be resumed.
TEST_P(StreamSplices, HaveEachEventOnce)
{
    const auto &testCase = GetParam();
    std::atomic<int> attempts = 0;
    const auto script = [&](const std::string &request, int) {
        const auto attempt = static_cast<std::size_t>(attempts++);
        return actionsFor(testCase.answers[std::min(attempt, testCase.answers.size() - 1)], request);
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    const ScriptedTarget third(script);
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.maxAttempts = testCase.maxAttempts;
    }
    GatewayFixture gateway({&first, &second, &third}, {.config = config});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r1", "prompt", testCase.headers));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isInProtocol);
    EXPECT_EQ(answer.body, testCase.body);
    EXPECT_EQ(answer.isWhole, testCase.isWhole);
    EXPECT_EQ(attempts, testCase.attempts);
}

INSTANTIATE_TEST_SUITE_P(All, StreamSplices, testing::ValuesIn(SpliceCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
