#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_state/keys/keyrecord.h"
#include "heatherridge_transport/cxx17/peersocket.h"
#include "heatherridge_transport/http/httpclient.h"

#include <memory>
#include <optional>

namespace Heatherridge
{

/** One request at a target's process, from its arrival to the end of its answer. Owned by TargetTraffic. */
struct BackendWork
{
    SubmitRequest request{};
    std::shared_ptr<PeerSocket> entry{}; ///< where the answer goes; empty once nobody waits for it
    SteadyTime arrived{};
    SteadyTime deadline{};
    std::optional<SteadyTime> startedAt{}; ///< when it was given to the back end; nothing while it waits
    std::optional<SteadyTime> firstByteAt{};
    HttpClient::CallId call{};
    bool headSent = false;
    std::uint64_t sentChunks = 0; ///< sent so far; the next chunk's number
    std::uint64_t sentBytes = 0;
    std::uint64_t creditedBytes = 0; ///< of those sent, how many the entry has passed on
    bool paused = false;
    bool resumedAfterPause = false; ///< the next chunk's gap is the caller's, not the engine's
    std::optional<SteadyTime> lastChunkAt{};
    std::optional<Uuid7> key{}; ///< set for a call of KeyedCalls, which gets the whole answer instead of the entry
    StoredAnswer answer{}; ///< collected for it
};

} // namespace Heatherridge
