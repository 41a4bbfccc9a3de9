#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/demand/fleetdemand.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * Decides which workspaces demand more than their fair share of the engines of one service.
 *
 * Load pattern: one workspace sends ten times its share while 23 are quiet; a new one appears during the shortage;
 * callers of one workspace repeat at once and often. In order of arrival the quiet workspaces would lose as large a
 * part of their streams as the one that causes the shortage.
 *
 * - Shares are max-min fair with equal weights: the level L is such that the sum of min(demand, L) is the rate at which
 *   streams are admitted. A workspace whose demand is above L is over its share.
 * - Demand is measured by arrivals, so repeats are charged to the workspace whose callers repeat.
 * - Arrivals that no workspace is named for belong to workspaces less busy than all named ones; these are within their
 *   share.
 * - This only orders streams. While all demand is admitted, or the waiting streams are admitted at once, there is no
 *   level, and no workspace is over its share.
 *
 * Single-threaded; one object for each service.
 */
class FairShare
{
public:
    /** Part of the demand that may be missing in the admitted rate without a shortage: error of the measured rates. */
    static constexpr double ShortageTolerance = 0.05;
    /**
     * Time in which the waiting streams of all gateways are admitted, from which on there is a shortage. At 84% of the
     * capacity, random arrivals make streams wait for up to 65 ms.
     */
    static constexpr std::chrono::milliseconds MinBacklog{100};
    /**
     * Standard deviations of the measured demand by which it must be above the level. Without a margin, a workspace of
     * one arrival per second is over a level of half of that for each of its arrivals. With two, of 24 equal workspaces
     * in a shortage of a sixth the few over their share got a fifth less than the level (replay in fairshare_test.cpp).
     */
    static constexpr double NoiseMargin = 1;
    /** A workspace is within its share again once its demand has not been above the level for this long. */
    static constexpr std::chrono::seconds ReturnDelay{1};
    /** Updates are only used once they have come for this long: before, the rates do not cover a time constant. */
    static constexpr std::chrono::seconds MeasuringTime{1};
    /** Workspaces remain over their share for this long after the last update. */
    static constexpr std::chrono::seconds Lifetime{5};

    /** A workspace that has become over or within its share. */
    struct Change
    {
        WorkspaceName workspace{};
        bool isOver = false;
        double arrivalsPerSecond = 0;
        std::optional<double> level{}; ///< arrivals per second; empty if there is no shortage
    };

    /**
     * Updates the shares.
     * @param fleet demand for the service at all gateways, this one included
     * @param admittedPerSecond streams that are admitted at all gateways
     */
    void update(const ServiceDemand &fleet, double admittedPerSecond, SteadyTime now);

    bool isOverShare(const WorkspaceName &workspace) const;

    /** Returns the number of workspaces over their share. */
    std::size_t overShareCount() const;

    /** Ends shares that have not been updated for Lifetime. */
    void tick(SteadyTime now);

    /** Returns the changes since the last call, in the order in which they happened. */
    std::vector<Change> takeChanges();

private:
    void setWithin(const WorkspaceName &workspace, double arrivalsPerSecond);

    /** Workspaces over their share, with the time when their demand was last above the level. */
    std::map<WorkspaceName, SteadyTime> m_overShare;
    std::optional<double> m_level;
    std::optional<SteadyTime> m_updatedSince; ///< first update, or the first one after a pause of Lifetime
    SteadyTime m_updatedAt{};
    std::vector<Change> m_changes;
};

} // namespace Heatherridge
