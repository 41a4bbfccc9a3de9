#pragma once

#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_state/decisions/engineplacement.h"
#include "heatherridge_state/decisions/groupadmission.h"
#include "heatherridge_state/decisions/loadestimate.h"
#include "heatherridge_state/decisions/targetadmission.h"
#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/direct/trafficcodec.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** The state of one target as estimated by one gateway. */
struct GatewayTarget
{
    TargetEntry entry{};
    LoadEstimate load{};
    SteadyTime lastReceivedAt{}; ///< when bytes of any response last arrived from it
    std::optional<EngineView> engine{}; ///< last report of an engine in an expert group
    int sentSinceReport = 0; ///< requests sent by this gateway since the engine's last report
    SteadyTime refusedUntil{}; ///< set when it refused a request; nothing is sent before this time
    TargetAdmission admission{}; ///< by its own statements
};

/**
 * The targets of a gateway with their load and health. Used on the traffic thread only.
 *
 * A target that left the register is kept until its last request has ended, but receives no new requests.
 */
class GatewayTargets
{
public:
    /** A target with open requests that sends nothing for longer is stalled, and its whole group with it. */
    static constexpr std::chrono::milliseconds StallTimeout{700};
    /** How long the statements of a target without an entry are kept after its last answer. */
    static constexpr std::chrono::minutes StatementRetention{5};

    explicit GatewayTargets(ZoneName zone);

    /** Replaces the registered targets. @returns the targets that are no longer registered */
    std::vector<TargetName> setEntries(const std::vector<TargetEntry> &entries);

    /** Sets the pass time model of each service with expert groups. */
    void setEngineProfiles(const RoutingConfig &config);

    /** Applies the latest reports of engines in expert groups. */
    void updateEngines(const std::vector<EngineView> &engines);

    /** Returns the target @p id, or nullptr once it has been removed. */
    GatewayTarget *find(const TargetName &id);

    /**
     * Sets this gateway's share of the resources that all gateways use.
     * @param limitShare of the limits that targets name; the shares of all gateways add up to 1
     * @param capacityShare of the free capacity that engines report; the rest is for the other gateways. 0 leaves the
     *        last share in force
     */
    void setShares(double limitShare, double capacityShare);

    /** The target chosen for a request. */
    struct Choice
    {
        GatewayTarget *target = nullptr; ///< null if no target can take the request
        double load = 0; ///< estimated load of the target
        bool isFull = false; ///< there are targets, but all are at capacity
        /** Until the first target accepts a request again, if all are held back by their own statements. */
        std::optional<std::chrono::milliseconds> heldFor{};
    };

    /**
     * Chooses a target for a request for @p service.
     * @param tried targets that have failed or refused the request
     * @param urgency of the request, if it is a stream
     */
    Choice choose(const ServiceName &service, const std::set<TargetName> &tried, Urgency urgency, SteadyTime now,
                  RandomSource &random);

    /** Records that a stream was sent to an engine of @p group. */
    void recordSend(const GroupName &group, SteadyTime now);

    /** Records the @p pause between two events of a stream of @p group: the time of one pass of the group. */
    void recordPause(const GroupName &group, std::chrono::milliseconds pause, SteadyTime now);

    /** Applies what an answer of @p target states. @returns whether it states something new */
    bool applyStatement(GatewayTarget &target, const TargetStatement &statement, SteadyTime now,
                        RandomSource &random) const;

    /** Forgets the statements of unregistered targets that are no longer in force. Called about once a second. */
    void tick(SteadyTime now);

    /** Records that the target @p id refused a request. */
    void recordRefusal(const TargetName &id, SteadyTime now);

    /** Records the end of an attempt at the target @p id, as a sample of its health. */
    void recordAttempt(const TargetName &id, AttemptOutcome attempt, SteadyTime now);

    /** Returns whether @p target has open requests and has sent nothing for longer than StallTimeout. */
    static bool isStalled(const GatewayTarget &target, SteadyTime now);

private:
    bool hasUsedCapacityShare(const GatewayTarget &target) const;
    static void addToGroup(GroupLoad &work, const GatewayTarget &target, double load, SteadyTime now);
    bool isUsable(const GatewayTarget &target, const ServiceName &service, SteadyTime now) const;
    GatewayTarget &addEntry(const TargetEntry &entry);
    DirectCandidate makeCandidate(const GatewayTarget &target, double averageOthers, const HealthTracker &health,
                                  const std::set<TargetName> &tried, SteadyTime now) const;
    std::optional<std::chrono::milliseconds> timeUntilAnyAllowed(const std::vector<GatewayTarget *> &targets,
                                                                 SteadyTime now) const;
    Choice chooseEngine(const std::vector<GatewayTarget *> &targets, const std::vector<DirectCandidate> &candidates,
                        const PassTimeModel &passTimeModel, Urgency urgency, SteadyTime now, RandomSource &random);

    ZoneName m_zone;
    double m_limitShare = 0;
    double m_capacityShare = 0.25; ///< of the free capacity of engines; assumes four gateways until the share is known
    std::map<GroupName, GroupAdmission> m_groups;
    std::map<TargetName, GatewayTarget> m_targets;
    std::set<TargetName> m_unregistered; ///< targets that left the register with requests open
    /** Targets without an entry whose statements are in force: an entry may be missing although its target serves. */
    std::map<TargetName, GatewayTarget> m_withoutEntry;
    std::map<ServiceName, HealthTracker> m_health;
    std::map<ServiceName, PassTimeModel> m_passTimeModels; ///< of services with expert groups
};

} // namespace Heatherridge
