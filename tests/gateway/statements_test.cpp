#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <mutex>
#include <optional>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;

constexpr auto BackoffTime = 2s;
/** What the users require of a gateway that a target has asked to back off. */
constexpr auto BackoffSettlingTime = 500ms;
constexpr std::ptrdiff_t MaxRequestsInBackoff = 2;
/** What the users require of a gateway that has passed on an answer of a target that drains. */
constexpr auto DrainTime = 2s;

/** Returns a refusal of @p request with the headers @p statement. */
std::string refusal(const std::string &request, const std::string &statement)
{
    return "HTTP/1.1 503 X\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Not-Executed: 1\r\n" + statement + "Content-Length: 0\r\n\r\n";
}

/** Returns a complete signed event stream in answer to @p request. */
std::string streamResponse(const std::string &request)
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    return signedResponse(request, events, 200, "Content-Type: text/event-stream\r\n");
}

/** A target that answers as scripted and records when its requests arrive. */
class RecordingTarget
{
public:
    using Answer = std::function<std::string(const std::string &request)>;

    explicit RecordingTarget(Answer answer)
        : m_answer(std::move(answer))
        , m_target([this](const std::string &request, int) { return respond(request); })
    {
    }

    const ScriptedTarget &target() const
    {
        return m_target;
    }

    std::vector<SteadyTime> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

private:
    Actions respond(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(std::chrono::steady_clock::now());
        return {{.bytes = m_answer(request)}};
    }

    Answer m_answer;
    mutable std::mutex m_mutex;
    std::vector<SteadyTime> m_arrivals;
    ScriptedTarget m_target;
};

/** Returns the largest number of arrivals between BackoffSettlingTime and BackoffTime after any one of @p arrivals,
 * each of which was answered with the request to back off. */
std::ptrdiff_t maxArrivalsInBackoff(const std::vector<SteadyTime> &arrivals)
{
    std::ptrdiff_t maxArrivals = 0;
    for (const auto refusedAt : arrivals) {
        const auto first = std::lower_bound(arrivals.begin(), arrivals.end(), refusedAt + BackoffSettlingTime);
        const auto last = std::lower_bound(arrivals.begin(), arrivals.end(), refusedAt + BackoffTime);
        maxArrivals = std::max(maxArrivals, last - first);
    }
    return maxArrivals;
}

struct RequestRow
{
    const char *name;
    const char *method;
    const char *path;
    std::string (*answer)(const std::string &request); ///< of a target that serves it
};

std::string plainResponse(const std::string &request)
{
    return signedResponse(request, "good");
}

const RequestRow RequestRows[] = {
    {"LookUps", "GET", "/look/1", plainResponse},
    {"Bookings", "POST", "/book/1", plainResponse},
    {"Streams", "POST", "/stream/1", streamResponse},
};

class TargetsInBackoff : public testing::TestWithParam<RequestRow>
{
};

std::string backoffRefusal(const std::string &request)
{
    return refusal(request, "Retry-After: " + std::to_string(BackoffTime.count()) + "\r\n");
}

/** Sends requests of several callers through a gateway in front of @p targets for @p duration; returns the answers. */
std::vector<RawCaller::Answer> callFor(std::chrono::milliseconds duration, const RequestRow &row,
                                       const std::vector<const ScriptedTarget *> &targets)
{
    constexpr int callerCount = 4;
    constexpr auto period = 50ms;
    const GatewayFixture gateway(targets);
    std::vector<std::unique_ptr<RawCaller>> callers;
    callers.reserve(callerCount);
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.push_back(std::make_unique<RawCaller>(gateway.callerEndpoint()));
    }
    std::vector<RawCaller::Answer> answers;
    for (auto elapsed = 0ms; elapsed < duration; elapsed += period) {
        for (const auto &caller : callers) {
            caller->send(requestText(row.method, row.path, "r" + std::to_string(answers.size())));
        }
        for (const auto &caller : callers) {
            answers.push_back(caller->receive());
        }
        std::this_thread::sleep_for(period);
    }
    return answers;
}

std::ptrdiff_t countStatus(const std::vector<RawCaller::Answer> &answers, int status)
{
    return std::count_if(answers.begin(), answers.end(),
                         [status](const auto &answer) { return answer.status == status; });
}

// Guards against a target that asked to back off and keeps getting the requests of other callers.
TEST_P(TargetsInBackoff, GetNoRequests)
{
    const RecordingTarget refusing(backoffRefusal);
    const RecordingTarget other(GetParam().answer);
    const auto answers = callFor(4s, GetParam(), {&refusing.target(), &other.target()});
    EXPECT_LE(maxArrivalsInBackoff(refusing.arrivals()), MaxRequestsInBackoff);
    EXPECT_EQ(countStatus(answers, 200), static_cast<std::ptrdiff_t>(answers.size())) << "the other target serves all";
    EXPECT_GT(refusing.arrivals().size(), 1U) << "it gets work again after its back-off";
}

// Guards against requests that are sent to a target in back-off because there is no other.
TEST_P(TargetsInBackoff, GetNoRequestsWhenAllAreInBackoff)
{
    const RecordingTarget first(backoffRefusal);
    const RecordingTarget second(backoffRefusal);
    const auto answers = callFor(3s, GetParam(), {&first.target(), &second.target()});
    EXPECT_LE(maxArrivalsInBackoff(first.arrivals()), MaxRequestsInBackoff);
    EXPECT_LE(maxArrivalsInBackoff(second.arrivals()), MaxRequestsInBackoff);
    EXPECT_EQ(countStatus(answers, 503), static_cast<std::ptrdiff_t>(answers.size()));
    for (const auto &answer : answers) {
        EXPECT_NE(answer.head.find("Retry-After"), std::string::npos) << "each caller is told when to come back";
    }
}

INSTANTIATE_TEST_SUITE_P(All, TargetsInBackoff, testing::ValuesIn(RequestRows),
                         [](const auto &row) { return row.param.name; });

class DrainingTargets : public testing::TestWithParam<RequestRow>
{
};

// Guards against new requests to a target that has said in an answer that it is shutting down.
TEST_P(DrainingTargets, GetNoRequestsAfterTheDrainTime)
{
    const RecordingTarget draining([answer = GetParam().answer](const std::string &request) {
        auto response = answer(request);
        const std::string statement = "Server-Leaving: 1\r\n";
        return response.insert(response.find("\r\n") + 2, statement);
    });
    const RecordingTarget staying(GetParam().answer);
    const auto answers = callFor(3s, GetParam(), {&draining.target(), &staying.target()});
    const auto arrivals = draining.arrivals();
    ASSERT_FALSE(arrivals.empty());
    EXPECT_LE(arrivals.back(), arrivals.front() + DrainTime);
    EXPECT_EQ(countStatus(answers, 200), static_cast<std::ptrdiff_t>(answers.size()));
}

INSTANTIATE_TEST_SUITE_P(All, DrainingTargets, testing::ValuesIn(RequestRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
