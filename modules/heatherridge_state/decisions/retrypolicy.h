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

/** What was decided about a failed attempt; each has a counter. */
enum class RetryVerdict {
    Retry, ///< send it again
    NotHelpful, ///< another attempt would fail alike
    MayHaveRun, ///< it may have run and may not be repeated
    AttemptsSpent, ///< it has been tried as often as allowed
    DeadlineTooClose, ///< an attempt after the wait could not finish in time
    BudgetSpent, ///< this entry has retried enough for its traffic
};

/** Name and meaning of one verdict, for counters and documents. */
struct RetryVerdictText
{
    RetryVerdict verdict;
    std::string_view name;
    std::string_view meaning;
};

/** All verdicts in the order of the list. */
std::span<const RetryVerdictText> allRetryVerdicts();

/** The row for @p verdict. */
const RetryVerdictText &textFor(RetryVerdict verdict);

/** A failed attempt, as its entry knows it. */
struct FailedAttempt
{
    Error error{};
    bool idempotent = false; ///< the rule set allows to repeat the call, or an idempotency key makes it safe
    bool answerStarted = false; ///< part of the answer has gone to the caller: it cannot be begun again
    bool targetLost = false; ///< the process beside the target is gone, and with it the work
    bool canResume = false; ///< another target can go on behind that part
    bool hasOtherTargets = false; ///< whether a target is left that has not refused it
    int previousAttempts = 0; ///< how many attempts there have been before this one
    SteadyTime deadline{};
    std::chrono::microseconds expectedDuration{}; ///< of another attempt
};

/** The verdict, and how long to wait before the retry. */
struct RetryDecision
{
    RetryVerdict verdict = RetryVerdict::NotHelpful;
    std::chrono::milliseconds delay{};
};

/** Bounds of a RetryPolicy. */
struct RetryOptions
{
    int maxAttempts = 3; ///< the first included: the third target that refuses speaks for all
    /** Attempts of a stream whose caller has a part of it: its deadline ends them, not a count. */
    int maxResumeAttempts = 100;
    RetryBudgetOptions budget{};
    BackoffOptions backoff{};
};

/**
 * Decides whether an entry sends a failed request again.
 *
 * Load pattern: see RetryBudget and Backoff. A request is repeated only when it is known not to have run, or when it
 * is idempotent and no part of its answer has left; never when the caller would see the deadline pass first. An
 * overloaded target's refusal leads to another target at once (there is no point in waiting for the first), a refusal
 * by the last target waits for the time that target named. One thread.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {});

    /** A request has been answered well; it earns a share of a retry. */
    void recordSuccess();

    /** What to do about @p failed at @p now. Takes from the budget only when the verdict is Retry. */
    RetryDecision decide(const FailedAttempt &failed, SteadyTime now, RandomSource &random);

private:
    RetryVerdict verdictFor(const FailedAttempt &failed, std::chrono::milliseconds delay, SteadyTime now) const;

    RetryOptions m_options;
    RetryBudget m_budget;
    Backoff m_backoff;
};

} // namespace Heatherridge
