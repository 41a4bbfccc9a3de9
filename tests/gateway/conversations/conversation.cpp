#include "gateway/conversations/conversation.h"

#include "gateway/conversations/conversationcaller.h"
#include "gateway/conversations/conversationtargets.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include <unistd.h>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Timeout of the routes: a request whose target stays silent ends after it. */
constexpr milliseconds RouteTimeout{1'000};
/** Time for the gateway to notice that its callers have closed their connections. */
constexpr milliseconds MaxReleaseTime{10'000};

std::string pathOf(RequestPlan::Route route, const std::string &id)
{
    switch (route) {
    case RequestPlan::Route::LookUp:
        return "/look/" + id + "?q=" + id;
    case RequestPlan::Route::Booking:
        return "/book/" + id;
    case RequestPlan::Route::Stream:
        return "/stream/" + id;
    }
    return {};
}

std::vector<std::vector<ObservedRequest>> recordsFor(const ConversationPlan &plan)
{
    std::vector<std::vector<ObservedRequest>> callers(plan.callers.size());
    for (std::size_t caller = 0; caller < callers.size(); ++caller) {
        for (const auto &request : plan.callers[caller]) {
            const auto id = requestId(caller, callers[caller].size());
            callers[caller].push_back({.plan = request,
                                       .id = id,
                                       .path = pathOf(request.route, id),
                                       .body = std::string(request.bodyBytes, 'b')});
        }
    }
    return callers;
}

RoutingConfig configFor(const ConversationPlan &plan)
{
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.timeout = RouteTimeout;
        route.maxAttempts = route.kind == RequestKind::NonIdempotent ? 1 : plan.maxAttempts;
    }
    return config;
}

/**
 * Returns a loopback address for one conversation. With an address in common, the port of a crashed target or of a
 * stopped gateway could be taken by another conversation that is held at the same time.
 */
std::string nextAddress()
{
    static std::atomic<unsigned> count{0};
    constexpr unsigned values = 250; // of each part of an address
    const auto number = count++;
    return "127." + std::to_string(1 + static_cast<unsigned>(::getpid()) % values) + "."
        + std::to_string(number / values % values) + "." + std::to_string(1 + number % values);
}

/** Does what the plan says besides requests and answers. */
void disturb(const ConversationPlan &plan, ConversationTargets &targets, GatewayFixture &gateway)
{
    using Kind = Disturbance::Kind;
    const auto start = steady_clock::now();
    auto disturbances = plan.disturbances;
    std::ranges::stable_sort(disturbances, {}, &Disturbance::after);
    for (const auto &disturbance : disturbances) {
        std::this_thread::sleep_until(start + disturbance.after);
        const auto target = static_cast<std::size_t>(disturbance.target % plan.targets);
        switch (disturbance.kind) {
        case Kind::Stop:
            gateway.beginStop();
            break;
        case Kind::Crash:
            targets.crash(target);
            break;
        case Kind::Withdraw:
            gateway.withdrawTarget(target);
            break;
        case Kind::Return:
            gateway.returnTarget(target);
            break;
        }
    }
}

/** Returns the bytes of callers that the gateway holds when all of them have left. */
std::int64_t heldBytes(const GatewayFixture &gateway)
{
    const auto end = steady_clock::now() + MaxReleaseTime;
    while (true) {
        const auto held = gateway.metric("heatherridge_caller_held_bytes");
        if (held == 0 || steady_clock::now() > end) {
            return held;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

} // namespace

std::string requestId(std::size_t caller, std::size_t request)
{
    return "c" + std::to_string(caller) + "r" + std::to_string(request);
}

ObservedConversation hold(const ConversationPlan &plan)
{
    ObservedConversation record{.callers = recordsFor(plan), .isDisturbed = !plan.disturbances.empty()};
    const auto address = nextAddress();
    ConversationTargets targets(plan, address);
    GatewayFixture gateway(targets.all(), {.address = address, .config = configFor(plan)});
    std::vector<std::unique_ptr<ConversationCaller>> callers;
    std::vector<std::thread> threads;
    for (auto &requests : record.callers) {
        callers.push_back(std::make_unique<ConversationCaller>(gateway.callerEndpoint(), requests));
        threads.emplace_back([caller = callers.back().get()] { caller->run(); });
    }
    disturb(plan, targets, gateway);
    for (auto &thread : threads) {
        thread.join();
    }
    for (const auto &caller : callers) {
        record.surplusBytes += caller->closeAndCountSurplus();
    }
    if (!plan.stopsGateway()) {
        record.heldBytes = heldBytes(gateway);
    }
    // Requests that reach a target only after the answer count too.
    gateway.stop();
    record.attempts = targets.attempts();
    return record;
}

std::string toText(const ObservedConversation &record)
{
    std::string text;
    for (const auto &caller : record.callers) {
        for (const auto &request : caller) {
            const auto &answer = request.answer;
            text += request.id + " got " + std::to_string(answer.status) + (answer.isWhole ? " whole" : " not whole")
                + (answer.isInProtocol ? "" : " not in protocol") + (request.hasLeft ? " left" : "")
                + (request.isClosedBefore ? " closed before" : "") + " headers " + answer.head + " body ("
                + std::to_string(answer.body.size()) + ") " + answer.body.substr(0, 400) + "\n";
        }
    }
    for (const auto &attempt : record.attempts) {
        text += "attempt " + std::to_string(attempt.number) + " for " + attempt.id + ": status "
            + std::to_string(attempt.status) + (attempt.isWhole ? " whole" : " not whole")
            + (attempt.hasRun ? " run" : " not run") + " by " + std::to_string(attempt.target) + " body ("
            + std::to_string(attempt.body.size()) + ") " + attempt.body.substr(0, 400) + "\n";
    }
    return text;
}

} // namespace Heatherridge
