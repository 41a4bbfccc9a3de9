#include "heatherridge_state/decisions/attemptresult.h"

namespace Heatherridge
{

std::string_view toString(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
        return "answered";
    case AttemptResult::FailedAtTarget:
        return "failed-at-target";
    case AttemptResult::RefusedAtTarget:
        return "refused-at-target";
    case AttemptResult::NeverSent:
        return "never-sent";
    case AttemptResult::Interrupted:
        return "broken";
    case AttemptResult::InvalidAnswer:
        return "unusable";
    case AttemptResult::TimedOut:
        return "silent";
    }
    return "unknown";
}

bool mayHaveRun(AttemptResult result)
{
    return result != AttemptResult::RefusedAtTarget && result != AttemptResult::NeverSent;
}

bool mayRunAgain(RequestKind kind, bool isResumable)
{
    return kind == RequestKind::Idempotent || (kind == RequestKind::EventStream && isResumable);
}

NextStep nextStep(AttemptResult result, const AttemptContext &context)
{
    if (result == AttemptResult::Answered && !context.hasStreamBegun) {
        return NextStep::Deliver;
    }
    const bool mayRetry = !mayHaveRun(result)
        || (mayRunAgain(context.kind, context.isResumable) && context.possibleRuns < context.maxRuns);
    const bool hasErrorToDeliver = result == AttemptResult::FailedAtTarget && !context.hasStreamBegun;
    if (mayRetry && context.attempts < MaxAttempts && context.hasTimeLeft
        && (context.hasRetryBudget || !hasErrorToDeliver)) {
        return NextStep::Retry;
    }
    return hasErrorToDeliver ? NextStep::Deliver : NextStep::Fail;
}

} // namespace Heatherridge
