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
    AnswerAssembler assembler{AnswerAssembler::Options{}};

    const RequestId &id() const
    {
        return request.submit.id;
    }
};

} // namespace Heatherridge
