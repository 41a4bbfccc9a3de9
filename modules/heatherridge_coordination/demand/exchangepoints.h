#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/routing/targetentry.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Heatherridge
{

/**
 * Chooses the sidecar in each availability zone through which gateways exchange what they know.
 *
 * The exchange point of a zone is the sidecar of the target with the highest rendezvous hash, so that all gateways
 * choose the same one without an election. One that does not answer is skipped for a while in favour of the next one.
 * Single-threaded.
 */
class ExchangePoints
{
public:
    /** Time for which a sidecar that failed to answer is not the exchange point. */
    static constexpr std::chrono::milliseconds FailureTime{4'000};
    /**
     * Targets of a zone that are considered as its exchange point. Within FailureTime, 20 calls can fail at the
     * shortest period of any exchange, so more candidates would never be reached.
     */
    static constexpr std::size_t CandidatesPerZone = 24;

    /** @param ownZone the gateway's */
    explicit ExchangePoints(ZoneName ownZone);

    /** Replaces the targets whose sidecars can be exchange points. Returns whether the home zone has changed. */
    bool setTargets(const std::vector<TargetEntry> &targets);

    /** Returns the zone whose exchange point this gateway uses most: its own if that has targets. */
    const ZoneName &homeZone() const;

    /** Returns the exchange point of @p zone; null if it has none at present. */
    const TargetEntry *find(const ZoneName &zone, SteadyTime now) const;

    /** Returns all zones with targets except the home zone, in a fixed order. */
    std::vector<ZoneName> otherZones() const;

    /** Returns the zone that follows @p last in otherZones(); an empty name if there are no others. @param start
     * chooses the first zone if @p last is empty */
    ZoneName zoneAfter(const ZoneName &last, std::uint64_t start) const;

    void recordAnswer(const TargetName &target);
    void recordFailure(const TargetName &target, SteadyTime now);

private:
    struct Candidate
    {
        std::uint64_t hash = 0;
        TargetEntry target{};
    };

    ZoneName m_ownZone;
    ZoneName m_homeZone;
    std::map<ZoneName, std::vector<Candidate>> m_candidates; ///< best first
    std::map<TargetName, SteadyTime> m_failures; ///< time of the last failed call
};

} // namespace Heatherridge
