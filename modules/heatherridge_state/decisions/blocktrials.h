#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>

namespace Heatherridge
{

/**
 * Trials of something that is blocked because targets died under it: the way back for what is blocked by mistake.
 *
 * Load pattern: requests with a blocked key arrive at any gateway, and each that is let through may crash a target. So
 * one gateway at a time claims a trial through the log and sends one request; each claim waits longer than the one
 * before, and after a few trials under which targets died there are none. Single-threaded; time comes from the caller.
 */
class BlockTrials
{
public:
    struct Options
    {
        std::uint32_t maxFailed = 2; ///< trials under which a target died, after which there are no more
        std::chrono::milliseconds firstDelay{15'000}; ///< from the block to the first trial
        int delayGrowth = 4; ///< factor of the delay after each trial, up to maxFailed times
        std::chrono::milliseconds claimLifetime{3'000}; ///< of a claim that is not used
    };

    /** @param claimed trials before the block, by any gateway */
    explicit BlockTrials(const Options &options, SteadyTime firstTrial, std::uint32_t claimed = 0);

    /** Returns the delay of the next trial after @p trials of them. */
    static std::chrono::milliseconds delay(const Options &options, std::uint32_t trials);

    /** Returns whether the next trial may be claimed. */
    bool isDue(SteadyTime now) const;

    /** Returns how many trials were claimed by all gateways. */
    std::uint32_t claimed() const;

    /** Returns how many trials have failed. */
    std::uint32_t failed() const;

    /** Takes up the counts of another gateway's record. */
    void applyCounts(std::uint32_t claimed, std::uint32_t failed);

    /**
     * Applies the claim of trial @p number, read from the log.
     * @returns whether it is valid: the first one of its number
     */
    bool applyClaim(std::uint32_t number, bool isOwn, SteadyTime now);

    /** Returns whether this gateway may send a request as the trial, and uses up the permission. */
    bool take(SteadyTime now);

    /** Gives the permission back: the request has not reached any target. */
    void giveBack();

    /** Returns whether a trial was claimed since the last failed one, so that a death may be its failure. */
    bool awaitsResult() const;

    /** Records that a target died under the last trial. */
    void recordFailure(SteadyTime now);

private:
    Options m_options;
    std::uint32_t m_claimed;
    std::uint32_t m_claimedBefore; ///< before the block
    std::uint32_t m_claimedAtLastFailure;
    std::uint32_t m_failed = 0; ///< seen here or told by records of other gateways
    SteadyTime m_next;
    SteadyTime m_claimedUntil{}; ///< this gateway holds the last claim
    SteadyTime m_mayTryUntil{}; ///< the same, and it has not used the claim
};

} // namespace Heatherridge
