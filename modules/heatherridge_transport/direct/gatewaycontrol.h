#pragma once

#include "heatherridge_coordination/feed/registerfollower.h"
#include "heatherridge_coordination/feed/rulescopies.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_state/routing/targetdirectory.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * The control state of a gateway: follows rules and targets and says what is in force. On the control thread alone.
 *
 * A configuration with a lower version than one seen is never put in force, whatever the register answers. A record
 * that cannot be read names nothing and changes nothing else.
 */
class GatewayControl
{
public:
    /** What is promised of changes; how often the registers are read follows from it. */
    struct Options
    {
        /** A target that has said that it leaves gets nothing new after so long. */
        std::chrono::milliseconds withdrawalTime{2'000};
        /** Connections that have gone silent are noticed within this. */
        std::chrono::milliseconds silenceTime{3'000};
        int rulesCopies = 1; ///< copies of the rules, each in a partition of the log of its own
    };

    /** Part of the time for a withdrawal from one read for targets to the next; a read, its repeat after a failure and
     * the way to the traffic thread take the rest. Targets' heartbeats make a read that waits return at once. */
    static constexpr double TargetsReadPeriodFraction = 0.425;
    /** Time over which all gateways read the registers anew, for each target in it: larger registers take longer to
     * read, and belong to deployments with more gateways. */
    static constexpr std::chrono::microseconds RereadSpreadPerTarget{1'250};
    /** Part of the time for silence that a read for rules waits. Longer saves calls; a log that hangs is noticed after
     * it. */
    static constexpr double RulesWaitFraction = 0.6;

    struct Events
    {
        std::function<void(std::shared_ptr<const RouteTable>)> rulesChanged{};
        std::function<void(std::vector<TargetEntry>)> targetsChanged{};
        std::function<void(bool isReachable)> reachabilityChanged{}; ///< a register has been lost or regained
    };

    /** How long a read that waits for rules waits at most. */
    static std::chrono::milliseconds rulesWait(const Options &options);

    /** @p log and @p metrics must outlive it. */
    GatewayControl(RegisterLog &log, Options options, Events events, Metrics &metrics);

    /** Does what is due. Called every few tens of milliseconds. @param writesRulesCopies of the rules, for all gateways
     */
    void tick(SteadyTime now, bool writesRulesCopies);

    /**
     * The log has come back from an older copy. What is in force stays; the registers are read anew, each at a time
     * drawn from @p random, since all gateways notice at once.
     */
    void onLogRestored(RandomSource &random);

    /** All targets as they are believed to be. */
    std::vector<TargetEntry> targets() const;

    /** The rules in force; null before the first. */
    std::shared_ptr<const RouteTable> rules() const;

private:
    /** Where a record of rules was read. */
    enum class Source {
        Register,
        Copy,
    };

    void applyRules(const std::vector<RegisterChange> &changes, Source source);
    void applyRulesChange(const RegisterChange &change, Source source);
    void replaceTargets(const std::vector<RegisterChange> &changes);
    void changeTargets(const std::vector<RegisterChange> &changes);
    void publishTargets();
    void reportReachability(std::string_view registerName, bool isReachable, std::string_view reason);

    RegisterLog &m_log;
    Events m_events;
    Gauge &m_rulesVersion;
    Gauge &m_targetCount;
    Gauge &m_lapsedCount;
    Counter &m_malformedRecords;
    Counter &m_registerOutages;
    Counter &m_staleRules;
    Counter &m_rulesCopyFailures;
    RegisterFollower m_rulesFollower;
    RegisterFollower m_targetsFollower;
    RulesCopies m_rulesCopies;
    TargetDirectory m_directory;
    std::shared_ptr<const RouteTable> m_rules;
    std::vector<TargetEntry> m_publishedTargets;
    bool m_isRulesRegisterReachable = true;
    bool m_isTargetsRegisterReachable = true;
    SteadyTime m_now{};
};

} // namespace Heatherridge
