#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/placementrules.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Places a request where it is expected to finish first, in microseconds of expected time.
 *
 * Load pattern: many entries with lagging reports, prompts that share prefixes, zones apart, targets of unequal speed.
 *
 * - Load: own in-flight work at once, that of others by the target's report. A report's weight fades with its age
 *   towards the mean of all, with a half-life of ReportHalfLife; without it a target that was idle once stays
 *   attractive until its next report.
 * - Overload: a full target counts as loaded like the mean full one, and only ExcessShare of what it has beyond. What
 *   waits there is refused within a second anyway; counted in full it would outweigh all prefixes, and the caches
 *   would be lost just when there is least capacity.
 *   Instead the share that a target refuses counts, by its logarithm at PressurePrice: requests then go where they are
 *   taken. Without it a workspace whose prefixes lie on few targets is refused there, while one that sends more than
 * its share is served at the others.
 * - Herding: only a random sample is compared, other entries draw other samples. Without it all entries send
 *   to the same target that looks idle until its next report.
 * - Prefix: each token of a cached prefix counts PrefixTokenValue, and only while the holder's load is below
 * PrefixBound times the mean; a hot prefix so spreads, and the next target that serves it holds it too. A prompt
 * without a known holder goes to the place its beginning hashes to, so that all entries agree without exchange.
 * - Zones: the delay counts at zonePrice; work so stays in its zone until its targets are that much busier.
 * - Speed: a straggler's slowness multiplies its load and the request's own time, slow start divides by warmth.
 *
 * One thread; keeps no state between calls.
 */
class CostPlacement
{
public:
    /** About one mean request: what a report says about others is half gone by then. */
    static constexpr std::chrono::milliseconds ReportHalfLife{1000};
    /**
     * Units of cost that a cached prompt token is worth. Far above its own cost (PromptTokenCost): while a prompt is
     * computed every sequence of the batch waits, so the target as a whole loses the token's time once a sequence.
     */
    static constexpr double PrefixTokenValue = 1;
    /** Just enough to spread the work over full targets: a hundredth lets single ones fill their queues, a fifth loses
     * the caches. */
    static constexpr double ExcessWeight = 0.05;
    /** Part of the capacity that a doubling of the refused share weighs, times ln 2: 0.1 leaves a workspace beside a
     * hog with 0.92 of its share, 1 loses a tenth of the goodput with the caches. */
    static constexpr double PressureWeight = 0.3;
    /** Consistent hashing with bounded loads loses little affinity at twice the mean, and no target exceeds it. */
    static constexpr double PrefixLoadBound = 2;

    explicit CostPlacement(CostPlacementOptions options = {});

    /** The index in @p targets to send to, or nothing when none is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;

private:
    struct Means
    {
        double load = 0; ///< of own and others
        double otherLoad = 0; ///< of others alone
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
