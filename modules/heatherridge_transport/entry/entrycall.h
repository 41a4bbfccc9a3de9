#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_protocol/attemptid.h"
#include "heatherridge_state/keys/keyshards.h"
#include "heatherridge_transport/entry/callerrequest.h"
#include "heatherridge_transport/entry/callerstream.h"
#include "heatherridge_transport/entry/streamresume.h"
#include "heatherridge_transport/http/httpserver.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>

namespace Heatherridge
{

/** One open request of a caller. Owned by its EntryTraffic and accessed only on that thread. */
struct EntryCall
{
    RequestId id{}; ///< id shown to the caller; each attempt has its own, @see attemptId()
    CallerRequest request{};
    std::shared_ptr<HttpExchange> exchange{};
    SteadyTime arrived{};
    SteadyTime deadline{};
    std::unique_ptr<asio::steady_timer> timer{}; ///< for the deadline, or for the delay before a retry
    TargetName target{}; ///< target of the current attempt; empty between attempts
    SteadyTime attemptStarted{}; ///< start of the current attempt
    std::set<TargetName> triedTargets{}; ///< targets that have refused or failed the request
    int attempts = 0;
    bool answerStarted = false; ///< whether the head was sent to the caller
    bool hasHead = false; ///< whether the target of the current attempt has sent a head
    bool mayHaveRun = false; ///< whether an earlier attempt ended without proof that it did not run
    std::optional<Uuid7> key{}; ///< set if key gates ensure that repeated attempts run the call at most once
    TargetName askAt{}; ///< target to which the last key gate redirected the call
    int redirects = 0; ///< number of redirects

    std::shared_ptr<CallerStream> stream{}; ///< body of the answer, once it has started
    AnswerAssembler assembler{AnswerAssembler::Options{}};
    std::optional<StreamResume> resume{}; ///< set for an answer that another target can continue

    /** Prepares an attempt that continues after the bytes that the caller has. Requires resume to be set. */
    void beginResume()
    {
        hasHead = false;
        assembler = AnswerAssembler(AnswerAssembler::Options{});
        request.submit.body = withResumeFrom(request.submit.body, resume->beginResume());
    }
};

} // namespace Heatherridge
