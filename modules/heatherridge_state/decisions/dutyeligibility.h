#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** What is known of the sizes of the gateways. */
struct DutyInput
{
    bool isShared = false; ///< decisions use what gateways state: the mode of the demand exchange is `On`
    bool isKnown = false; ///< the statements are recent
    double ownSize = 0; ///< cores; 0 if unknown
    double largestOther = 0; ///< cores of the largest other gateway; 0 if none states its size
};

/** Which divisions of the log give this gateway duties. */
struct Duties
{
    bool byAll = false; ///< the division among all gateways
    bool byAllIfUnattended = false; ///< the same, for work that no gateway has done for a while
    bool byLarge = false; ///< the division among large gateways, of which this one is a member

    bool operator==(const Duties &) const = default;
};

/**
 * Decides by its size whether a gateway takes duties, such as computing expert maps.
 *
 * Load pattern: gateways of unequal size, the smallest of which have too little processor time for duties. While the
 * mode of the demand exchange is `On`, duties are divided among the large gateways only; otherwise among all.
 *
 * Gateways learn of the mode and of sizes at different times. So that no duty is left undone meanwhile, a gateway keeps
 * the duties of the earlier division for HandoverTime when the mode changes; duties done twice are safe. A small
 * gateway also takes those that nobody has done for a while. Single-threaded.
 */
class DutyEligibility
{
public:
    /** A gateway is large if its size is at least this fraction of the largest one. */
    static constexpr double MinDutySizeRatio = 0.5;
    /** A small gateway becomes a large one when the comparison has said so for this time. */
    static constexpr std::chrono::milliseconds ChangeBackDelay{2'000};
    /** How long a gateway that has just started waits for the first statements. */
    static constexpr std::chrono::milliseconds StartWait{1'000};
    /** Longest time between two statements of a gateway while the mode is `Watch`, twice. */
    static constexpr std::chrono::milliseconds HandoverTime{4'000};

    /** @param exchangesDemand false if there never are statements of other gateways */
    explicit DutyEligibility(bool exchangesDemand);

    /** Returns the duties at @p now. */
    Duties update(const DutyInput &input, SteadyTime now);

private:
    bool isWaiting(const DutyInput &input, SteadyTime now);
    void updateMode(bool isShared, SteadyTime now);
    void updateSize(const DutyInput &input, SteadyTime now);

    bool m_exchangesDemand;
    std::optional<SteadyTime> m_startedAt;
    bool m_hasWaited = false;
    bool m_isShared = false;
    bool m_isLarge = true;
    std::optional<SteadyTime> m_largeSince; ///< by the comparison, of a small gateway
    std::optional<SteadyTime> m_handoverUntil; ///< after a change of the mode
};

} // namespace Heatherridge
