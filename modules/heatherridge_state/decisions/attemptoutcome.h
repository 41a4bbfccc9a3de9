#pragma once

#include "heatherridge_state/routing/routingconfig.h"

#include <string_view>

namespace Heatherridge
{

/** How one attempt at a target ended. */
enum class AttemptOutcome {
    Answered, ///< a whole answer that may be passed on
    FailedAtTarget, ///< the target ran it and answered with a failure of its own
    RefusedAtTarget, ///< the target says that it did not run it
    NeverSent, ///< no byte of it can have arrived
    Interrupted, ///< sent, and no whole answer came
    InvalidAnswer, ///< what came is not an answer to this request
    TimedOut, ///< sent, and given up for want of an answer in time
};

/** The name of @p outcome in logs and counters. */
std::string_view toString(AttemptOutcome outcome);

/** What is done after an attempt. */
enum class NextStep {
    Deliver, ///< pass the answer on
    Retry, ///< send the request to another target
    Fail, ///< answer with a failure of this process's own
};

/** What the step depends on beside the attempt's end. */
struct AttemptContext
{
    RequestKind kind = RequestKind::NonIdempotent;
    bool isResumable = false; ///< of a stream
    int possibleRuns = 0; ///< attempts that may have run, this one included
    int maxRuns = 1; ///< targets that the request may run on
    int attempts = 1; ///< attempts so far, those that were refused or never sent included
    bool hasTimeLeft = true; ///< enough for another attempt
};

/** Attempts at most, however many of them were refused: by the third refusal the service as a whole is full. */
constexpr int MaxAttempts = 3;

/** Whether an attempt that ended so may have run. */
bool mayHaveRun(AttemptOutcome outcome);

/** Whether a request may run more than once, or go on where it broke off. */
bool mayRunAgain(RequestKind kind, bool isResumable);

/**
 * What to do after an attempt; without the budget for repeats, which the caller asks for last.
 *
 * A request that may not be repeated is sent again only on proof that it has not run: the target's word, or that
 * nothing was sent. A reset or a silence proves nothing.
 */
NextStep nextStep(AttemptOutcome outcome, const AttemptContext &context);

} // namespace Heatherridge
