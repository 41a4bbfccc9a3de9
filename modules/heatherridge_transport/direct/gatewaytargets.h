#pragma once

#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_state/decisions/engineplacement.h"
#include "heatherridge_state/decisions/groupadmission.h"
#include "heatherridge_state/decisions/loadestimate.h"
#include "heatherridge_state/decisions/targetratelimit.h"
#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/direct/trafficcodec.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** What one gateway believes of one target. */
struct GatewayTarget
{
    TargetEntry entry{};
    LoadEstimate load{};
    SteadyTime lastReceivedAt{}; ///< when bytes of any answer last came from it
    std::optional<EngineView> engine{}; ///< of an engine in an expert group, its own last word
    int sentSinceReport = 0; ///< requests of this gateway since the engine's last word
    SteadyTime refusedUntil{}; ///< it has refused a request; nothing is sent before
    TargetRateLimit limit{}; ///< of the requests that it takes from all entries together
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
    static constexpr std::chrono::milliseconds StallTimeout{700};

    explicit GatewayTargets(ZoneName zone);

    /** The register as it now is. @returns the targets that are gone */
    std::vector<TargetName> setEntries(const std::vector<TargetEntry> &entries);

    /** How the engines of each service work. */
    void setEngineProfiles(const RoutingConfig &config);

    /** What the engines of expert groups say of themselves. */
    void updateEngines(const std::vector<EngineView> &engines);

    /** The target @p id, or nullptr once it is gone. */
    GatewayTarget *find(const TargetName &id);

    /**
     * This gateway's part of what all gateways do.
     * @param limitShare of the limits that targets name; those of all gateways add up to 1
     * @param capacityShare of the room that engines report, over 0; what is left is for the other gateways
     */
    void setShares(double limitShare, double capacityShare);

    /** Where a request goes. */
    struct Choice
    {
        GatewayTarget *target = nullptr; ///< null for nowhere
        double load = 0; ///< that the target is believed to have
        bool isFull = false; ///< there are targets, but all have as much as they should
        std::optional<std::chrono::milliseconds>
            limitWait{}; ///< until a target may get more by the limit that it names
    };

    /**
     * Where to send a request for @p service that @p tried have failed or refused.
     * @param urgency of a stream
     */
    Choice choose(const ServiceName &service, const std::set<TargetName> &tried, Urgency urgency, SteadyTime now,
                  RandomSource &random);

    /** A stream was sent to an engine of @p group. */
    void recordSend(const GroupName &group, SteadyTime now);

    /** A stream of @p group had @p pause between two events: a pass of the group took as long. */
    void recordPause(const GroupName &group, std::chrono::milliseconds pause, SteadyTime now);

    /** What an answer of @p target says of its limit. @returns whether it is another one than before */
    bool updateLimit(GatewayTarget &target, std::optional<double> requestsPerSecond, SteadyTime now,
                     RandomSource &random) const;

    /** @p id has refused a request. */
    void recordRefusal(const TargetName &id, SteadyTime now);

    /** An attempt at @p id ended; tells of its health. */
    void recordAttempt(const TargetName &id, AttemptOutcome attempt, SteadyTime now);

    /** Whether @p target has open requests and has said nothing for StallTime. */
    static bool isStalled(const GatewayTarget &target, SteadyTime now);

private:
    bool hasUsedCapacityShare(const GatewayTarget &target) const;
    static void addToGroup(GroupLoad &work, const GatewayTarget &target, double load, SteadyTime now);
    bool isUsable(const GatewayTarget &target, const ServiceName &service) const;
    DirectCandidate makeCandidate(const GatewayTarget &target, double averageOthers, const HealthTracker &health,
                                  const std::set<TargetName> &tried, SteadyTime now) const;
    std::optional<std::chrono::milliseconds> shortestLimitWait(const std::vector<GatewayTarget *> &targets,
                                                               SteadyTime now) const;
    Choice chooseEngine(const std::vector<GatewayTarget *> &targets, const std::vector<DirectCandidate> &candidates,
                        const PassTimeModel &rules, Urgency urgency, SteadyTime now, RandomSource &random);

    ZoneName m_zone;
    double m_limitShare = 0;
    double m_capacityShare =
        0.25; ///< of the room that engines report, until the share of the work is known: four gateways
    std::map<GroupName, GroupAdmission> m_groups;
    std::map<TargetName, GatewayTarget> m_targets;
    std::set<TargetName> m_unregistered; ///< left the register, with requests open
    std::map<ServiceName, HealthTracker> m_health;
    std::map<ServiceName, PassTimeModel> m_passBudgetRules; ///< of services with expert groups
};

} // namespace Heatherridge
