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
struct ListedHost
{
    HostName host{};
    HostMark mark = HostMark::Live;
};

/**
 * One observer's view of which targets may be given new work.
 *
 * Gathers the signals of inventory, host list and the targets' own processes, which disagree and come late, and decides
 * by standingFrom(). When half of the listed targets or more fall silent, it takes itself to be cut off and goes on
 * offering work to the silent ones; marks by those who have the say still count. No I/O. One thread.
 */
class Membership
{
public:
    explicit Membership(MembershipOptions options = {});

    /** The configuration in force; neither may be null. */
    void follow(std::shared_ptr<const Inventory> inventory, std::shared_ptr<const RuleSet> rules, SteadyTime now);

    /** A whole host list, as just read. A host that stands in it twice counts as leaving if any line says so. */
    void noteHostList(const std::vector<ListedHost> &hosts, SteadyTime now);

    /** A sign of life of @p target's process; @p takesWork is its own word on new work. */
    void noteHeard(const TargetName &target, bool takesWork, SteadyTime now);

    /** The process of @p target has refused new work for itself. */
    void noteRefusal(const TargetName &target, SteadyTime now);

    /** The verdict on @p target at @p now. */
    TargetStanding standingOf(const TargetName &target, SteadyTime now) const;

    /** Whether so many listed targets are silent at @p now that this observer takes the fault to be its own. */
    bool isObserverAtFault(SteadyTime now) const;

    /** The listed targets that stand where they stand for @p reason. */
    std::set<TargetName> targetsWith(StandingReason reason, SteadyTime now) const;

    /** How many listed targets stand for each reason, in the order of StandingReason. */
    std::array<std::size_t, StandingReasonCount> countByReason(SteadyTime now) const;

private:
    struct Known
    {
        SteadyTime watchedSince{};
        std::optional<SteadyTime> lastHeard{};
        std::optional<SteadyTime> heardAgainSince{};
        std::deque<SteadyTime> silencesEnded{};
        OwnWord ownWord = OwnWord::None;
    };

    struct KnownHost
    {
        HostMark mark = HostMark::Unknown;
        std::optional<SteadyTime> liveAgainSince{};
    };

    TargetSignals signalsOf(const Target &target, SteadyTime now) const;
    bool isSilent(const TargetName &target, SteadyTime now) const;

    MembershipOptions m_options;
    std::shared_ptr<const Inventory> m_inventory = std::make_shared<Inventory>();
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<RuleSet>();
    std::map<TargetName, Known> m_known;
    std::map<HostName, KnownHost> m_hosts;
};

} // namespace Heatherridge
