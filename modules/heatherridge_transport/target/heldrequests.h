#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/cxx17/peersocket.h"

#include <memory>
#include <vector>

namespace Heatherridge
{

/** A request that relies on a configuration that this process does not have yet. */
struct HeldRequest
{
    SubmitRequest request{};
    std::shared_ptr<PeerSocket> entry{};
    LogOffset requiredOffset{}; ///< what its entry had folded when it sent it
    SteadyTime arrived{};
};

/**
 * Requests whose entry acted on a later configuration than this process has.
 *
 * In that configuration this target may be withdrawn, or hold another part of the keys. To decide by the older one
 * would go back behind what a process has already acted on, so such requests wait until this process has caught up,
 * for a short time and in a bounded number. One thread.
 */
class HeldRequests
{
public:
    /** Requests that may wait. */
    static constexpr std::size_t MaxRequests = 1024;

    /** Requests that wait no longer. */
    struct Released
    {
        std::vector<HeldRequest> ready{}; ///< their configuration has come
        std::vector<HeldRequest> expired{}; ///< it has not come in time
    };

    /** Keeps @p request; false when there is no place. */
    bool add(HeldRequest request);

    /** Takes out what @p offset suffices for, and what arrived at or before @p latest. */
    Released release(LogOffset offset, SteadyTime arrivalCutoff);

    /** Drops the request of the attempt @p id. */
    void remove(const RequestId &id);

    /** Drops the requests of @p entry, whose connection is gone. */
    void remove(const std::shared_ptr<PeerSocket> &entry);

    /** Whether none waits. */
    bool isEmpty() const;

private:
    std::vector<HeldRequest> m_requests;
};

} // namespace Heatherridge
