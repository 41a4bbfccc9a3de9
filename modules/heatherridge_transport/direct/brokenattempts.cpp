#include "heatherridge_transport/direct/brokenattempts.h"

#include "heatherridge_state/decisions/promptparthash.h"
#include "heatherridge_transport/app/logger.h"

#include <algorithm>
#include <iterator>

namespace Heatherridge
{

BrokenAttempts::BrokenAttempts(TargetProbe &probe, Listeners listeners, Metrics &metrics)
    : m_probe(probe)
    , m_listeners(std::move(listeners))
    , m_metrics(metrics)
    , m_deathsSharingParts(metrics.counter("heatherridge_deaths_sharing_prompt_part_total"))
{
}

void BrokenAttempts::inspect(BrokenAttempt attempt, const TargetEntry &target, Done done)
{
    m_probe.probe(target, [this, attempt = std::move(attempt), done = std::move(done)](ProbeResult result) {
        record(attempt, result);
        done();
    });
}

bool BrokenAttempts::mayBlock(const BrokenAttempt &attempt)
{
    const auto maxProgress = PromptPartSuspects::Options{}.maxProgress;
    return !attempt.hasBegun || attempt.isSuspect || (!attempt.promptParts.empty() && attempt.events <= maxProgress);
}

void BrokenAttempts::record(const BrokenAttempt &attempt, ProbeResult result)
{
    const std::string begun = attempt.hasBegun ? "yes" : "no";
    m_metrics
        .counter("heatherridge_broken_attempts_total",
                 R"(target=")" + std::string(toString(result)) + R"(",begun=")" + begun + R"(")")
        .add();
    if (result == ProbeResult::Refused) {
        recordDeath(attempt);
        return;
    }
    logEvent(Severity::Info, "attempt-broken",
             {{"request", attempt.request.text()},
              {"target", attempt.target.text()},
              {"probe", std::string(toString(result))},
              {"begun", begun},
              {"events", std::to_string(attempt.events)},
              {"parts", toString(attempt.promptParts)}});
}

void BrokenAttempts::recordDeath(const BrokenAttempt &attempt)
{
    const auto shared = partsInEarlierDeaths(attempt);
    m_deathsSharingParts.add(shared.empty() ? 0 : 1);
    logEvent(Severity::Warning, "target-died",
             {{"request", attempt.request.text()},
              {"fingerprint", toString(attempt.fingerprint)},
              {"target", attempt.target.text()},
              {"begun", attempt.hasBegun ? "yes" : "no"},
              {"events", std::to_string(attempt.events)},
              {"parts", toString(attempt.promptParts)},
              {"shared", toString(shared)}});
    m_recentDeaths.push_back({.target = attempt.target, .promptParts = attempt.promptParts});
    if (m_recentDeaths.size() > MaxRecentDeaths) {
        m_recentDeaths.pop_front();
    }
    m_listeners.targetDied(attempt.target);
    m_listeners.crashes.recordTargetDeath(
        attempt.fingerprint, {.target = attempt.target, .sentAt = attempt.sentAt, .progress = attempt.events});
    m_listeners.parts.recordTargetDeath(attempt.target, attempt.promptParts, attempt.events);
}

std::vector<PromptPart> BrokenAttempts::partsInEarlierDeaths(const BrokenAttempt &attempt) const
{
    std::vector<PromptPart> shared;
    std::copy_if(
        attempt.promptParts.begin(), attempt.promptParts.end(), std::back_inserter(shared), [&](const auto part) {
            return std::any_of(m_recentDeaths.begin(), m_recentDeaths.end(), [&](const Death &death) {
                return death.target != attempt.target
                    && std::find(death.promptParts.begin(), death.promptParts.end(), part) != death.promptParts.end();
            });
        });
    return shared;
}

} // namespace Heatherridge
