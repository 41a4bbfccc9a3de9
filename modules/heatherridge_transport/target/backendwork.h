#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_state/keys/keyrecord.h"
#include "heatherridge_transport/cxx17/peersocket.h"
#include "heatherridge_transport/http/httpclient.h"

#include <memory>
#include <optional>

namespace Heatherridge
{

/** One request in a target's process, from its arrival to the end of its answer. Owned by TargetTraffic. */
struct BackendWork
{
    SubmitRequest request{};
    std::shared_ptr<PeerSocket> entry{}; ///< receives the answer; empty once nobody waits for it
    SteadyTime arrived{};
    SteadyTime deadline{};
    std::optional<SteadyTime> startedAt{}; ///< when it was sent to the back end; nothing while it is queued
    std::optional<SteadyTime> firstByteAt{};
    HttpClient::CallId call{};
    bool headSent = false;
    std::uint64_t sentChunks = 0; ///< number of chunks sent so far; also the next chunk's sequence number
    std::uint64_t sentBytes = 0;
    std::uint64_t creditedBytes = 0; ///< sent bytes that the entry has forwarded
    bool paused = false;
    bool resumedAfterPause = false; ///< the gap before the next chunk was caused by the caller, not by the engine
    std::optional<SteadyTime> lastChunkAt{};
    std::optional<Uuid7> key{}; ///< set for a call of KeyedCalls, which receives the whole answer instead of the entry
    StoredAnswer answer{}; ///< the answer collected for KeyedCalls
};

} // namespace Heatherridge
