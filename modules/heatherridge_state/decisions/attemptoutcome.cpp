#include "heatherridge_state/decisions/attemptoutcome.h"

namespace Heatherridge
{

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::FailedAtTarget:
        return "failed-at-target";
    case AttemptOutcome::RefusedAtTarget:
        return "refused-at-target";
    case AttemptOutcome::NeverSent:
        return "never-sent";
    case AttemptOutcome::Interrupted:
        return "broken";
    case AttemptOutcome::InvalidAnswer:
        return "unusable";
    case AttemptOutcome::TimedOut:
        return "silent";
    }
    return "unknown";
}

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::RefusedAtTarget && outcome != AttemptOutcome::NeverSent;
}

bool mayRunAgain(RequestKind kind, bool isResumable)
{
    return kind == RequestKind::Idempotent || (kind == RequestKind::EventStream && isResumable);
}

NextStep nextStep(AttemptOutcome outcome, const AttemptContext &context)
{
    if (outcome == AttemptOutcome::Answered) {
        return NextStep::Deliver;
    }
    const bool mayRetry = !mayHaveRun(outcome)
        || (mayRunAgain(context.kind, context.isResumable) && context.possibleRuns < context.maxRuns);
    if (mayRetry && context.attempts < MaxAttempts && context.hasTimeLeft) {
        return NextStep::Retry;
    }
    return outcome == AttemptOutcome::FailedAtTarget ? NextStep::Deliver : NextStep::Fail;
}

} // namespace Heatherridge
