#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * Estimates the number of requests at one target from the view of one of several entries.
 *
 * Load pattern: several entries send to the same targets, and a target reports its load only with answers and statuses.
 * This entry's own requests are counted. The requests of the other entries are taken from the target's last report,
 * which decays with age towards the average of the other entries' requests at such targets. Single-threaded.
 */
class LoadEstimate
{
public:
    /** Time in which the weight of the last report halves: about half the length of a stream. */
    static constexpr std::chrono::milliseconds HalfLife{700};

    /** Called when this entry sends a request to the target. */
    void recordSent();

    /** Called when one of those requests ends. */
    void recordEnded();

    /** Called when the target reports @p total requests, running and waiting. */
    void recordReport(int total, SteadyTime now);

    /** Returns this entry's requests in flight. */
    int ownRequests() const;

    /** Returns this entry's requests in flight at the time of the last report. */
    int ownRequestsAtReport() const;

    /**
     * Returns the weight of the last report: 1 when it has just arrived, halving every HalfLife; 0 before any report.
     */
    double freshness(SteadyTime now) const;

    /** Returns the other entries' requests according to the last report. */
    double otherRequests() const;

    /**
     * Returns the estimated requests of all entries.
     * @param typicalOthers average number of the other entries' requests at such a target
     */
    double total(SteadyTime now, double typicalOthers) const;

private:
    int m_ownRequests = 0;
    int m_ownRequestsAtReport = 0;
    double m_otherRequests = 0;
    std::optional<SteadyTime> m_reportedAt;
};

} // namespace Heatherridge
