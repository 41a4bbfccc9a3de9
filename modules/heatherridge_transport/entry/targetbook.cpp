#include "heatherridge_transport/entry/targetbook.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::hours NoReportAge{1};
/** Bytes of a prompt to one token, on average; engines' own tokenizers are not at hand here. */
constexpr std::size_t BytesPerToken = 4;
constexpr auto TokensPerBlock = static_cast<std::uint32_t>(PrefixIndex::BlockBytes / BytesPerToken);

} // namespace

void TargetBook::follow(const Inventory &inventory)
{
    std::erase_if(m_known, [&](const auto &entry) {
        const bool gone = inventory.find(entry.first) == nullptr;
        if (gone) {
            m_health.remove(entry.first);
        }
        return gone;
    });
    for (const auto &[name, target] : inventory.targets()) {
        known(name);
    }
}

void TargetBook::takeReport(const LoadReport &report, SteadyTime now)
{
    auto &target = known(report.target);
    target.report = report;
    target.reportedAt = now;
    target.promptSent = 0;
    if (report.tokenInterval.count() > 0) {
        m_slowness.record(static_cast<std::size_t>(target.slot), report.tokenInterval, now);
    }
}

LoadReport TargetBook::reportOf(const TargetName &target) const
{
    const auto entry = m_known.find(target);
    return entry == m_known.end() ? LoadReport{} : entry->second.report;
}

void TargetBook::recordSent(const TargetName &target, const SubmitRequest &request,
                            std::span<const std::uint64_t> chain, SteadyTime now)
{
    auto &entry = known(target);
    entry.ownLoad += static_cast<double>(request.cost);
    entry.promptSent += static_cast<double>(request.uncachedPromptTokens);
    ++entry.ownInFlight;
    m_prefixes.insert(entry.slot, chain, now);
}

void TargetBook::recordLeft(const TargetName &target, double cost, AttemptOutcome attempt, SteadyTime now)
{
    auto &entry = known(target);
    entry.ownLoad = std::max(0.0, entry.ownLoad - cost);
    entry.ownInFlight -= entry.ownInFlight > 0 ? 1 : 0;
    m_health.record(target, attempt, now);
}

void TargetBook::recordDown(const TargetName &target)
{
    auto &entry = known(target);
    entry.reportedAt.reset();
    m_prefixes.removeTarget(entry.slot);
    m_slowness.reset(static_cast<std::size_t>(entry.slot));
}

std::vector<TargetView> TargetBook::viewsOf(std::span<const Target *const> targets,
                                            std::span<const std::uint64_t> chain, SteadyTime now) const
{
    const auto matches = m_prefixes.match(chain, now);
    std::vector<TargetView> views;
    views.reserve(targets.size());
    for (const auto *target : targets) {
        const auto entry = m_known.find(target->name);
        const Known unknown;
        const auto &known = entry == m_known.end() ? unknown : entry->second;
        const auto health = m_health.healthOf(target->name, now);
        const auto age = known.reportedAt ? now - *known.reportedAt : NoReportAge;
        const auto held = std::find_if(matches.begin(), matches.end(),
                                       [&known](const PrefixMatch &match) { return match.target == known.slot; });
        views.push_back({.key = targetKey(target->name),
                         .reportedLoad = known.report.load,
                         .reportAge = std::chrono::duration_cast<std::chrono::microseconds>(age),
                         .ownAtReport = known.report.loadOfEntry,
                         .reportedCapacity = known.report.capacity,
                         .reportedPressure = known.report.pressure,
                         .pendingPromptTokens = known.report.pendingPrompt + known.promptSent,
                         .ownLoad = known.ownLoad,
                         .ownInFlight = known.ownInFlight,
                         .prefixTokens = held == matches.end() ? 0 : held->blocks * TokensPerBlock,
                         .slowness = m_slowness.slowness(static_cast<std::size_t>(known.slot)),
                         .warmth = known.reportedAt ? known.report.warmth : 1,
                         .usable = health == Health::Healthy && !known.report.draining,
                         .awaitsProbe = health == Health::Probing && !known.report.draining});
    }
    return views;
}

TargetBook::Known &TargetBook::known(const TargetName &target)
{
    const auto [entry, isNew] = m_known.try_emplace(target);
    if (isNew) {
        entry->second.slot = static_cast<TargetSlot>(m_nextSlot++);
        m_health.add(target);
    }
    return entry->second;
}

} // namespace Heatherridge
