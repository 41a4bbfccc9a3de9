#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/cxx17/peersocket.h"

#include <memory>
#include <vector>

namespace Heatherridge
{

/** A request that depends on a configuration that this process has not received yet. */
struct HeldRequest
{
    SubmitRequest request{};
    std::shared_ptr<PeerSocket> entry{};
    LogOffset requiredOffset{}; ///< offset up to which its entry had applied the configuration when it sent the request
    SteadyTime arrived{};
};

/**
 * Holds requests whose entry acted on a later configuration than this process has.
 *
 * In that configuration this target may be withdrawn, or hold another part of the keys. Deciding by the older one would
 * undo what another process has already acted on, so such requests wait until this process has caught up, for a short
 * time and in a bounded number. Not thread-safe.
 */
class HeldRequests
{
public:
    /** Maximum number of waiting requests. */
    static constexpr std::size_t MaxRequests = 1024;

    /** Requests that no longer wait. */
    struct Released
    {
        std::vector<HeldRequest> ready{}; ///< their configuration has arrived
        std::vector<HeldRequest> expired{}; ///< their configuration did not arrive in time
    };

    /** Adds @p request. @returns false if there is no room for it */
    bool add(HeldRequest request);

    /** Removes and returns the requests for which @p offset suffices, and those that arrived at or before @p
     * arrivalCutoff. */
    Released release(LogOffset offset, SteadyTime arrivalCutoff);

    /** Removes the request of the attempt @p id. */
    void remove(const RequestId &id);

    /** Removes the requests of @p entry, whose connection was closed. */
    void remove(const std::shared_ptr<PeerSocket> &entry);

    /** Returns whether no request is waiting. */
    bool isEmpty() const;

private:
    std::vector<HeldRequest> m_requests;
};

} // namespace Heatherridge
