#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/placementrules.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Places a request on the target where it is expected to finish first, measured in microseconds.
 *
 * Load pattern: many entries with lagging reports, prompts that share prefixes, remote zones, targets of unequal speed.
 *
 * - Load: the entry's own in-flight requests count immediately, those of other entries according to the target's
 *   report. The weight of a report decays with its age towards the mean of all targets, with a half-life of
 *   ReportHalfLife. Without this a target that was idle once stays attractive until its next report.
 * - Overload: a full target counts as loaded as the average full target plus only ExcessWeight of its excess. Requests
 *   that wait there are refused within a second anyway; counted in full, the excess would outweigh all prefixes, and
 *   caches would be lost just when capacity is scarcest.
 *   Instead the share of requests that a target refuses counts, by its logarithm weighted with PressureWeight, so that
 *   requests go where they are accepted. Without this a workspace whose prefixes are cached on few targets is refused
 *   there, while a workspace that exceeds its share is served at the other targets.
 * - Herding: only a random sample is compared, and other entries draw other samples. Without this all entries send to
 *   the same target that looks idle until its next report.
 * - Prefix: each token of a cached prefix counts PrefixTokenValue, but only while the load of the target that holds it
 *   is below PrefixLoadBound times the mean. This spreads a hot prefix, because the next target that serves it caches
 *   it too. A prompt without a known holder goes to the target that its prefix hashes to, so that all entries agree
 *   without communicating.
 * - Zones: the zone delay counts at zonePrice, so that requests stay in their zone until its targets are busier by that
 *   much.
 * - Speed: the slowness of a straggler multiplies its load and the request's own time; slow start divides by warmth.
 *
 * Single-threaded; keeps no state between calls.
 */
class CostPlacement
{
public:
    /**
     * About the duration of one average request: after it, half of what a report says about other entries is outdated.
     */
    static constexpr std::chrono::milliseconds ReportHalfLife{1000};
    /**
     * Cost units that a cached prompt token is worth. Far more than its own cost (PromptTokenCost): every sequence of
     * the batch waits while a prompt is processed, so the target as a whole loses the time of the token once per
     * sequence.
     */
    static constexpr double PrefixTokenValue = 1;
    /**
     * Just enough to spread requests over full targets: with a hundredth single targets fill their queues, with a fifth
     * the caches are lost.
     */
    static constexpr double ExcessWeight = 0.05;
    /**
     * Fraction of the capacity that one doubling of the refused share counts, times ln 2. At 0.1 a workspace next to a
     * hog gets 0.92 of its share; at 1 a tenth of the goodput is lost along with the caches.
     */
    static constexpr double PressureWeight = 0.3;
    /**
     * Consistent hashing with bounded loads loses little affinity at twice the mean load, and no target exceeds that.
     */
    static constexpr double PrefixLoadBound = 2;

    explicit CostPlacement(CostPlacementOptions options = {});

    /** Returns the index in @p targets of the chosen target, or nothing if none is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;

private:
    struct Means
    {
        double load = 0; ///< of this entry and all others
        double otherLoad = 0; ///< of the other entries alone
        double capacity = 0; ///< load at which targets are full
        std::size_t usable = 0;
    };

    Means computeMeans(std::span<const TargetView> targets) const;
    double estimatedLoad(const TargetView &target, const Means &means) const;
    double computeScore(const TargetView &target, const RequestTraits &traits, const Means &means,
                        bool isHashedTarget) const;

    CostPlacementOptions m_options;
};

} // namespace Heatherridge
