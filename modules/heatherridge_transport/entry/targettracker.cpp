#include "heatherridge_transport/entry/targettracker.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::hours AgeWithoutReport{1};
/** Average number of prompt bytes in a token; the engines' own tokenizers are not available here. */
constexpr std::size_t BytesPerToken = 4;
constexpr auto TokensPerBlock = static_cast<std::uint32_t>(PrefixIndex::BlockBytes / BytesPerToken);

} // namespace

void TargetTracker::updateInventory(const Inventory &inventory)
{
    std::erase_if(m_states, [&](const auto &entry) {
        const bool removed = inventory.find(entry.first) == nullptr;
        if (removed) {
            m_health.remove(entry.first);
        }
        return removed;
    });
    for (const auto &[name, target] : inventory.targets()) {
        stateOf(name);
    }
}

void TargetTracker::recordReport(const LoadReport &report, SteadyTime now)
{
    auto &target = stateOf(report.target);
    target.report = report;
    target.reportedAt = now;
    target.promptSent = 0;
    if (report.tokenInterval.count() > 0) {
        m_slowness.record(static_cast<std::size_t>(target.slot), report.tokenInterval, now);
    }
}

LoadReport TargetTracker::lastReport(const TargetName &target) const
{
    const auto entry = m_states.find(target);
    return entry == m_states.end() ? LoadReport{} : entry->second.report;
}

void TargetTracker::recordSent(const TargetName &target, const SubmitRequest &request,
                               std::span<const std::uint64_t> chain, SteadyTime now)
{
    auto &entry = stateOf(target);
    entry.ownLoad += static_cast<double>(request.cost);
    entry.promptSent += static_cast<double>(request.uncachedPromptTokens);
    ++entry.ownInFlight;
    m_prefixes.insert(entry.slot, chain, now);
}

void TargetTracker::recordAttemptEnd(const TargetName &target, double cost, AttemptOutcome attempt, SteadyTime now)
{
    auto &entry = stateOf(target);
    entry.ownLoad = std::max(0.0, entry.ownLoad - cost);
    entry.ownInFlight -= entry.ownInFlight > 0 ? 1 : 0;
    m_health.record(target, attempt, now);
}

void TargetTracker::recordDisconnect(const TargetName &target)
{
    auto &entry = stateOf(target);
    entry.reportedAt.reset();
    m_prefixes.removeTarget(entry.slot);
    m_slowness.reset(static_cast<std::size_t>(entry.slot));
}

std::vector<TargetView> TargetTracker::makeViews(std::span<const Target *const> targets,
                                                 std::span<const std::uint64_t> chain, SteadyTime now) const
{
    const auto matches = m_prefixes.match(chain, now);
    std::vector<TargetView> views;
    views.reserve(targets.size());
    for (const auto *target : targets) {
        const auto entry = m_states.find(target->name);
        const TargetState noState;
        const auto &state = entry == m_states.end() ? noState : entry->second;
        const auto health = m_health.healthOf(target->name, now);
        const auto age = state.reportedAt ? now - *state.reportedAt : AgeWithoutReport;
        const auto cached = std::find_if(matches.begin(), matches.end(),
                                         [&state](const PrefixMatch &match) { return match.target == state.slot; });
        views.push_back({.key = targetKey(target->name),
                         .reportedLoad = state.report.load,
                         .reportAge = std::chrono::duration_cast<std::chrono::microseconds>(age),
                         .ownAtReport = state.report.loadOfEntry,
                         .reportedCapacity = state.report.capacity,
                         .reportedPressure = state.report.pressure,
                         .pendingPromptTokens = state.report.pendingPrompt + state.promptSent,
                         .ownLoad = state.ownLoad,
                         .ownInFlight = state.ownInFlight,
                         .prefixTokens = cached == matches.end() ? 0 : cached->blocks * TokensPerBlock,
                         .slowness = m_slowness.slowness(static_cast<std::size_t>(state.slot)),
                         .warmth = state.reportedAt ? state.report.warmth : 1,
                         .usable = health == Health::Healthy && !state.report.draining,
                         .awaitsProbe = health == Health::Probing && !state.report.draining});
    }
    return views;
}

TargetTracker::TargetState &TargetTracker::stateOf(const TargetName &target)
{
    const auto [entry, isNew] = m_states.try_emplace(target);
    if (isNew) {
        entry->second.slot = static_cast<TargetSlot>(m_nextSlot++);
        m_health.add(target);
    }
    return entry->second;
}

} // namespace Heatherridge
