#include "heatherridge_state/decisions/retrypolicy.h"

#include <cassert>

namespace Heatherridge
{

namespace
{

using enum RetryVerdict;

constexpr std::array Texts{
    RetryVerdictText{Retry, "retry", "The request was sent again."},
    RetryVerdictText{NotHelpful, "not-helpful", "Another attempt would fail alike."},
    RetryVerdictText{MayHaveRun, "may-have-run", "It may have run and may not be repeated."},
    RetryVerdictText{AttemptsSpent, "attempts-spent", "It was tried as often as allowed."},
    RetryVerdictText{DeadlineTooClose, "deadline-too-close", "Another attempt could not finish in time."},
    RetryVerdictText{BudgetSpent, "budget-spent", "The entry's retries are used up for its traffic."},
};

/**
 * Returns whether another attempt can have a different outcome. A refusal because of the workspace's share is final:
 * the shares are the same at every target, and the retries of a workspace over its share would use up the budget of all
 * others.
 */
bool isRetryable(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::DeadlineUnreachable:
    case ErrorKind::QueueFull:
    case ErrorKind::Overloaded:
    case ErrorKind::TargetUnreachable:
    case ErrorKind::TargetWithdrawn:
    case ErrorKind::Draining:
    case ErrorKind::StaleOffset:
    case ErrorKind::Unconfirmed:
    case ErrorKind::KeyNotDecidable:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::BackendFailed:
    case ErrorKind::StreamBroken:
    case ErrorKind::MalformedFrame:
    case ErrorKind::UnknownRequest:
        return true;
    default:
        return false;
    }
}

} // namespace

std::span<const RetryVerdictText> allRetryVerdicts()
{
    return Texts;
}

const RetryVerdictText &textFor(RetryVerdict verdict)
{
    const auto index = static_cast<std::size_t>(verdict);
    assert(index < Texts.size() && Texts[index].verdict == verdict);
    return Texts[index];
}

RetryPolicy::RetryPolicy(RetryOptions options)
    : m_options(options)
    , m_budget(options.budget)
    , m_backoff(options.backoff)
{
}

void RetryPolicy::recordSuccess()
{
    m_budget.recordSuccess();
}

RetryDecision RetryPolicy::decide(const FailedAttempt &failed, SteadyTime now, RandomSource &random)
{
    const auto requestedDelay = failed.hasOtherTargets ? std::nullopt : failed.error.retryAfter;
    const auto delay = m_backoff.delay(failed.previousAttempts, requestedDelay, random);
    const auto verdict = verdictFor(failed, delay, now);
    // A lost target does no further work for its requests: sending them elsewhere, at most maxAttempts times, moves
    // work instead of adding any, and a resumed stream does not recompute what was received. If these retries were
    // charged to the budget, all but a few callers of a target that dies would see their requests fail.
    if (verdict == RetryVerdict::Retry && !failed.canResume && !failed.targetLost && !m_budget.tryConsume()) {
        return {.verdict = RetryVerdict::BudgetSpent};
    }
    return {.verdict = verdict, .delay = verdict == RetryVerdict::Retry ? delay : std::chrono::milliseconds(0)};
}

RetryVerdict RetryPolicy::verdictFor(const FailedAttempt &failed, std::chrono::milliseconds delay, SteadyTime now) const
{
    const bool didNotRun = failed.error.ranOrDefault() == ExecutionStatus::No;
    if ((failed.answerStarted && !failed.canResume) || (!didNotRun && !failed.idempotent)) {
        return RetryVerdict::MayHaveRun;
    }
    if (!isRetryable(failed.error.kind)) {
        return RetryVerdict::NotHelpful;
    }
    if (failed.previousAttempts + 1 >= (failed.canResume ? m_options.maxResumeAttempts : m_options.maxAttempts)) {
        return RetryVerdict::AttemptsSpent;
    }
    if (now + delay + failed.expectedDuration > failed.deadline) {
        return RetryVerdict::DeadlineTooClose;
    }
    return RetryVerdict::Retry;
}

} // namespace Heatherridge
