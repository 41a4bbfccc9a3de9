#include "gateway/conversations/conversationsearch.h"

#include "gateway/conversations/conversationrules.h"

#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Heatherridge
{

namespace
{

using std::chrono::steady_clock;
using DrawnPlan = rc::Shrinkable<ConversationPlan>;

constexpr int MaxDrawsPerRequest = 16;
constexpr int MaxDrawsPerAnswer = 36;
constexpr int MaxDrawsPerDisturbance = 3;
/** Times that a simpler conversation is held, since some faults depend on which event comes first. */
constexpr std::size_t TriesPerCandidate = 3;

rc::Gen<std::vector<int>> numbers(int maxCount)
{
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Draws::Bound));
    return rc::gen::container<std::vector<int>>(static_cast<std::size_t>(maxCount), number);
}

rc::Gen<AnswerPlan> answerPlan()
{
    return rc::gen::map(numbers(MaxDrawsPerAnswer),
                        [](std::vector<int> drawn) { return AnswerPlan::draw(Draws(std::move(drawn))); });
}

rc::Gen<Disturbance> disturbance()
{
    return rc::gen::map(numbers(MaxDrawsPerDisturbance),
                        [](std::vector<int> drawn) { return Disturbance::draw(Draws(std::move(drawn))); });
}

/** Returns a vector with @p least to @p most elements. */
template<typename T>
rc::Gen<std::vector<T>> between(int least, int most, const rc::Gen<T> &element)
{
    return rc::gen::mapcat(rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, most + 1)), [element](int count) {
        return rc::gen::container<std::vector<T>>(static_cast<std::size_t>(count), element);
    });
}

rc::Gen<RequestPlan> requestPlan()
{
    return rc::gen::apply(
        [](std::vector<int> drawn, std::vector<AnswerPlan> answers) {
            auto plan = RequestPlan::draw(Draws(std::move(drawn)));
            plan.answers = std::move(answers);
            return plan;
        },
        numbers(MaxDrawsPerRequest), between(0, 3, answerPlan()));
}

rc::Gen<ConversationPlan> conversationPlan()
{
    return rc::gen::apply(
        [](std::vector<std::vector<RequestPlan>> callers, std::vector<Disturbance> disturbances,
           std::vector<int> drawn) {
            Draws draws(std::move(drawn));
            ConversationPlan plan{.callers = std::move(callers)};
            plan.targets = draws.choice({2, 1, 3, 4});
            plan.maxAttempts = draws.choice({2, 2, 3, 1});
            // Without disturbances in half of the cases, where the effort of the gateway is checked.
            if (draws.oneIn(2)) {
                plan.disturbances = std::move(disturbances);
            }
            return plan;
        },
        between(1, 3, between(1, 4, requestPlan())), between(0, 3, disturbance()), numbers(5));
}

/** Holds the conversation; returns a report if a rule was broken. */
std::optional<std::string> reportOf(const ConversationPlan &plan)
{
    const auto record = hold(plan);
    const auto broken = brokenRules(record);
    if (broken.empty()) {
        return std::nullopt;
    }
    auto report = toText(plan) + toText(record);
    for (const auto &rule : broken) {
        report += "BROKEN " + rule + "\n";
    }
    return report;
}

/** A drawn conversation in which a rule was broken. */
struct Finding
{
    std::uint64_t seed = 0;
    DrawnPlan plan;
    std::string report{};
};

std::optional<Finding> findBroken(const SearchOptions &options, int &conversations)
{
    const auto start = steady_clock::now();
    std::mutex mutex;
    std::optional<Finding> finding;
    const auto holdNext = [&] {
        const auto generator = conversationPlan();
        while (true) {
            std::uint64_t seed = 0;
            {
                const std::lock_guard lock(mutex);
                if (finding || conversations >= options.maxConversations
                    || steady_clock::now() - start > options.searchTime) {
                    return;
                }
                seed = options.seed + static_cast<std::uint64_t>(conversations++);
            }
            const auto plan = generator(rc::Random(seed), rc::kNominalSize);
            auto report = reportOf(plan.value());
            const std::lock_guard lock(mutex);
            if (report && !finding) {
                finding.emplace(Finding{.seed = seed, .plan = plan, .report = std::move(*report)});
            }
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < options.atOnce; ++i) {
        threads.emplace_back(holdNext);
    }
    threads.clear();
    return finding;
}

/** Holds all of @p candidates at the same time; returns the first in which a rule was broken. */
std::optional<Finding> firstBroken(const std::vector<DrawnPlan> &candidates, std::uint64_t seed)
{
    std::vector<std::optional<std::string>> reports(candidates.size() * TriesPerCandidate);
    {
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < reports.size(); ++i) {
            threads.emplace_back(
                [&reports, i, plan = candidates[i / TriesPerCandidate].value()] { reports[i] = reportOf(plan); });
        }
    }
    const auto found =
        std::find_if(reports.begin(), reports.end(), [](const auto &report) { return report.has_value(); });
    if (found == reports.end()) {
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(found - reports.begin()) / TriesPerCandidate;
    return Finding{.seed = seed, .plan = candidates[index], .report = **found};
}

/** Replaces @p finding by simpler ones until none is found or the time is over. */
void shrink(Finding &finding, const SearchOptions &options)
{
    const auto end = steady_clock::now() + options.shrinkTime;
    auto shrinks = finding.plan.shrinks();
    while (steady_clock::now() < end) {
        std::vector<DrawnPlan> candidates;
        while (candidates.size() < std::max<std::size_t>(1, options.atOnce / TriesPerCandidate)) {
            auto candidate = shrinks.next();
            if (!candidate) {
                break;
            }
            candidates.push_back(std::move(*candidate));
        }
        if (candidates.empty()) {
            return;
        }
        if (auto simpler = firstBroken(candidates, finding.seed)) {
            finding = std::move(*simpler);
            shrinks = finding.plan.shrinks();
        }
    }
}

} // namespace

SearchResult searchConversations(const SearchOptions &options)
{
    SearchResult result;
    auto finding = findBroken(options, result.conversations);
    if (finding) {
        const auto first = finding->report;
        shrink(*finding, options);
        result.report =
            "seed " + std::to_string(finding->seed) + "\nas drawn:\n" + first + "simplest form:\n" + finding->report;
    }
    return result;
}

} // namespace Heatherridge
