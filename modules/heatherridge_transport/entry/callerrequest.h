#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/app/configview.h"
#include "heatherridge_transport/http/httpmessages.h"

namespace Heatherridge
{

/** A caller's request that has been checked: what goes to a target, and what the entry needs to place it. */
struct CallerRequest
{
    SubmitRequest submit{};
    ModelName model{}; ///< empty for plain services
    double weight = 1; ///< of its workspace
    std::uint64_t affinityKey = 0; ///< hash of the prompt's beginning; 0 for none
    std::vector<std::uint64_t> prefixChain{}; ///< hashes of the prompt's blocks, as PrefixIndex counts them
    double promptTokens = 0; ///< estimate
    std::chrono::milliseconds timeout{}; ///< until its deadline, from its arrival
    bool wantsStream = false; ///< the answer is a stream of events
};

/** Bounds of what callers may send. */
struct CallerLimits
{
    std::size_t maxBodyBytes = 1UL << 20U;
    std::size_t maxHeaderBytes = 8UL << 10U; ///< of one header's value
    std::chrono::milliseconds maxTimeout{600'000};
};

/**
 * Checks @p request against the configuration in force.
 *
 * Reads the headers X-Workspace or Authorization (a bearer key that maps to a workspace), X-Priority (-10 to 10),
 * X-Deadline-Ms (time left), Idempotency-Key. Any thread; touches nothing but its arguments.
 * @returns the checked request, or the kind of error that the caller is to see; then nothing was sent
 */
Result<CallerRequest> readCallerRequest(const HttpRequest &request, const RequestId &id, const ConfigView &config,
                                        const CallerLimits &limits);

} // namespace Heatherridge
