#pragma once

#include "heatherridge_state/decisions/promptpartsuspects.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <span>
#include <vector>

namespace Heatherridge
{

/**
 * Protects targets from prompt parts that crash the targets which answer requests with them.
 *
 * Collects the records of this gateway and the others, publishes its own, and logs and counts verdicts. Used on the
 * traffic thread only.
 */
class PromptPartGuard
{
public:
    using Parts = std::span<const PromptPart>;

    struct Events
    {
        /** A record to publish to the other gateways; called in the order in which they must be written. */
        std::function<void(const PromptPartRecord &)> recordCreated{};
        /** Requests with @p part must not be sent to targets any more. */
        std::function<void(PromptPart part)> partBlocked{};
    };

    /** @param self this run of the gateway; @p metrics must outlive this object */
    PromptPartGuard(Incarnation self, Events events, Metrics &metrics);

    /** @see PromptPartSuspects::isIdle */
    bool isIdle() const;

    /** @see PromptPartSuspects::blockedPart */
    std::optional<PromptPart> blockedPart(Parts parts) const;

    /** @see PromptPartSuspects::isSuspect */
    bool isSuspect(Parts parts) const;

    /** @see PromptPartSuspects::takeTrial */
    bool takeTrial(Parts parts);

    /** @see PromptPartSuspects::heldPart */
    std::optional<PromptPart> heldPart(Parts parts) const;

    /** @see PromptPartSuspects::mayStart */
    bool mayStart(Parts parts);

    /** @see PromptPartSuspects::returnTrial */
    void returnTrial(PromptPart part);

    /** @see PromptPartSuspects::recordTargetDeath */
    void recordTargetDeath(const TargetName &target, Parts parts, std::uint32_t progress);

    /** @see PromptPartSuspects::recordAnswer */
    void recordAnswer(Parts parts, std::uint32_t progress, bool isComplete);

    /** Records that a request with @p parts, one or more of them blocked, was refused. */
    void recordRefusal(Parts parts);

    /** Applies the records of all gateways, including this one, in the order of the log. */
    void applyRecords(std::span<const PromptPartRecord> records);

    /** Publishes records that are due and removes expired suspicions. Called about every 100 ms. */
    void tick(SteadyTime now);

private:
    void recordTrial(Parts parts);
    void handle(const PromptPartChanges &changes);

    Events m_events;
    Counter &m_blockedParts;
    Counter &m_releasedParts;
    Counter &m_trials;
    PromptPartSuspects m_suspects;
};

} // namespace Heatherridge
