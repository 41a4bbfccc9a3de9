#include "heatherridge_state/decisions/heldparts.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

const std::set<PromptPart> &HeldParts::parts() const
{
    return m_parts;
}

bool HeldParts::contains(PromptPart part) const
{
    return m_parts.contains(part);
}

void HeldParts::replace(std::set<PromptPart> parts)
{
    m_parts = std::move(parts);
    for (auto &[part, trials] : m_trials) {
        if (!contains(part)) {
            trials.waitingSince.reset();
        }
    }
}

void HeldParts::erase(PromptPart part)
{
    m_parts.erase(part);
    m_trials.erase(part);
}

std::optional<PromptPart> HeldParts::leadingPart(std::span<const PromptPart> parts) const
{
    std::optional<PromptPart> leading;
    for (const auto part : parts) {
        if (contains(part) && (!leading || part < *leading)) {
            leading = part;
        }
    }
    return leading;
}

HeldParts::Permission HeldParts::takePermission(PromptPart part, SteadyTime now)
{
    auto &trials = m_trials[part];
    if (now < std::exchange(trials.mayTryUntil, SteadyTime{})) {
        return Permission::Granted;
    }
    if (trials.claims > 0 && now < trials.claimedAt + claimDelay(trials)) {
        return Permission::Refused;
    }
    if (!trials.waitingSince) {
        trials.waitingSince = now;
        return Permission::NeedsClaim;
    }
    if (now < *trials.waitingSince + m_options.claimLifetime) {
        return Permission::Refused;
    }
    // The log is out of reach, and waiting for it would hold back sound requests.
    trials.waitingSince = now;
    trials.gateway = m_self;
    trials.claimedAt = now;
    return Permission::Granted;
}

void HeldParts::returnPermission(PromptPart part)
{
    const auto found = m_trials.find(part);
    if (found != m_trials.end() && found->second.gateway == m_self) {
        found->second.mayTryUntil = found->second.claimedAt + m_options.claimLifetime;
    }
}

std::chrono::milliseconds HeldParts::claimDelay(const Trials &trials) const
{
    auto delay = m_options.claimLifetime;
    for (std::uint32_t step = 1; step < std::min(trials.claims, m_options.maxDelaySteps + 1); ++step) {
        delay *= m_options.delayGrowth;
    }
    return delay;
}

bool HeldParts::applyClaim(const PromptPartTrial &claim, SteadyTime now)
{
    auto &trials = m_trials[claim.part];
    if (claim.number <= trials.claims) {
        return false;
    }
    trials.claims = claim.number;
    trials.gateway = claim.gateway;
    trials.claimedAt = now;
    trials.waitingSince.reset();
    trials.mayTryUntil = claim.gateway == m_self ? now + m_options.claimLifetime : SteadyTime{};
    return true;
}

std::uint32_t HeldParts::nextNumber(PromptPart part) const
{
    const auto found = m_trials.find(part);
    return found == m_trials.end() ? 1 : found->second.claims + 1;
}

void HeldParts::recordDeath(std::span<const PromptPartInHand> parts, Incarnation reporter, SteadyTime time)
{
    const bool isOfTrial = std::any_of(parts.begin(), parts.end(), [&](const auto &inHand) {
        const auto found = m_trials.find(inHand.part);
        return found != m_trials.end() && contains(inHand.part) && found->second.gateway == reporter
            && found->second.claimedAt != SteadyTime{} && time > found->second.claimedAt;
    });
    if (!isOfTrial) {
        return;
    }
    for (const auto &inHand : parts) {
        if (contains(inHand.part)) {
            m_trials[inHand.part].hasFailed = true;
        }
    }
}

bool HeldParts::hasFailedTrial(PromptPart part) const
{
    const auto found = m_trials.find(part);
    return found != m_trials.end() && found->second.hasFailed;
}

void HeldParts::evictClaims(SteadyTime oldest)
{
    std::erase_if(m_trials,
                  [&](const auto &entry) { return !contains(entry.first) && entry.second.claimedAt < oldest; });
}

} // namespace Heatherridge
