#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Heatherridge
{

/**
 * Tracks what one traffic thread of an entry knows about the targets beyond the inventory: their load reports, the
 * requests that the thread has sent them, their health, speed and cached prefixes. Produces the views on which
 * Placement bases its decisions.
 *
 * Owned by EntryTraffic and used only on its thread.
 */
class TargetTracker
{
public:
    /** Called when the inventory has changed. Removes targets that it no longer lists and adds new ones. */
    void updateInventory(const Inventory &inventory);

    /** Records a load report received from @p report.target. */
    void recordReport(const LoadReport &report, SteadyTime now);

    /** Returns the last report of @p target, or an empty one if none was received. */
    LoadReport lastReport(const TargetName &target) const;

    /** Records that @p request, whose prompt consists of the blocks @p chain, is sent to @p target. */
    void recordSent(const TargetName &target, const SubmitRequest &request, std::span<const std::uint64_t> chain,
                    SteadyTime now);

    /** Records that an attempt of @p cost at @p target has ended with the outcome @p attempt. */
    void recordAttemptEnd(const TargetName &target, double cost, AttemptOutcome attempt, SteadyTime now);

    /** Records that the connection to @p target was lost. Discards what is known of its prefix cache, which may be lost
     * too, of its speed and of the age of its report. */
    void recordDisconnect(const TargetName &target);

    /**
     * Returns one view for each of @p targets, in their order, for a request whose prompt consists of the blocks @p
     * chain. The caller adds whether each target is reachable and accepts requests.
     */
    std::vector<TargetView> makeViews(std::span<const Target *const> targets, std::span<const std::uint64_t> chain,
                                      SteadyTime now) const;

private:
    struct TargetState
    {
        TargetSlot slot{}; ///< index of the target in the classes that number targets
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
