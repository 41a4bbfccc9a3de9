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
 * Whether another attempt can end otherwise. A refusal for the workspace's share is final: the shares are the same at
 * every target, and the hog's retries would use up the budget of all others.
 */
bool canEndOtherwise(ErrorKind kind)
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
    const auto wish = failed.otherTargets ? std::nullopt : failed.error.retryAfter;
    const auto delay = m_backoff.delay(failed.attempt, wish, random);
    const auto verdict = verdictOf(failed, delay, now);
    // What a resumed stream has received is not made again, so that a lost target adds no work that a budget has to
    // bound; without this the streams of a target with more callers than the budget holds would all break at its loss.
    if (verdict == RetryVerdict::Retry && !failed.resumes && !m_budget.tryTake()) {
        return {.verdict = RetryVerdict::BudgetSpent};
    }
    return {.verdict = verdict, .delay = verdict == RetryVerdict::Retry ? delay : std::chrono::milliseconds(0)};
}

RetryVerdict RetryPolicy::verdictOf(const FailedAttempt &failed, std::chrono::milliseconds delay, SteadyTime now) const
{
    const bool didNotRun = failed.error.ranOrDefault() == Ran::No;
    if ((failed.answerBegun && !failed.resumes) || (!didNotRun && !failed.idempotent)) {
        return RetryVerdict::MayHaveRun;
    }
    if (!canEndOtherwise(failed.error.kind)) {
        return RetryVerdict::NotHelpful;
    }
    if (failed.attempt + 1 >= (failed.resumes ? m_options.mostResumeAttempts : m_options.mostAttempts)) {
        return RetryVerdict::AttemptsSpent;
    }
    if (now + delay + failed.expectedDuration > failed.deadline) {
        return RetryVerdict::DeadlineTooClose;
    }
    return RetryVerdict::Retry;
}

} // namespace Heatherridge
