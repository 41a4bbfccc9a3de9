#pragma once

#include "heatherridge_state/decisions/engineplacement.h"
#include "heatherridge_state/decisions/groupadmission.h"
#include "heatherridge_state/decisions/rankadmission.h"
#include "heatherridge_state/routing/regionrule.h"
#include "heatherridge_transport/direct/engineshares.h"
#include "heatherridge_transport/direct/gatewaytarget.h"
#include "heatherridge_transport/direct/servicewarmups.h"
#include "heatherridge_transport/direct/trafficcodec.h"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** What a request needs of its target. */
struct TargetRequirements
{
    ServiceName service{};
    std::set<TargetName> tried{}; ///< targets that have failed or refused the request
    Urgency urgency = Urgency::OnTime; ///< of a stream
    RegionRule regions{};
    /** Whether the stream may use a part of the free capacity; not set if only its own headroom counts. */
    std::function<bool(const RankAdmission::Capacity &)> mayAdmit{};
};

/** Why no target was chosen for a request. */
enum class NoChoiceReason {
    NoTarget, ///< none is registered, reachable and healthy
    AllFull,
    AllHeldBack, ///< by their own statements or by limits on what they accept
    ZonesDrained, ///< the operator has drained the zones of all that could serve it
    PartHeld, ///< a part of its prompt is held until the fate of another request with it is known
    OutsideRegions, ///< all that could serve it are in regions that the request does not allow
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

    GatewayTargets(ZoneName zone, ZoneRegions regions, WarmUpTolerance tolerance = {},
                   EngineShares::Options shares = {});

    /** Replaces the registered targets. @returns the targets that are no longer registered */
    std::vector<TargetName> setEntries(const std::vector<TargetEntry> &entries, SteadyTime now);

    /** Sets the warm-up of each service and the pass time model of those with expert groups. */
    void setServices(const RoutingConfig &config);

    /**
     * Replaces the availability zones whose targets get no new requests. The targets of a zone that is not drained any
     * more count as cold for the warm-up time of their service: without work they may have lost their caches.
     */
    void setDrainedZones(const std::set<ZoneName> &zones, SteadyTime now);

    /** Sets the partitions of the log by which the warm-up rates of targets are divided among the gateways. */
    void setOwnedPartitions(const OwnedPartitions &owned, SteadyTime now);

    /** Applies the latest reports of engines in expert groups. */
    void updateEngines(const std::vector<EngineView> &engines);

    /** Returns the target @p id, or nullptr once it has been removed. */
    GatewayTarget *find(const TargetName &id);

    /**
     * Sets this gateway's share of the limits that targets name; the shares of all gateways add up to 1.
     */
    void setLimitShare(double share);

    /** Returns this gateway's shares of the free capacity that engines report. */
    EngineShares &engineShares();

    /** The target chosen for a request. */
    struct Choice
    {
        GatewayTarget *target = nullptr; ///< null if no target can take the request
        double load = 0; ///< estimated load of the target
        NoChoiceReason reason = NoChoiceReason::NoTarget; ///< if there is no target
        /** Until the first target accepts a request again, if all are held back. */
        std::optional<std::chrono::milliseconds> heldFor{};
    };

    /** Chooses a target for a request. */
    Choice choose(const TargetRequirements &request, SteadyTime now, RandomSource &random);

    /** Records that a stream was sent to an engine of @p group. */
    void recordSend(const GroupName &group, SteadyTime now);

    /** Records the @p pause between two events of a stream of @p group: the time of one pass of the group. */
    void recordPause(const GroupName &group, std::chrono::milliseconds pause, SteadyTime now);

    /** Applies what an answer of @p target states. @returns whether it states something new */
    bool applyStatement(GatewayTarget &target, const TargetStatement &statement, SteadyTime now,
                        RandomSource &random) const;

    /** Forgets the statements of unregistered targets that are no longer in force. Called about once a second. */
    void tick(SteadyTime now);

    /** Records that @p target answers a request. */
    void recordAnswer(GatewayTarget &target, SteadyTime now) const;

    /** Records that the target @p id could not be reached: it may have ended, and may start again. */
    void recordUnreachable(const TargetName &id);

    /** Applies heartbeats read from the log. @returns the targets that were expected to restart and have not ended */
    std::vector<TargetName> recordHeartbeats(const std::vector<TargetHeartbeat> &heartbeats);

    /** Returns whether a target may be expected to restart, so that heartbeats tell something. Thread-safe. */
    bool mayExpectRestarts() const;

    /** Records that the target @p id refused a request. */
    void recordRefusal(const TargetName &id, SteadyTime now);

    /** Records the end of an attempt at the target @p id, as a sample of its health. */
    void recordAttempt(const TargetName &id, AttemptOutcome attempt, SteadyTime now);

    /** Returns whether @p target has open requests and has sent nothing for longer than StallTimeout. */
    static bool isStalled(const GatewayTarget &target, SteadyTime now);

private:
    /** The targets that can take a request, and why others cannot. */
    struct Eligible
    {
        std::vector<GatewayTarget *> targets{};
        bool anyInDrainedZone = false;
        bool anyOutsideRegions = false;
    };

    Eligible findEligible(const TargetRequirements &request, bool hasEngineGroups, SteadyTime now);
    AdmissionShare admissionShare(const GatewayTarget &target, SteadyTime now) const;
    void applyEntryWarmUp(GatewayTarget &target, const TargetEntry &entry, SteadyTime now);
    Choice noChoice(const Eligible &eligible, bool isFull, SteadyTime now) const;
    bool hasUsedCapacityShare(const GatewayTarget &target, double share) const;
    static void addToGroup(GroupLoad &work, const GatewayTarget &target, double load, SteadyTime now);
    bool isUsable(const GatewayTarget &target, const ServiceName &service, SteadyTime now) const;
    GatewayTarget &addEntry(const TargetEntry &entry);
    DirectCandidate makeCandidate(const GatewayTarget &target, double averageOthers, const HealthTracker &health,
                                  const std::set<TargetName> &tried, SteadyTime now) const;
    std::optional<std::chrono::milliseconds> timeUntilAnyAllowed(const std::vector<GatewayTarget *> &targets,
                                                                 SteadyTime now) const;
    Choice chooseEngine(const Eligible &eligible, const std::vector<DirectCandidate> &candidates,
                        const PassTimeModel &passTimeModel, const TargetRequirements &request, SteadyTime now,
                        RandomSource &random);

    ZoneName m_zone;
    ZoneRegions m_zoneRegions;
    std::set<ZoneName> m_drainedZones;
    ServiceWarmUps m_warmUps;
    double m_limitShare = 0;
    EngineShares m_engineShares;
    std::map<GroupName, GroupAdmission> m_groups;
    std::map<TargetName, GatewayTarget> m_targets;
    std::atomic<bool> m_mayExpectRestarts{false};
    std::set<TargetName> m_unregistered; ///< targets that left the register with requests open
    /** Targets without an entry whose statements are in force: an entry may be missing although its target serves. */
    std::map<TargetName, GatewayTarget> m_withoutEntry;
    std::map<ServiceName, HealthTracker> m_health;
    std::map<ServiceName, PassTimeModel> m_passTimeModels; ///< of services with expert groups
};

} // namespace Heatherridge
