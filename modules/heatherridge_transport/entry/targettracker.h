#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Heatherridge
{

/**
 * What one traffic thread of an entry knows of the targets beside the inventory: their reports, its own work there,
 * their health, speed and cached prefixes. It turns this into the views by which Placement decides.
 *
 * Owned by EntryTraffic and used on its thread alone.
 */
class TargetTracker
{
public:
    /** The inventory has changed: targets that it no longer lists are forgotten. */
    void updateInventory(const Inventory &inventory);

    /** A report of @p report.target has come. */
    void recordReport(const LoadReport &report, SteadyTime now);

    /** The last report of @p target; an empty one when none has come. */
    LoadReport lastReport(const TargetName &target) const;

    /** @p request, whose prompt has the blocks @p chain, is sent to @p target. */
    void recordSent(const TargetName &target, const SubmitRequest &request, std::span<const std::uint64_t> chain,
                    SteadyTime now);

    /** A request of @p cost has ended at @p target, in the way @p attempt. */
    void recordAttemptEnd(const TargetName &target, double cost, AttemptOutcome attempt, SteadyTime now);

    /** The connection to @p target is gone: its cache may be, too. */
    void recordDisconnect(const TargetName &target);

    /**
     * One view for each of @p targets, in their order, for a request whose prompt has the blocks @p chain. Whether a
     * target is reachable and takes work is the caller's to add.
     */
    std::vector<TargetView> makeViews(std::span<const Target *const> targets, std::span<const std::uint64_t> chain,
                                      SteadyTime now) const;

private:
    struct TargetState
    {
        TargetSlot slot{}; ///< number for the classes that count targets
        LoadReport report{};
        std::optional<SteadyTime> reportedAt{};
        double ownLoad = 0;
        double promptSent = 0; ///< prompt tokens to compute, sent since the last report
        std::uint32_t ownInFlight = 0;
    };

    TargetState &stateOf(const TargetName &target);

    std::map<TargetName, TargetState> m_states;
    std::uint32_t m_nextSlot = 0;
    HealthTracker m_health;
    SlownessTracker m_slowness;
    PrefixIndex m_prefixes;
};

} // namespace Heatherridge
