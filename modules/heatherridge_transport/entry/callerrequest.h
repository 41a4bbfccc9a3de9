#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/app/configview.h"
#include "heatherridge_transport/http/httpmessages.h"

namespace Heatherridge
{

/** A validated request of a caller: the message that is sent to a target, and what the entry needs to choose the
 * target. */
struct CallerRequest
{
    SubmitRequest submit{};
    ModelName model{}; ///< empty for plain services
    double weight = 1; ///< of its workspace
    std::uint64_t affinityKey = 0; ///< hash of the start of the prompt; 0 if there is none
    std::vector<std::uint64_t> prefixChain{}; ///< hashes of the prompt's blocks, as computed by PrefixIndex
    double promptTokens = 0; ///< estimate
    std::chrono::milliseconds timeout{}; ///< time from arrival to the deadline
    bool wantsStream = false; ///< the answer is a stream of events
};

/** Limits on what callers may send. */
struct CallerLimits
{
    std::size_t maxBodyBytes = 1UL << 20U;
    std::size_t maxHeaderBytes = 8UL << 10U; ///< of one header's value
    std::chrono::milliseconds maxTimeout{600'000};
};

/**
 * Validates @p request against the current configuration.
 *
 * Reads the headers X-Workspace or Authorization (a bearer key that maps to a workspace), X-Priority (-10 to 10),
 * X-Deadline-Ms (time left) and Idempotency-Key. Thread-safe: accesses nothing but its arguments.
 * @returns the validated request, or the error to be returned to the caller, in which case nothing was sent
 */
Result<CallerRequest> readCallerRequest(const HttpRequest &request, const RequestId &id, const ConfigView &config,
                                        const CallerLimits &limits);

} // namespace Heatherridge
