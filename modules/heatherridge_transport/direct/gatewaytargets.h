#pragma once

#include "heatherridge_state/decisions/directplacement.h"
#include "heatherridge_state/decisions/loadestimate.h"
#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/direct/trafficcodec.h"

#include <map>
#include <set>
#include <vector>

namespace Heatherridge
{

/** What one gateway believes of one target. */
struct GatewayTarget
{
    TargetEntry entry{};
    LoadEstimate load{};
    SteadyTime lastHeard{}; ///< when bytes of any answer last came from it
    std::uint64_t reportVersion = 0; ///< how many load reports it has given
};

/**
 * The targets of a gateway with load and health. On the traffic thread alone.
 *
 * Targets that left the register stay until their last request has ended, but get nothing new.
 */
class GatewayTargets
{
public:
    /** A target with open requests that says nothing for so long stands still, and its whole group with it. */
    static constexpr std::chrono::milliseconds StallTime{700};

    explicit GatewayTargets(ZoneName zone);

    /** The register as it now is. @returns the targets that are gone */
    std::vector<TargetName> setEntries(const std::vector<TargetEntry> &entries);

    /** The target @p id, or nullptr once it is gone. */
    GatewayTarget *find(const TargetName &id);

    /** How many targets of @p service take new requests. */
    std::size_t usableCount(const ServiceName &service) const;

    /** Where to send a request for @p service that @p tried have failed or refused; nullptr for nowhere. */
    GatewayTarget *choose(const ServiceName &service, const std::set<TargetName> &tried, SteadyTime now,
                          RandomSource &random);

    /** An attempt at @p id ended; tells of its health. */
    void record(const TargetName &id, Attempt attempt, SteadyTime now);

    /** Whether @p target has open requests and has said nothing for StallTime. */
    static bool isStalled(const GatewayTarget &target, SteadyTime now);

private:
    bool isUsable(const GatewayTarget &target, const ServiceName &service) const;

    ZoneName m_zone;
    std::map<TargetName, GatewayTarget> m_targets;
    std::set<TargetName> m_gone; ///< left the register, with requests open
    std::map<ServiceName, HealthTracker> m_health;
};

} // namespace Heatherridge
