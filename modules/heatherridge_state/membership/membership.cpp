#include "heatherridge_state/membership/membership.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxRecordedSilences = 16;

std::chrono::milliseconds elapsed(SteadyTime begin, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - begin);
}

} // namespace

Membership::Membership(MembershipOptions options)
    : m_options(options)
{
}

void Membership::updateConfiguration(std::shared_ptr<const Inventory> inventory, std::shared_ptr<const RuleSet> rules,
                                     SteadyTime now)
{
    m_inventory = std::move(inventory);
    m_rules = std::move(rules);
    for (const auto &[name, target] : m_inventory->targets()) {
        m_histories.try_emplace(name, SignalHistory{.observedSince = now});
    }
    std::erase_if(m_histories, [this](const auto &entry) { return m_inventory->find(entry.first) == nullptr; });
}

void Membership::updateHostList(const std::vector<HostListEntry> &hosts, SteadyTime now)
{
    std::map<HostName, HostState> listedStates;
    for (const auto &listing : hosts) {
        auto &state = listedStates.try_emplace(listing.host, listing.state).first->second;
        // While a machine is being replaced, the old and the new one may be listed under the same name. Work for that
        // name could reach the leaving machine, so the leaving state takes precedence.
        state = std::max(state, listing.state);
    }
    for (auto &[host, record] : m_hosts) {
        if (!listedStates.contains(host) && record.state != HostState::Leaving) {
            record.state = HostState::Absent;
        }
    }
    for (const auto &[host, state] : listedStates) {
        auto &record = m_hosts[host];
        if (state == HostState::Leaving) {
            record.liveAgainSince.reset();
        } else if (record.state == HostState::Leaving) {
            record.liveAgainSince = now;
        }
        record.state = state;
    }
    std::erase_if(m_hosts, [&](const auto &entry) {
        return !listedStates.contains(entry.first)
            && std::none_of(m_inventory->targets().begin(), m_inventory->targets().end(),
                            [&entry](const auto &target) { return target.second.host == entry.first; });
    });
}

void Membership::recordHeartbeat(const TargetName &target, bool acceptsWork, SteadyTime now)
{
    const auto entry = m_histories.find(target);
    if (entry == m_histories.end()) {
        return;
    }
    auto &history = entry->second;
    if (history.lastHeard && now - *history.lastHeard > m_options.silenceTimeout) {
        history.resumedAt = now;
        history.silenceEndTimes.push_back(now);
        if (history.silenceEndTimes.size() > MaxRecordedSilences) {
            history.silenceEndTimes.pop_front();
        }
    }
    history.lastHeard = now;
    history.selfReport = acceptsWork ? SelfReport::Accepting : SelfReport::Refusing;
}

void Membership::recordRefusal(const TargetName &target, SteadyTime now)
{
    recordHeartbeat(target, false, now);
}

TargetEligibility Membership::eligibilityOf(const TargetName &target, SteadyTime now) const
{
    const auto *listed = m_inventory->find(target);
    if (listed == nullptr) {
        return {};
    }
    return determineEligibility(collectSignals(*listed, now), isObserverAtFault(now), m_options);
}

bool Membership::isObserverAtFault(SteadyTime now) const
{
    std::size_t expected = 0;
    std::size_t silent = 0;
    for (const auto &[name, target] : m_inventory->targets()) {
        if (!target.withdrawn && !m_rules->hasPlannedStop(name)) {
            ++expected;
            silent += isSilent(name, now) ? 1 : 0;
        }
    }
    return expected >= m_options.minTargetsForObserverFault && silent * 2 >= expected;
}

bool Membership::isSilent(const TargetName &target, SteadyTime now) const
{
    const auto &history = m_histories.at(target);
    return now - history.lastHeard.value_or(history.observedSince) > m_options.silenceTimeout;
}

TargetSignals Membership::collectSignals(const Target &target, SteadyTime now) const
{
    const auto &history = m_histories.at(target.name);
    TargetSignals signals{.isListed = true,
                          .isWithdrawn = target.withdrawn,
                          .hasPlannedStop = m_rules->hasPlannedStop(target.name),
                          .selfReport = history.selfReport,
                          .observedFor = elapsed(history.observedSince, now)};
    if (const auto host = m_hosts.find(target.host); host != m_hosts.end()) {
        signals.host = host->second.state;
        if (host->second.liveAgainSince) {
            signals.liveAgainFor = elapsed(*host->second.liveAgainSince, now);
        }
    }
    if (history.lastHeard) {
        signals.silentFor = elapsed(*history.lastHeard, now);
    }
    if (history.resumedAt) {
        signals.resumedFor = elapsed(*history.resumedAt, now);
    }
    signals.recentSilences =
        static_cast<int>(std::count_if(history.silenceEndTimes.begin(), history.silenceEndTimes.end(),
                                       [&](SteadyTime ended) { return now - ended < m_options.flapWindow; }));
    return signals;
}

std::set<TargetName> Membership::targetsWithReason(EligibilityReason reason, SteadyTime now) const
{
    std::set<TargetName> found;
    const bool observerFault = isObserverAtFault(now);
    for (const auto &[name, target] : m_inventory->targets()) {
        if (determineEligibility(collectSignals(target, now), observerFault, m_options).reason == reason) {
            found.insert(name);
        }
    }
    return found;
}

std::array<std::size_t, EligibilityReasonCount> Membership::countByReason(SteadyTime now) const
{
    std::array<std::size_t, EligibilityReasonCount> counts{};
    const bool observerFault = isObserverAtFault(now);
    for (const auto &[name, target] : m_inventory->targets()) {
        const auto eligibility = determineEligibility(collectSignals(target, now), observerFault, m_options);
        ++counts.at(static_cast<std::size_t>(eligibility.reason));
    }
    return counts;
}

} // namespace Heatherridge
