#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Heatherridge
{

/**
 * Space-saving sketch of the workspaces with the most arrivals, in bounded memory.
 *
 * Load pattern: thousands of workspaces, of which a few send most streams. Weights of arrivals decay with the time
 * constant of DecayingRate. With R arrivals per second of all workspaces, each workspace with more than R / Capacity is
 * in the sketch, and the rate given for a workspace is at most R / Capacity below its true rate and never above it.
 * With up to Capacity workspaces the rates are exact. Value type, single-threaded.
 */
class BusiestWorkspaces
{
public:
    static constexpr std::size_t Capacity = 64;

    struct Rate
    {
        WorkspaceName workspace{};
        double arrivalsPerSecond = 0;
    };

    void recordArrival(const WorkspaceName &workspace, SteadyTime now);

    /** Returns at most @p maxCount workspaces with a rate above zero, the busiest first. */
    std::vector<Rate> busiest(std::size_t maxCount, SteadyTime now) const;

private:
    /** Weights are those at m_reference, so that all entries decay together without being touched. */
    struct Entry
    {
        double weight = 0; ///< of the arrivals, and of those that may belong to workspaces that were evicted
        double maxError = 0; ///< part of the weight that may belong to other workspaces
    };

    void moveReference(SteadyTime now);
    Entry takeLightest();

    std::unordered_map<WorkspaceName, Entry> m_entries;
    SteadyTime m_reference{};
};

} // namespace Heatherridge
