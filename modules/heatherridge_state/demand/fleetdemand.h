#pragma once

#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Heatherridge
{

/** Streams of callers of one priority for the engines of one service. */
struct RankDemand
{
    double arrivalsPerSecond = 0; ///< new streams, callers' own retries included
    double waiting = 0; ///< streams that wait at a gateway for an engine
    double inProgress = 0; ///< streams that were sent to an engine and have not ended

    bool operator==(const RankDemand &) const = default;
};

/** Streams of the callers of one workspace for the engines of one service. */
struct WorkspaceDemand
{
    WorkspaceName workspace{};
    double arrivalsPerSecond = 0;
    double inFlight = 0; ///< streams that wait or are in progress

    bool operator==(const WorkspaceDemand &) const = default;
};

/** Demand for the engines of one service at one or more gateways. */
struct ServiceDemand
{
    ServiceName service{};
    std::map<int, RankDemand> ranks{}; ///< by priority, 0 is the highest; at most MaxDemandRanks
    std::vector<WorkspaceDemand> workspaces{}; ///< the busiest ones, busiest first; at most MaxDemandWorkspaces

    bool operator==(const ServiceDemand &) const = default;
};

constexpr std::size_t MaxDemandRanks = 10; ///< of one service
constexpr std::size_t MaxDemandWorkspaces = 32; ///< of one service
constexpr std::size_t MaxRelayedWorkspaces = 8; ///< of one service, in the demand of another zone
constexpr std::size_t MaxDemandServices = 64;
constexpr double MaxDemandValue = 1e6; ///< of each rate and count

/** What the host of a gateway can carry. */
struct HostSize
{
    double processorShare = 0; ///< cores; 0 if unknown

    bool operator==(const HostSize &) const = default;
};

/** Demand that one gateway states. */
struct GatewayStatement
{
    ProcessName gateway{};
    std::uint64_t run = 0; ///< of the gateway's process, random; another one means that it has been restarted
    std::uint64_t sequence = 0; ///< of the statement within the run
    ZoneName zone{};
    HostSize size{};
    std::vector<ServiceDemand> services{};
    bool isLeaving = false; ///< the gateway stops and has no demand any more

    bool operator==(const GatewayStatement &) const = default;
};

/** Sum of the demand that the gateways of one availability zone have stated. */
struct ZoneDemand
{
    ZoneName zone{};
    int gateways = 0;
    std::chrono::milliseconds age{0}; ///< of the oldest statement in the sum
    std::chrono::milliseconds summedAgo{0}; ///< time since the exchange point of the zone calculated the sum
    std::vector<ServiceDemand> services{};
    double smallestProcessorShare = 0; ///< cores, of the gateways that state it; 0 if none does
    double largestProcessorShare = 0;

    bool operator==(const ZoneDemand &) const = default;
};

/** Demand at all gateways of the deployment except this one, as far as known. */
struct FleetDemand
{
    bool isKnown = false; ///< recent enough for decisions
    bool isShared = false; ///< the configuration calls for decisions by the demand of all gateways
    int gateways = 0; ///< whose demand is included
    std::chrono::milliseconds age{0}; ///< of the oldest part
    std::vector<ServiceDemand> services{};
    double smallestProcessorShare = 0; ///< cores, of the gateways that state it; 0 if none does
    double largestProcessorShare = 0;

    bool operator==(const FleetDemand &) const = default;
};

} // namespace Heatherridge
