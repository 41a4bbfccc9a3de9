#pragma once

#include "heatherridge_state/decisions/attemptresult.h"

#include <cstdint>

namespace Heatherridge
{

/** How an attempt at a target ended. */
struct AttemptEvidence
{
    AttemptResult result = AttemptResult::Interrupted;
    int status = 0; ///< of the answer
    bool hasContent = false; ///< bytes of the answer's body have arrived; of a stream: whole events
};

/**
 * Returns whether the attempt proves that its request doesn't crash the targets that run it.
 *
 * Load pattern: a target is ill and answers a part of its requests with errors of its own, while a deadly request is
 * sent again and again. Such an error says nothing of what happens when a target begins to run the request. A refusal
 * of what the caller asks for (4xx) is an answer like any other.
 */
constexpr bool provesRequestHarmless(const AttemptEvidence &evidence)
{
    return evidence.result == AttemptResult::Answered;
}

/**
 * Returns whether the attempt proves that the parts of its prompt don't crash the targets that begin an answer on them.
 *
 * Load pattern: as above, with a part of prompts. An error or an empty answer is not written on the prompt.
 */
constexpr bool provesPromptHarmless(const AttemptEvidence &evidence)
{
    const bool isSuccess = evidence.status >= 200 && evidence.status < 300;
    return evidence.result == AttemptResult::Answered && isSuccess && evidence.hasContent;
}

} // namespace Heatherridge
