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

/** A customer and its share of the capacity. */
struct Workspace
{
    WorkspaceName name{};
    double weight = 1; ///< share relative to other workspaces
    std::string key{}; ///< bearer key that identifies it; empty for none
    int priority = 0; ///< added to the priority of a request; -10 to 10, higher is served first

    bool operator==(const Workspace &) const = default;
};

/** Pattern for calls that may be repeated: a method and a path; a trailing `*` in the path matches any suffix. */
struct RepeatableCall
{
    std::string method{};
    std::string path{};

    bool operator==(const RepeatableCall &) const = default;
};

/** The rules of one service. */
struct ServiceRules
{
    ServiceName name{};
    std::vector<RepeatableCall> repeatable{}; ///< idempotent calls; all others are not idempotent
    std::chrono::milliseconds timeout{30'000}; ///< deadline of a request that doesn't set one

    bool operator==(const ServiceRules &) const = default;
};

/** A planned stop of a target, which drains as soon as the rule is accepted. */
struct PlannedStop
{
    std::string name{};
    TargetName target{};

    bool operator==(const PlannedStop &) const = default;
};

/** The operator's weights for deciding whether to change expert maps. */
struct BalanceWeights
{
    double skew = 1; ///< weight of step-time skew
    double cost = 1; ///< weight of moving model weights

    bool operator==(const BalanceWeights &) const = default;
};

/**
 * The operator's rules, which complement the inventory.
 *
 * Immutable value type, built from a document in one step. Can be read from any thread.
 */
class RuleSet
{
public:
    /** Constructs a rule set without workspaces, with which no request is admitted. */
    RuleSet() = default;

    /**
     * Builds a rule set from @p document. All faults are reported at once, ordered by line.
     * @returns the rule set, or all faults in the document
     */
    static std::variant<RuleSet, std::vector<ConfigFault>> fromDocument(const IniDocument &document);

    /** Returns all workspaces by name. */
    const std::map<WorkspaceName, Workspace> &workspaces() const;

    /** Returns the workspace named @p name, or nullptr if there is none. */
    const Workspace *find(const WorkspaceName &name) const;

    /** Returns the workspace whose bearer key is @p key, or nullptr. An empty key matches no workspace. */
    const Workspace *findByKey(std::string_view key) const;

    /** Returns the rules of @p service, or the defaults if the rule set contains none for it. */
    ServiceRules serviceRules(const ServiceName &service) const;

    /** Returns whether a call can safely be executed twice. Calls that match no rule can't. */
    bool isRepeatable(const ServiceName &service, std::string_view method, std::string_view path) const;

    /** Returns all planned stops. */
    const std::vector<PlannedStop> &plannedStops() const;

    /** Returns whether there is a planned stop for @p target. */
    bool hasPlannedStop(const TargetName &target) const;

    /** Returns the weights of skew and of the cost of rebalancing. */
    const BalanceWeights &balance() const;

    /** Returns how entry processes select targets. */
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
