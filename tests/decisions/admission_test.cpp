#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

WorkRequest request(int number, const std::string &workspace, SteadyTime deadline = Start + 1h, double cost = 100)
{
    return {.id = RequestId(std::to_string(number)),
            .workspace = WorkspaceName(workspace),
            .cost = cost,
            .deadline = deadline};
}

const Error *refusalOf(const OfferResult &offer)
{
    return std::get_if<Error>(&offer);
}

/** Lets @p queue measure that a request of @p cost takes @p duration. */
void recordServiceTime(AdmissionQueue &queue, double cost, std::chrono::microseconds duration)
{
    auto sample = request(-1, "teacher", Start + 1h, cost);
    ASSERT_TRUE(std::holds_alternative<Started>(queue.offer(sample, Start - duration)));
    queue.finish(sample.id, cost, Start);
}

// Guards against starting or queueing a request whose deadline the target cannot meet, either because the request
// itself takes longer or because of the requests ahead of it. The result would be a late answer or a late refusal.
TEST(AdmissionQueue, RefusesUnreachableDeadlineWithRetryAfter)
{
    AdmissionQueue queue;
    recordServiceTime(queue, 100, 100ms);
    const auto tooShort = queue.offer(request(1, "a", Start + 50ms), Start);
    ASSERT_NE(refusalOf(tooShort), nullptr);
    EXPECT_EQ(refusalOf(tooShort)->kind, ErrorKind::DeadlineUnreachable);
    EXPECT_EQ(refusalOf(tooShort)->ranOrDefault(), ExecutionStatus::No);
    EXPECT_TRUE(std::holds_alternative<Started>(queue.offer(request(2, "a", Start + 150ms), Start)));
    EXPECT_TRUE(std::holds_alternative<Queued>(queue.offer(request(3, "a", Start + 250ms), Start)));
    const auto queuedBehind = queue.offer(request(4, "a", Start + 150ms), Start);
    ASSERT_NE(refusalOf(queuedBehind), nullptr);
    EXPECT_GE(refusalOf(queuedBehind)->retryAfter, 100ms);
}

// Guards against holding a request until its deadline passes: when the target stalls, a waiting request is refused as
// soon as its deadline cannot be met any more.
TEST(AdmissionQueue, AbandonsWaitingRequestOnceDeadlineIsUnreachable)
{
    AdmissionQueue queue;
    recordServiceTime(queue, 100, 100ms);
    queue.offer(request(1, "a"), Start);
    queue.offer(request(2, "a", Start + 300ms), Start);
    ASSERT_EQ(queue.nextSweep(), Start + 200ms);
    queue.sweep(Start + 200ms + 1us);
    const auto abandoned = queue.collectAbandoned();
    ASSERT_EQ(abandoned.size(), 1U);
    EXPECT_EQ(abandoned[0].id, RequestId("2"));
    EXPECT_EQ(abandoned[0].error.ranOrDefault(), ExecutionStatus::No);
    EXPECT_FALSE(queue.cancel(RequestId("2")));
}

struct ServiceOrderCase
{
    const char *description;
    std::vector<WorkRequest> waiting;
    std::vector<std::string> order;
};

WorkRequest withPriorityAndCost(WorkRequest request, int priority, double cost = 100)
{
    request.priority = priority;
    request.cost = cost;
    return request;
}

const ServiceOrderCase ServiceOrderCases[] = {
    {"first come, first served within a class", {request(1, "a"), request(2, "a")}, {"1", "2"}},
    {"higher priority first", {request(1, "a"), withPriorityAndCost(request(2, "a"), 5)}, {"2", "1"}},
    {"a workspace that sent more is not served first twice",
     {request(1, "a"), request(2, "a"), request(3, "b")},
     {"1", "3", "2"}},
    {"short before long", {withPriorityAndCost(request(1, "a"), 0, 5000), request(2, "a")}, {"2", "1"}},
};

class ServiceOrder : public testing::TestWithParam<ServiceOrderCase>
{
};

TEST_P(ServiceOrder, MatchesExpectedOrder)
{
    AdmissionQueue queue({.burst = 0, .longRequestShare = 1});
    queue.offer(request(0, "other"), Start);
    for (const auto &waiting : GetParam().waiting) {
        ASSERT_TRUE(std::holds_alternative<Queued>(queue.offer(waiting, Start)));
    }
    std::vector<std::string> order;
    auto running = RequestId("0");
    for (std::size_t i = 0; i < GetParam().waiting.size(); ++i) {
        queue.finish(running, 100, Start + 1ms);
        running = queue.startNext(Start + 1ms).value_or(RequestId{});
        order.push_back(running.text());
    }
    EXPECT_EQ(order, GetParam().order) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, ServiceOrder, testing::ValuesIn(ServiceOrderCases));

// Guards against a workspace that locks out others by filling the whole queue.
TEST(AdmissionQueue, FullQueueEvictsOldestRequestOfLargestWorkspace)
{
    AdmissionQueue queue({.queueCapacity = 4});
    for (int i = 0; i < 5; ++i) {
        queue.offer(request(i, "hog"), Start);
    }
    EXPECT_EQ(refusalOf(queue.offer(request(5, "hog"), Start))->kind, ErrorKind::QueueFull);
    EXPECT_TRUE(std::holds_alternative<Queued>(queue.offer(request(6, "other"), Start)));
    const auto abandoned = queue.collectAbandoned();
    ASSERT_EQ(abandoned.size(), 1U);
    EXPECT_EQ(abandoned[0].id, RequestId("1"));
}

// Drains a target while requests wait: each waiting caller gets "not run" exactly once, and nothing starts afterwards.
TEST(AdmissionQueue, DrainAbandonsWaitingRequestsAndStartsNone)
{
    AdmissionQueue queue;
    queue.offer(request(1, "a"), Start);
    queue.offer(request(2, "a"), Start);
    queue.drain();
    EXPECT_EQ(queue.collectAbandoned().size(), 1U);
    EXPECT_EQ(refusalOf(queue.offer(request(3, "a"), Start))->kind, ErrorKind::Draining);
    queue.finish(RequestId("1"), 100, Start);
    EXPECT_EQ(queue.startNext(Start), std::nullopt);
    EXPECT_TRUE(queue.collectAbandoned().empty());
}

// For any order of offer, cancel and finish: an abandoned or cancelled request never starts, each request has exactly
// one outcome, and no more requests run than the limit allows.
RC_GTEST_PROP(AdmissionQueue, EveryRequestHasOneOutcome, ())
{
    AdmissionQueue queue({.queueCapacity = 6, .overloadDelay = 20ms, .maxOverloadWait = 10ms});
    queue.setLimit(3);
    std::map<RequestId, std::string> outcomes;
    std::vector<RequestId> running;
    auto now = Start;
    const auto recordOutcome = [&](const RequestId &id, const char *outcome) {
        RC_ASSERT(outcomes.emplace(id, outcome).second);
    };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    int number = 0;
    for (const int step : steps) {
        now += std::chrono::milliseconds(step % 7);
        if (step < 60) {
            const auto next =
                withPriorityAndCost(request(number++, step % 2 == 0 ? "a" : "b", now + std::chrono::milliseconds(step)),
                                    step % 5, 1 + (step * 37) % 500);
            const auto offer = queue.offer(next, now);
            if (std::holds_alternative<Started>(offer)) {
                recordOutcome(next.id, "started");
                running.push_back(next.id);
            } else if (refusalOf(offer) != nullptr) {
                recordOutcome(next.id, "refused");
            }
        } else if (step < 85 && !running.empty()) {
            queue.finish(running.back(), step, now);
            running.pop_back();
        } else if (number > 0 && queue.cancel(RequestId(std::to_string(step % number)))) {
            recordOutcome(RequestId(std::to_string(step % number)), "cancelled");
        }
        while (const auto started = queue.startNext(now)) {
            recordOutcome(*started, "started");
            running.push_back(*started);
        }
        for (const auto &abandoned : queue.collectAbandoned()) {
            recordOutcome(abandoned.id, "abandoned");
        }
        RC_ASSERT(running.size() <= 3U);
        RC_ASSERT(queue.load().waiting <= 6U);
    }
    queue.drain();
    for (const auto &abandoned : queue.collectAbandoned()) {
        recordOutcome(abandoned.id, "abandoned");
    }
    RC_ASSERT(outcomes.size() == static_cast<std::size_t>(number));
}

} // namespace
