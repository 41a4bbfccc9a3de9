#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/entry/callerrequest.h"
#include "heatherridge_transport/http/httpserver.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace Heatherridge
{

/** One open request of a caller; owned by its EntryTraffic and touched on that thread alone. */
struct EntryCall
{
    RequestId id{}; ///< as the caller sees it; each attempt has one of its own, @see attemptId()
    CallerRequest request{};
    std::shared_ptr<HttpExchange> exchange{};
    SteadyTime arrived{};
    SteadyTime deadline{};
    std::unique_ptr<asio::steady_timer> timer{}; ///< the deadline, or the pause before a retry
    TargetName target{}; ///< where the current attempt is; empty between attempts
    SteadyTime sent{}; ///< when the current attempt began
    std::set<TargetName> tried{}; ///< targets that have refused or failed it
    int attempts = 0;
    bool answerBegun = false; ///< the caller has the head
    bool mayHaveRun = false; ///< an earlier attempt ended without proof that it did not run
    AnswerAssembler assembler{AnswerAssembler::Options{}};
};

/**
 * The id under which attempt number @p attempt of request @p id travels.
 *
 * A retry may reach a target that still has the attempt before it. Were both to travel under one id, frames of the
 * first could be taken for the second's, or the second be dropped as a double of the first.
 */
RequestId attemptId(const RequestId &id, int attempt);

/** The request that the attempt named @p id belongs to. */
RequestId requestOfAttempt(const RequestId &id);

} // namespace Heatherridge
