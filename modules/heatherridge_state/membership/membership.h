#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/config/inventory.h"
#include "heatherridge_state/config/ruleset.h"
#include "heatherridge_state/membership/targetsignals.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Heatherridge
{

/** An entry of the platform's host list. */
struct HostListEntry
{
    HostName host{};
    HostState state = HostState::Live;
};

/**
 * One observer's view of which targets may receive new work.
 *
 * Collects signals from the inventory, the host list and the targets' own processes, which can be delayed and
 * contradictory, and decides by determineEligibility(). If half or more of the listed targets are silent, the observer
 * assumes that it is cut off itself and keeps offering work to the silent targets; explicit removals (withdrawal,
 * planned stop, leaving host, the target's own refusal) still apply. Performs no I/O. Must be used from one thread.
 */
class Membership
{
public:
    explicit Membership(MembershipOptions options = {});

    /** Sets the current configuration; neither pointer may be null. */
    void updateConfiguration(std::shared_ptr<const Inventory> inventory, std::shared_ptr<const RuleSet> rules,
                             SteadyTime now);

    /** Applies a complete host list. A host that is listed twice counts as leaving if any of its entries says so. */
    void updateHostList(const std::vector<HostListEntry> &hosts, SteadyTime now);

    /** Records a heartbeat from the process of @p target; @p acceptsWork is whether it reports to accept new work. */
    void recordHeartbeat(const TargetName &target, bool acceptsWork, SteadyTime now);

    /** Records that the process of @p target has refused new work. */
    void recordRefusal(const TargetName &target, SteadyTime now);

    /** Returns the eligibility of @p target at @p now. */
    TargetEligibility eligibilityOf(const TargetName &target, SteadyTime now) const;

    /** Returns whether so many listed targets are silent at @p now that the fault is assumed to be this observer's. */
    bool isObserverAtFault(SteadyTime now) const;

    /** Returns the listed targets whose eligibility is decided by @p reason. */
    std::set<TargetName> targetsWithReason(EligibilityReason reason, SteadyTime now) const;

    /** Returns the number of listed targets for each reason, in the order of EligibilityReason. */
    std::array<std::size_t, EligibilityReasonCount> countByReason(SteadyTime now) const;

private:
    struct SignalHistory
    {
        SteadyTime observedSince{};
        std::optional<SteadyTime> lastHeard{};
        std::optional<SteadyTime> resumedAt{};
        std::deque<SteadyTime> silenceEndTimes{};
        SelfReport selfReport = SelfReport::None;
    };

    struct HostRecord
    {
        HostState state = HostState::Unknown;
        std::optional<SteadyTime> liveAgainSince{};
    };

    TargetSignals collectSignals(const Target &target, SteadyTime now) const;
    bool isSilent(const TargetName &target, SteadyTime now) const;

    MembershipOptions m_options;
    std::shared_ptr<const Inventory> m_inventory = std::make_shared<Inventory>();
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<RuleSet>();
    std::map<TargetName, SignalHistory> m_histories;
    std::map<HostName, HostRecord> m_hosts;
};

} // namespace Heatherridge
