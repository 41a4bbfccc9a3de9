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
    SteadyTime attemptStarted{}; ///< when the current attempt began
    std::set<TargetName> triedTargets{}; ///< targets that have refused or failed it
    int attempts = 0;
    bool answerStarted = false; ///< the caller has the head
    bool mayHaveRun = false; ///< an earlier attempt ended without proof that it did not run
    std::optional<Uuid7> key{}; ///< set when gates see to it that it runs at most once, however often it is tried
    TargetName askAt{}; ///< where the last gate that was asked sent the call
    int redirects = 0; ///< how often that happened

    std::shared_ptr<CallerStream> stream{}; ///< the answer's body, once it has begun
    AnswerAssembler assembler{AnswerAssembler::Options{}};
    std::optional<StreamResume> resume{}; ///< for an answer that another target can go on with

    /** Makes ready for an attempt that goes on behind what the caller has. Only when there is a resume. */
    void beginResume()
    {
        assembler = AnswerAssembler(AnswerAssembler::Options{});
        request.submit.body = withResumeFrom(request.submit.body, resume->beginResume());
    }
};

} // namespace Heatherridge
