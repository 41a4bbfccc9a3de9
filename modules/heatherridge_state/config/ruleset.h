#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/config/inidocument.h"
#include "heatherridge_state/decisions/placementrules.h"

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** One customer and its due share. */
struct Workspace
{
    WorkspaceName name{};
    double weight = 1; ///< share relative to the others
    std::string key{}; ///< bearer key that maps to it; empty for none
    int priority = 0; ///< added to the request's own; -10 to 10, higher first

    bool operator==(const Workspace &) const = default;
};

/** One pattern of calls that may be repeated: a method and a path, where a final `*` stands for any rest. */
struct RepeatableCall
{
    std::string method{};
    std::string path{};

    bool operator==(const RepeatableCall &) const = default;
};

/** Rules of one service. */
struct ServiceRules
{
    ServiceName name{};
    std::vector<RepeatableCall> repeatable{}; ///< calls that are idempotent; all others are not
    std::chrono::milliseconds timeout{30'000}; ///< deadline of a request that names none

    bool operator==(const ServiceRules &) const = default;
};

/** A planned stop: from its acceptance on, the target drains. */
struct PlannedStop
{
    std::string name{};
    TargetName target{};

    bool operator==(const PlannedStop &) const = default;
};

/** What the operator weighs when expert maps are changed. */
struct BalanceWeights
{
    double skew = 1; ///< price of step-time skew
    double cost = 1; ///< price of moving weights

    bool operator==(const BalanceWeights &) const = default;
};

/**
 * The rules that the operator adds on top of the inventory.
 *
 * A value: built from a document in one go, then not changed. Safe to read from any thread.
 */
class RuleSet
{
public:
    /** A rule set without workspaces, under which no request is let in. */
    RuleSet() = default;

    /**
     * Reads @p document. All faults are reported in one go, in the order of their lines.
     * @returns the rule set, or every fault in the document
     */
    static std::variant<RuleSet, std::vector<ConfigFault>> fromDocument(const IniDocument &document);

    /** All workspaces by name. */
    const std::map<WorkspaceName, Workspace> &workspaces() const;

    /** The workspace named @p name, or nullptr. */
    const Workspace *find(const WorkspaceName &name) const;

    /** The workspace whose bearer key is @p key, or nullptr; an empty key finds nothing. */
    const Workspace *findByKey(std::string_view key) const;

    /** The rules of @p service; defaults when the rule set has none for it. */
    ServiceRules serviceRules(const ServiceName &service) const;

    /** Whether a call may be executed twice without harm. What no rule names may not. */
    bool isRepeatable(const ServiceName &service, std::string_view method, std::string_view path) const;

    /** All planned stops. */
    const std::vector<PlannedStop> &plannedStops() const;

    /** Whether a planned stop names @p target. */
    bool hasPlannedStop(const TargetName &target) const;

    /** The weights of skew against the cost of rebalancing. */
    const BalanceWeights &balance() const;

    /** How entries choose targets. */
    const PlacementRules &placement() const;

    bool operator==(const RuleSet &) const = default;

private:
    friend class RuleSetReader;

    std::map<WorkspaceName, Workspace> m_workspaces;
    std::map<ServiceName, ServiceRules> m_services;
    std::vector<PlannedStop> m_plannedStops;
    BalanceWeights m_balance;
    PlacementRules m_placement;
};

} // namespace Heatherridge
