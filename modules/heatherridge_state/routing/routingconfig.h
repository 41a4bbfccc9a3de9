#pragma once

#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What may be done again for a request; it follows from its route alone. */
enum class RequestKind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each request id
    EventStream, ///< answered by a series of events; as NonIdempotent unless the route is resumable
};

/** One service of a route and its part of the route's requests. */
struct WeightedService
{
    ServiceName service{};
    int weight = 1; ///< relative to the other services of the route; 0 gets nothing
};

/** Which requests go where, and what is owed to them. */
struct RouteRule
{
    std::string name{};
    std::string host{}; ///< lower case, without a port
    std::string pathPrefix{}; ///< begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout{30'000}; ///< a request that is older gets its final answer
    std::chrono::milliseconds objective{1'000}; ///< to the whole answer, for streams to the first event
    std::chrono::milliseconds maxEventGap{0}; ///< between the events of a stream that is still on time; 0: unknown
    int priority = 0; ///< 0 is the most urgent
    std::vector<WeightedService> services{};
    int maxAttempts = 1; ///< targets that one request may run on
    bool isPublic = false; ///< whether no API key is asked for
    bool isResumable = false; ///< whether a stream may go on at another target behind its last event
};

/** How a model engine of a service works, as its operator measured it. */
struct EngineProfile
{
    std::chrono::duration<double, std::milli> stepTime{}; ///< one token step with nothing else
    std::chrono::duration<double, std::milli> stepTimePerRequest{}; ///< what each writing request adds to a step
    int stepsPerPass = 1; ///< token steps of a pass in which something is written
    std::chrono::duration<double, std::milli> promptTime{}; ///< to read a usual prompt, alone and with an even map
    double typicalAnswerTokens = 0; ///< tokens
    int layerSets = 0; ///< sets of layers that share one placement of experts; 0: no expert groups
    int experts = 0; ///< in each set
    int expertSlots = 0; ///< experts that fit on one rank, in each set
    int spareExpertSlots = 0; ///< experts that one order may add to a rank, in each set
    std::chrono::duration<double, std::milli> expertCopyTime{50}; ///< to copy one expert of one set to a rank
};

/** A set of equal targets. */
struct ServiceProfile
{
    ServiceName name{};
    std::string healthPath{};
    int maxConnections = 0; ///< that one target takes from all callers together
    std::optional<EngineProfile> engine{}; ///< nothing for a plain service
};

/** One workspace and how its callers identify themselves. */
struct WorkspaceKeys
{
    WorkspaceName name{};
    std::vector<std::string> apiKeys{};
    std::optional<int> priority{}; ///< goes before the route's
};

/** What callers may send. */
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16UL << 10U; ///< all headers of one request together
    std::size_t maxBodyBytes = 4UL << 20U;
    std::chrono::milliseconds headerTimeout{10'000}; ///< from the first byte of a request to the end of its headers
    std::chrono::milliseconds idleTimeout{60'000}; ///< a kept connection without a request
};

/** One configuration in whole. Immutable once published. */
struct RoutingConfig
{
    std::uint64_t version = 0; ///< grows with each configuration; never goes back in the life of a process
    std::vector<RouteRule> routes{};
    std::vector<ServiceProfile> services{};
    ClientLimits bounds{};
    std::vector<WorkspaceKeys> workspaces{}; ///< empty: no keys are asked for
};

} // namespace Heatherridge
