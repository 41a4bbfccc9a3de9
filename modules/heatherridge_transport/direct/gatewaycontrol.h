#pragma once

#include "heatherridge_coordination/feed/registerfollower.h"
#include "heatherridge_coordination/feed/rulescopies.h"
#include "heatherridge_protocol/rulesmessage.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/routing/drainedzones.h"
#include "heatherridge_state/routing/regionrule.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_state/routing/targetdirectory.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * The control state of a gateway: follows the registers of rules and targets and publishes what is in force. Used on
 * the control thread only.
 *
 * A configuration with a lower version than one already seen is never put in force, whatever the register returns. A
 * record that cannot be decoded is ignored and does not affect other records.
 */
class GatewayControl
{
public:
    /** Time limits for changes to take effect; the read periods of the registers are derived from them. */
    struct Options
    {
        /** Time after which a target that announced its withdrawal receives no new requests. */
        std::chrono::milliseconds withdrawalTime{2'000};
        /** Time within which a configuration must be in force at all gateways. */
        std::chrono::milliseconds configTime{2'000};
        /** Time within which silent connections are detected. */
        std::chrono::milliseconds silenceTime{3'000};
        int rulesCopies = 1; ///< copies of the rules, each in its own partition of the log
        ZoneRegions zoneRegions{}; ///< the availability zones of the platform
    };

    /** Period of reading the targets, as a fraction of withdrawalTime. The rest covers one read, its retry after a
     * failure and the hand-over to the traffic thread. Reads are periodic because targets' heartbeats would end a
     * waiting read at once. */
    static constexpr double TargetsReadPeriodFraction = 0.425;
    /** Time over which all gateways spread re-reading the registers, per registered target: larger registers take
     * longer to read and belong to deployments with more gateways. */
    static constexpr std::chrono::microseconds RereadSpreadPerTarget{1'250};
    /** Longest wait of a read of the rules, as a fraction of silenceTime. A longer wait saves calls, but a log that
     * hangs is detected only when the wait is over. */
    static constexpr double RulesWaitFraction = 0.6;

    struct Events
    {
        std::function<void(std::shared_ptr<const RouteTable>)> rulesChanged{};
        /** Called with the record of the rules that have been put in force, to pass on to other gateways. */
        std::function<void(const RulesRecord &)> rulesRecordChanged{};
        std::function<void(std::vector<TargetEntry>)> targetsChanged{};
        /** Called with the entries that targets have written since the last read, also those that tell nothing new. */
        std::function<void(std::vector<TargetHeartbeat>)> heartbeatsRead{};
        std::function<void(std::set<ZoneName>)> drainedZonesChanged{};
        /** Called with the drained zones as read from the register, to pass on to other gateways. */
        std::function<void(const ZoneDrains &)> drainsRead{};
        std::function<void(bool isReachable)> reachabilityChanged{}; ///< of one of the two registers
    };

    /** Returns how long a read of the rules waits for a change at most. */
    static std::chrono::milliseconds rulesWait(const Options &options);

    /** @p log and @p metrics must outlive this object. */
    GatewayControl(RegisterLog &log, Options options, Events events, Metrics &metrics);

    /**
     * Performs the work that is due. Called every few tens of milliseconds.
     * @param writesRulesCopies whether this gateway writes the copies of the rules for all gateways
     */
    void tick(SteadyTime now, bool writesRulesCopies);

    /**
     * Called when the log was restored from an older copy. What is in force stays in force. Each register is read again
     * after a delay drawn from @p random, since all gateways detect the restore at the same time.
     */
    void logRestored(RandomSource &random);

    /** Puts a newer version of the rules in force that @p target's sidecar has received from another gateway. */
    void applyPeerRules(const RulesRecord &record, const TargetName &target);

    /** Puts the drained zones in force that another gateway has read, unless this one can read the register. */
    void applyPeerDrains(const ZoneDrains &drains);

    /** Returns whether the last read of the register of rules was answered. */
    bool readsRules() const;

    /** Returns all targets in their current state, as far as known. */
    std::vector<TargetEntry> targets() const;

    /** Returns the rules in force; null before the first. */
    std::shared_ptr<const RouteTable> rules() const;

private:
    /** The source of a rules record. */
    enum class Source {
        Register,
        Copy,
        Peer, ///< another gateway
    };

    static std::string_view nameOf(Source source);

    void replaceRules(const std::vector<RegisterChange> &changes);
    void changeRules(const std::vector<RegisterChange> &changes);
    void applyRules(const std::vector<RegisterChange> &changes, Source source);
    std::optional<ZoneDrain> readZoneDrain(const RegisterChange &change);
    void publishDrainedZones(Source source);
    void passOnDrains();
    void applyCopiedDrains(const std::set<ZoneName> &zones);
    void applyRulesChange(const RegisterChange &change, Source source);
    void replaceTargets(const std::vector<RegisterChange> &changes);
    void changeTargets(const std::vector<RegisterChange> &changes);
    void reportHeartbeats(const std::vector<TargetRecord> &records) const;
    void publishTargets();
    void reportReachability(std::string_view registerName, bool isReachable, std::string_view reason);

    RegisterLog &m_log;
    Events m_events;
    Gauge &m_rulesVersion;
    Gauge &m_targetCount;
    Gauge &m_lapsedCount;
    Gauge &m_drainedZoneCount;
    Counter &m_malformedRecords;
    Counter &m_unknownZones;
    Counter &m_registerOutages;
    Counter &m_staleRules;
    Counter &m_rulesCopyFailures;
    Counter &m_peerRules;
    RegisterFollower m_rulesFollower;
    RegisterFollower m_targetsFollower;
    RulesCopies m_rulesCopies;
    TargetDirectory m_directory;
    std::shared_ptr<const RouteTable> m_rules;
    ZoneRegions m_zoneRegions;
    DrainedZones m_drainedZones;
    std::vector<TargetEntry> m_publishedTargets;
    bool m_hasReadRulesRegister = false; ///< from then on, copies no longer determine the drained zones
    bool m_isRulesRegisterReachable = true;
    bool m_isTargetsRegisterReachable = true;
    SteadyTime m_now{};
};

} // namespace Heatherridge
