#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * How many requests one target has, as one of several entries can know it.
 *
 * Load pattern: several entries send to the same targets, and a target tells its load only with answers and statuses.
 * The own part is counted; the others' part is what the target last told, fading with age into what others have at such
 * targets on average. One thread.
 */
class LoadEstimate
{
public:
    /** The others' part halves in this time without news: about half of a stream's length. */
    static constexpr std::chrono::milliseconds HalfLife{700};

    /** This entry sends the target a request. */
    void recordSent();

    /** One of the requests has ended. */
    void recordEnded();

    /** The target says that it has @p total requests, running and waiting. */
    void recordReport(int total, SteadyTime now);

    /** Own requests that have not ended. */
    int ownRequests() const;

    /** Own requests when the target last told its load. */
    int ownRequestsAtReport() const;

    /** How much the others' part still says: 1 when the target has just told it, halving with HalfLife; 0 before. */
    double freshness(SteadyTime now) const;

    /** The others' part as the target last told it. */
    double otherRequests() const;

    /**
     * Requests of all entries, as far as known.
     * @param usualOthers that others have at such a target on average
     */
    double total(SteadyTime now, double typicalOthers) const;

private:
    int m_ownRequests = 0;
    int m_ownRequestsAtReport = 0;
    double m_otherRequests = 0;
    std::optional<SteadyTime> m_reportedAt;
};

} // namespace Heatherridge
