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

/** Whether a request may be executed again. Determined by its route alone. */
enum class RequestKind {
    Idempotent, ///< may be executed more than once
    NonIdempotent, ///< is executed at most once for each request id
    EventStream, ///< answered by a stream of events; treated as NonIdempotent unless the route is resumable
};

/** A service of a route and its share of the route's requests. */
struct WeightedService
{
    ServiceName service{};
    int weight = 1; ///< relative to the other services of the route; 0 receives no requests
};

/** Selects requests by host and path, and sets their services, deadlines and execution guarantees. */
struct RouteRule
{
    std::string name{};
    std::string host{}; ///< lower case, without a port
    std::string pathPrefix{}; ///< starts and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout{30'000}; ///< age at which a request gets its final response
    std::chrono::milliseconds objective{1'000}; ///< latency goal: to the whole response or a stream's first event
    std::chrono::milliseconds maxEventGap{0}; ///< between the events of a stream that is on time; 0: unknown
    int priority = 0; ///< 0 is the highest
    std::vector<WeightedService> services{};
    int maxAttempts = 1; ///< maximum number of targets that may execute one request
    bool isPublic = false; ///< whether requests need no API key
    bool isResumable = false; ///< whether a stream may continue at another target after its last event
    std::vector<RegionName> allowedRegions{}; ///< in which its requests may be executed; empty: all
};

/** Performance profile of a service's model engine, as measured by the operator. */
struct EngineProfile
{
    std::chrono::duration<double, std::milli> stepTime{}; ///< base time of a token step
    std::chrono::duration<double, std::milli> stepTimePerRequest{}; ///< added by each generating request
    int stepsPerPass = 1; ///< token steps in a pass that generates tokens
    std::chrono::duration<double, std::milli> promptTime{}; ///< for a typical prompt alone, with a balanced map
    double typicalAnswerTokens = 0; ///< length of a typical answer
    int layerSets = 0; ///< sets of layers that share an expert placement; 0: no expert groups
    int experts = 0; ///< in each layer set
    int expertSlots = 0; ///< experts that fit on one rank, in each layer set
    int spareExpertSlots = 0; ///< experts that one order may add to a rank, in each layer set
    std::chrono::duration<double, std::milli> expertCopyTime{50}; ///< to copy one expert of one layer set to a rank
};

/** A service, provided by a set of equivalent targets. */
struct ServiceProfile
{
    ServiceName name{};
    std::string healthPath{};
    int maxConnections = 0; ///< accepted by one target from all callers together
    std::chrono::milliseconds warmUpTime{0}; ///< how long a target is slow after its start
    /** Accepted by one target from all entries together while it warms up; 0: not limited. */
    double warmUpRequestsPerSecond = 0;
    std::optional<EngineProfile> engine{}; ///< not set for a plain service
};

/** A workspace and the API keys that identify its callers. */
struct WorkspaceKeys
{
    WorkspaceName name{};
    std::vector<std::string> apiKeys{};
    std::optional<int> priority{}; ///< overrides the priority of the route
    std::vector<RegionName> allowedRegions{}; ///< in which its requests may be executed; empty: all
};

/** Size and time limits for requests and connections of callers. */
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16UL << 10U; ///< total size of all headers of one request
    std::size_t maxBodyBytes = 4UL << 20U;
    std::chrono::milliseconds headerTimeout{10'000}; ///< from the first byte of a request to the end of its headers
    std::chrono::milliseconds idleTimeout{60'000}; ///< for a kept-alive connection without a request
};

/** A complete routing configuration. Immutable once published. */
struct RoutingConfig
{
    std::uint64_t version = 0; ///< increases with each configuration; never decreases while a process runs
    std::vector<RouteRule> routes{};
    std::vector<ServiceProfile> services{};
    ClientLimits bounds{};
    std::vector<WorkspaceKeys> workspaces{}; ///< empty: no API keys are required
};

} // namespace Heatherridge
