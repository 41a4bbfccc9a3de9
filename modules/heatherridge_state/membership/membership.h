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

/** One line of the platform's host list. */
struct HostListEntry
{
    HostName host{};
    HostState state = HostState::Live;
};

/**
 * One observer's view of which targets may be given new work.
 *
 * Gathers the signals of inventory, host list and the targets' own processes, which disagree and come late, and decides
 * by determineEligibility(). When half of the listed targets or more fall silent, it takes itself to be cut off and
 * goes on offering work to the silent ones; marks by those who have the say still count. No I/O. One thread.
 */
class Membership
{
public:
    explicit Membership(MembershipOptions options = {});

    /** The configuration in force; neither may be null. */
    void updateConfiguration(std::shared_ptr<const Inventory> inventory, std::shared_ptr<const RuleSet> rules,
                             SteadyTime now);

    /** A whole host list, as just read. A host that stands in it twice counts as leaving if any line says so. */
    void updateHostList(const std::vector<HostListEntry> &hosts, SteadyTime now);

    /** A sign of life of @p target's process; @p acceptsWork is its own word on new work. */
    void recordHeartbeat(const TargetName &target, bool acceptsWork, SteadyTime now);

    /** The process of @p target has refused new work for itself. */
    void recordRefusal(const TargetName &target, SteadyTime now);

    /** The verdict on @p target at @p now. */
    TargetEligibility eligibilityOf(const TargetName &target, SteadyTime now) const;

    /** Whether so many listed targets are silent at @p now that this observer takes the fault to be its own. */
    bool isObserverAtFault(SteadyTime now) const;

    /** The listed targets that stand where they stand for @p reason. */
    std::set<TargetName> targetsWithReason(EligibilityReason reason, SteadyTime now) const;

    /** How many listed targets stand for each reason, in the order of EligibilityReason. */
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
