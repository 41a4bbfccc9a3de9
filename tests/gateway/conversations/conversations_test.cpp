#include "gateway/conversations/conversationrules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

using namespace Heatherridge;

namespace
{

using std::chrono::milliseconds;

/** Time for the random conversations of a run, in seconds, unless the environment sets another one. */
constexpr auto DefaultSeconds = "15";
constexpr auto SecondsVariable = "HEATHERRIDGE_CONVERSATION_SECONDS";

constexpr int MaxDrawsPerRequest = 16;
constexpr int MaxDrawsPerAnswer = 26;

rc::Gen<std::vector<int>> numbers(int maxCount)
{
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Draws::Bound));
    return rc::gen::container<std::vector<int>>(static_cast<std::size_t>(maxCount), number);
}

rc::Gen<RequestPlan> requestPlan()
{
    return rc::gen::map(numbers(MaxDrawsPerRequest),
                        [](std::vector<int> drawn) { return RequestPlan::draw(Draws(std::move(drawn))); });
}

rc::Gen<AnswerPlan> answerPlan()
{
    return rc::gen::map(numbers(MaxDrawsPerAnswer),
                        [](std::vector<int> drawn) { return AnswerPlan::draw(Draws(std::move(drawn))); });
}

/** Returns a vector with @p least to @p most elements. */
template<typename T>
rc::Gen<std::vector<T>> between(int least, int most, const rc::Gen<T> &element)
{
    return rc::gen::mapcat(rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, most + 1)), [element](int count) {
        return rc::gen::container<std::vector<T>>(static_cast<std::size_t>(count), element);
    });
}

rc::Gen<ConversationPlan> conversationPlan()
{
    return rc::gen::apply(
        [](std::vector<std::vector<RequestPlan>> callers, std::vector<AnswerPlan> answers, std::vector<int> drawn) {
            Draws draws(std::move(drawn));
            ConversationPlan plan{.callers = std::move(callers), .answers = std::move(answers)};
            plan.targets = draws.choice({2, 1, 3, 4});
            plan.maxAttempts = draws.choice({2, 2, 3, 1});
            if (draws.oneIn(10)) {
                plan.stopAfter = milliseconds(draws.choice({0, 1, 5, 20}));
            }
            return plan;
        },
        between(1, 3, between(1, 4, requestPlan())), between(0, 8, answerPlan()), numbers(5));
}

/** Time for the search; a shorter counterexample may be sought for as long again. */
std::chrono::seconds searchTime()
{
    const auto *seconds = std::getenv(SecondsVariable);
    return std::chrono::seconds(std::stoi(seconds != nullptr ? seconds : DefaultSeconds));
}

// Guards against answers that are not the caller's own, not whole or not in the protocol, in orders of events that no
// other test describes.
TEST(RandomConversations, KeepTheRules)
{
    const auto start = std::chrono::steady_clock::now();
    std::string lastReport;
    int conversations = 0;
    rc::check([&] {
        const auto limit = lastReport.empty() ? searchTime() : searchTime() * 2;
        if (std::chrono::steady_clock::now() - start > limit) {
            return;
        }
        const auto plan = *conversationPlan();
        ++conversations;
        const auto record = hold(plan);
        const auto broken = brokenRules(record);
        if (broken.empty()) {
            return;
        }
        lastReport = toText(plan) + toText(record);
        for (const auto &rule : broken) {
            lastReport += "BROKEN " + rule + "\n";
        }
        RC_FAIL("a rule is broken");
    });
    RecordProperty("conversations", conversations);
    EXPECT_EQ(lastReport, "") << "after " << conversations << " conversations, shorter ones included";
}

} // namespace

namespace rc
{

void showValue(const Heatherridge::ConversationPlan &plan, std::ostream &os)
{
    os << toText(plan);
}

} // namespace rc
