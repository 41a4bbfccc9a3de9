#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/backoff.h"
#include "heatherridge_state/decisions/retrybudget.h"

#include <array>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** Decision about a failed attempt; each value has its own counter. */
enum class RetryVerdict {
    Retry, ///< send the request again
    NotHelpful, ///< another attempt would fail the same way
    MayHaveRun, ///< the request may have run and must not be repeated
    AttemptsSpent, ///< the maximum number of attempts is reached
    DeadlineTooClose, ///< another attempt after the delay could not finish in time
    BudgetSpent, ///< the retry budget of this entry is exhausted
};

/** Name and meaning of a verdict, for counters and documentation. */
struct RetryVerdictText
{
    RetryVerdict verdict;
    std::string_view name;
    std::string_view meaning;
};

/** Returns the texts of all verdicts, in the order of the enumerators. */
std::span<const RetryVerdictText> allRetryVerdicts();

/** Returns the text of @p verdict. */
const RetryVerdictText &textFor(RetryVerdict verdict);

/** A failed attempt, as known to its entry. */
struct FailedAttempt
{
    Error error{};
    bool idempotent = false; ///< the rule set permits repeating the call, or an idempotency key makes it safe
    bool answerStarted = false; ///< part of the answer was sent to the caller, so it cannot be restarted
    bool targetLost = false; ///< the sidecar process of the target is gone, and its requests with it
    bool canResume = false; ///< another target can resume the answer after that part
    bool hasOtherTargets = false; ///< whether there is a target that has not refused the request
    int previousAttempts = 0; ///< number of attempts before this one
    SteadyTime deadline{};
    std::chrono::microseconds expectedDuration{}; ///< duration of another attempt
};

/** The verdict, and the delay before the retry. */
struct RetryDecision
{
    RetryVerdict verdict = RetryVerdict::NotHelpful;
    std::chrono::milliseconds delay{};
};

/** Limits of a RetryPolicy. */
struct RetryOptions
{
    int maxAttempts = 3; ///< including the first: when a third target refuses, the others would too
    /**
     * Attempts of a stream whose caller has received a part of it. Such a stream is limited by its deadline rather than
     * by this count.
     */
    int maxResumeAttempts = 100;
    RetryBudgetOptions budget{};
    BackoffOptions backoff{};
};

/**
 * Decides whether an entry retries a failed request.
 *
 * Load pattern: see RetryBudget and Backoff. A request is repeated only when it is known not to have run, or when it is
 * idempotent and no part of its answer was sent; never when the caller's deadline would pass first. When an overloaded
 * target refuses a request, it is sent to another target at once, since there is no point in waiting for the first;
 * when the last target refuses it, the retry waits for the time which that target named. Single-threaded.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {});

    /** Records a successful answer, which earns a fraction of a retry. */
    void recordSuccess();

    /** Decides about @p failed at @p now. Consumes budget only when the verdict is Retry. */
    RetryDecision decide(const FailedAttempt &failed, SteadyTime now, RandomSource &random);

private:
    RetryVerdict verdictFor(const FailedAttempt &failed, std::chrono::milliseconds delay, SteadyTime now) const;

    RetryOptions m_options;
    RetryBudget m_budget;
    Backoff m_backoff;
};

} // namespace Heatherridge
