#include "heatherridge_state/decisions/attemptend.h"

namespace Heatherridge
{

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::FailedAtTarget:
        return "failed-at-target";
    case AttemptEnd::RefusedAtTarget:
        return "refused-at-target";
    case AttemptEnd::NeverSent:
        return "never-sent";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Unusable:
        return "unusable";
    case AttemptEnd::Silent:
        return "silent";
    }
    return "unknown";
}

bool mayHaveRun(AttemptEnd end)
{
    return end != AttemptEnd::RefusedAtTarget && end != AttemptEnd::NeverSent;
}

bool mayRunAgain(RequestKind kind, bool isResumable)
{
    return kind == RequestKind::Idempotent || (kind == RequestKind::EventStream && isResumable);
}

NextStep nextStep(AttemptEnd end, const AttemptContext &context)
{
    if (end == AttemptEnd::Answered) {
        return NextStep::Deliver;
    }
    const bool isAllowed = !mayHaveRun(end)
        || (mayRunAgain(context.kind, context.isResumable) && context.mayHaveRun < context.maxAttempts);
    if (isAllowed && context.tries < MostTries && context.isTimeLeft) {
        return NextStep::Repeat;
    }
    return end == AttemptEnd::FailedAtTarget ? NextStep::Deliver : NextStep::Fail;
}

} // namespace Heatherridge
