#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/promptpartrecord.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace Heatherridge
{

/**
 * Prompt parts that are held: requests with one wait at their gateway, except for one trial request at a time.
 *
 * Load pattern: a part has crashed targets until all groups were closed, and nothing tells whether the crashes were its
 * fault. When the groups open again, the requests that have waited would reach targets at once, at every gateway. A
 * trial is claimed through the log, so that one gateway sends it; its answer or the death of its target tells.
 *
 * Single-threaded; time comes from the caller.
 */
class HeldParts
{
public:
    struct Options
    {
        /** How long a claim may be used and, if it is the first, none follows. Also the longest wait for the log. */
        std::chrono::milliseconds claimLifetime{3'000};
        /** Factor of the delay after each claim: a trial that a target refuses unread has reached it too. */
        int delayGrowth = 4;
        std::uint32_t maxDelaySteps = 2; ///< claims after which the delay grows no more
    };

    /** Whether a request may be sent. */
    enum class Permission {
        Granted,
        NeedsClaim, ///< not before this gateway has claimed a trial of the leading part
        Refused, ///< for now: the last claim is another gateway's, used, or not in the log yet
    };

    /** @param self this run of the gateway, which its claims carry */
    HeldParts(Incarnation self, Options options)
        : m_self(self)
        , m_options(options)
    {
    }

    const std::set<PromptPart> &parts() const;
    bool contains(PromptPart part) const;

    /** Replaces the held parts. Claims of trials are kept. */
    void replace(std::set<PromptPart> parts);

    /** Forgets @p part and its claims, because a request with it was answered. */
    void erase(PromptPart part);

    /**
     * Returns the held part among @p parts that stands for all of them, or nothing if none is held. Parts that always
     * come together can only be tried together.
     */
    std::optional<PromptPart> leadingPart(std::span<const PromptPart> parts) const;

    /**
     * Returns whether a request whose leading part is @p part may be sent, and uses up the permission. Without any
     * claim in the log for the lifetime of one, this gateway sends a trial of its own.
     */
    Permission takePermission(PromptPart part, SteadyTime now);

    /** Gives the permission of a trial of @p part back, whose request has not reached any target. */
    void returnPermission(PromptPart part);

    /** Applies a claim read from the log. @returns whether it is valid: the first one of its number */
    bool applyClaim(const PromptPartTrial &claim, SteadyTime now);

    /** Returns the number of the next claim of a trial of @p part. */
    std::uint32_t nextNumber(PromptPart part) const;

    /** Records a death at @p time, which @p reporter has reported for a request with @p parts. */
    void recordDeath(std::span<const PromptPartInHand> parts, Incarnation reporter, SteadyTime time);

    /** Returns whether a target has died under a trial of @p part. */
    bool hasFailedTrial(PromptPart part) const;

    /** Drops claims before @p oldest. */
    void evictClaims(SteadyTime oldest);

private:
    struct Trials
    {
        std::uint32_t claims = 0;
        Incarnation gateway{}; ///< of the last claim
        SteadyTime claimedAt{};
        std::optional<SteadyTime> waitingSince{}; ///< a request here needs a claim, and none was read since
        SteadyTime mayTryUntil{}; ///< this gateway has the last claim and has not used it
        bool hasFailed = false;
    };

    /** Returns the time from the last claim of @p trials until the next. */
    std::chrono::milliseconds claimDelay(const Trials &trials) const;

    Incarnation m_self;
    Options m_options;
    std::set<PromptPart> m_parts;
    std::map<PromptPart, Trials> m_trials; ///< also of parts that other gateways hold
};

} // namespace Heatherridge
