#pragma once

#include <chrono>
#include <cstddef>

namespace Heatherridge
{

/** What is known of the streams that the other gateways have at the engines of one service. */
struct OtherStreamsInput
{
    double stated = 0; ///< in progress according to the other gateways' statements
    std::chrono::milliseconds statedAge{0}; ///< of the oldest statement
    double reported = 0; ///< estimated from the statuses of the engines that have reported
    std::chrono::milliseconds reportedAge{0}; ///< mean age of these statuses
    std::size_t reportingEngines = 0;
    std::size_t engines = 0; ///< of the service, registered
    bool isStarting = false; ///< statements were first compared with statuses less than StatusStartDuration ago, or
                             ///< never yet
};

/** How the streams of the other gateways are derived from the engines' statuses. */
struct OtherStreams
{
    double factor = 1; ///< of the requests that statuses report
    double perEngine = 0; ///< to be added for each engine
    double growthWeight = 1; ///< of the growth that is assumed since the statuses
    bool isStated = false; ///< whether the statements were used

    bool operator==(const OtherStreams &) const = default;
};

/** Statements may change the reported requests by this factor at most, and by its inverse at least. */
constexpr double MaxStatedFactor = 2;
/**
 * Statuses of a deployment with 18 gateways are up to 1.8 s old. Those that a gateway receives during this time may
 * show the engines as they were before a common start, so MaxStatedFactor does not limit the statements yet.
 */
constexpr std::chrono::milliseconds StatusStartDuration{2'000};

/**
 * Determines how far the statements of the other gateways correct the statuses of the engines.
 *
 * Load pattern: after a power loss all gateways start within a second and send their callers' streams to engines whose
 * statuses show none of these yet; or one gateway starts among busy ones. Statements arrive within a few hundred
 * milliseconds, the statuses of all engines only within seconds. Statements that are older than the statuses change
 * nothing.
 */
OtherStreams otherStreams(const OtherStreamsInput &input);

} // namespace Heatherridge
