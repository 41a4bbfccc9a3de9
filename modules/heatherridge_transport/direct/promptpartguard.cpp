#include "heatherridge_transport/direct/promptpartguard.h"

#include "heatherridge_state/decisions/promptparthash.h"
#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

namespace
{

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

PromptPartGuard::PromptPartGuard(Incarnation self, Events events, Metrics &metrics)
    : m_events(std::move(events))
    , m_blockedParts(metrics.counter("heatherridge_prompt_parts_blocked_total"))
    , m_releasedParts(metrics.counter("heatherridge_prompt_parts_released_total"))
    , m_trials(metrics.counter("heatherridge_prompt_part_trials_total"))
    , m_suspects(self)
{
}

bool PromptPartGuard::isIdle() const
{
    return m_suspects.isIdle();
}

std::optional<PromptPart> PromptPartGuard::blockedPart(Parts parts) const
{
    return m_suspects.blockedPart(parts);
}

bool PromptPartGuard::isSuspect(Parts parts) const
{
    return m_suspects.isSuspect(parts);
}

bool PromptPartGuard::takeTrial(Parts parts)
{
    const bool isTrial = m_suspects.takeTrial(parts, now());
    if (isTrial) {
        recordTrial(parts);
    }
    return isTrial;
}

std::optional<PromptPart> PromptPartGuard::heldPart(Parts parts) const
{
    return m_suspects.heldPart(parts);
}

bool PromptPartGuard::mayStart(Parts parts)
{
    if (!heldPart(parts)) {
        return true;
    }
    const bool isTrial = m_suspects.mayStart(parts, now());
    if (isTrial) {
        recordTrial(parts);
    }
    return isTrial;
}

void PromptPartGuard::returnTrial(PromptPart part)
{
    m_suspects.returnTrial(part);
    logEvent(Severity::Info, "prompt-part-trial-returned", {{"part", toString(part)}});
}

void PromptPartGuard::recordTargetDeath(const TargetName &target, Parts parts, std::uint32_t progress)
{
    handle(m_suspects.recordTargetDeath(target, parts, progress, now()));
}

void PromptPartGuard::recordAnswer(Parts parts, std::uint32_t progress, bool isComplete)
{
    handle(m_suspects.recordAnswer(parts, progress, isComplete, now()));
}

void PromptPartGuard::recordRefusal(Parts parts)
{
    handle(m_suspects.recordRefusal(parts, now()));
}

void PromptPartGuard::applyRecords(std::span<const PromptPartRecord> records)
{
    handle(m_suspects.apply(records, now()));
}

void PromptPartGuard::tick(SteadyTime now)
{
    handle(m_suspects.tick(now));
}

void PromptPartGuard::recordTrial(Parts parts)
{
    m_trials.add();
    logEvent(Severity::Info, "prompt-part-tried", {{"parts", toString(parts)}});
}

void PromptPartGuard::handle(const PromptPartChanges &changes)
{
    for (const auto &record : changes.toPublish) {
        m_events.recordCreated(record);
    }
    for (const auto part : changes.released) {
        m_releasedParts.add();
        logEvent(Severity::Warning, "prompt-part-released", {{"part", toString(part)}});
    }
    for (const auto part : changes.unheld) {
        logEvent(Severity::Info, "prompt-part-unheld", {{"part", toString(part)}});
    }
    for (const auto part : changes.held) {
        logEvent(Severity::Warning, "prompt-part-held",
                 {{"part", toString(part)}, {"deaths", std::to_string(m_suspects.deathCount(part))}});
    }
    for (const auto part : changes.blocked) {
        m_blockedParts.add();
        logEvent(Severity::Warning, "prompt-part-blocked",
                 {{"part", toString(part)}, {"deaths", std::to_string(m_suspects.deathCount(part))}});
        m_events.partBlocked(part);
    }
}

} // namespace Heatherridge
