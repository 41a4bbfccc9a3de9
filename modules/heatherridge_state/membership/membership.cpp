#include "heatherridge_state/membership/membership.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxSilencesKept = 16;

std::chrono::milliseconds since(SteadyTime begin, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - begin);
}

} // namespace

Membership::Membership(MembershipOptions options)
    : m_options(options)
{
}

void Membership::follow(std::shared_ptr<const Inventory> inventory, std::shared_ptr<const RuleSet> rules,
                        SteadyTime now)
{
    m_inventory = std::move(inventory);
    m_rules = std::move(rules);
    for (const auto &[name, target] : m_inventory->targets()) {
        m_known.try_emplace(name, Known{.watchedSince = now});
    }
    std::erase_if(m_known, [this](const auto &entry) { return m_inventory->find(entry.first) == nullptr; });
}

void Membership::noteHostList(const std::vector<ListedHost> &hosts, SteadyTime now)
{
    std::map<HostName, HostMark> marks;
    for (const auto &line : hosts) {
        auto &mark = marks.try_emplace(line.host, line.mark).first->second;
        // During a replacement the old and the new machine may stand under one name. Work for it could reach the one
        // that leaves, so leaving wins.
        mark = std::max(mark, line.mark);
    }
    for (auto &[host, known] : m_hosts) {
        if (!marks.contains(host) && known.mark != HostMark::Leaving) {
            known.mark = HostMark::Absent;
        }
    }
    for (const auto &[host, mark] : marks) {
        auto &known = m_hosts[host];
        if (mark == HostMark::Leaving) {
            known.liveAgainSince.reset();
        } else if (known.mark == HostMark::Leaving) {
            known.liveAgainSince = now;
        }
        known.mark = mark;
    }
    std::erase_if(m_hosts, [&](const auto &entry) {
        return !marks.contains(entry.first)
            && std::none_of(m_inventory->targets().begin(), m_inventory->targets().end(),
                            [&entry](const auto &target) { return target.second.host == entry.first; });
    });
}

void Membership::noteHeard(const TargetName &target, bool takesWork, SteadyTime now)
{
    const auto entry = m_known.find(target);
    if (entry == m_known.end()) {
        return;
    }
    auto &known = entry->second;
    if (known.lastHeard && now - *known.lastHeard > m_options.silence) {
        known.heardAgainSince = now;
        known.silencesEnded.push_back(now);
        if (known.silencesEnded.size() > MaxSilencesKept) {
            known.silencesEnded.pop_front();
        }
    }
    known.lastHeard = now;
    known.ownWord = takesWork ? OwnWord::Takes : OwnWord::Refuses;
}

void Membership::noteRefusal(const TargetName &target, SteadyTime now)
{
    noteHeard(target, false, now);
}

TargetStanding Membership::standingOf(const TargetName &target, SteadyTime now) const
{
    const auto *listed = m_inventory->find(target);
    if (listed == nullptr) {
        return {};
    }
    return standingFrom(signalsOf(*listed, now), isObserverAtFault(now), m_options);
}

bool Membership::isObserverAtFault(SteadyTime now) const
{
    std::size_t expected = 0;
    std::size_t silent = 0;
    for (const auto &[name, target] : m_inventory->targets()) {
        if (!target.withdrawn && !m_rules->isStopping(name)) {
            ++expected;
            silent += isSilent(name, now) ? 1 : 0;
        }
    }
    return expected >= m_options.leastForObserverFault && silent * 2 >= expected;
}

bool Membership::isSilent(const TargetName &target, SteadyTime now) const
{
    const auto &known = m_known.at(target);
    return now - known.lastHeard.value_or(known.watchedSince) > m_options.silence;
}

TargetSignals Membership::signalsOf(const Target &target, SteadyTime now) const
{
    const auto &known = m_known.at(target.name);
    TargetSignals signals{.isListed = true,
                          .isWithdrawn = target.withdrawn,
                          .isStopping = m_rules->isStopping(target.name),
                          .ownWord = known.ownWord,
                          .watchedFor = since(known.watchedSince, now)};
    if (const auto host = m_hosts.find(target.host); host != m_hosts.end()) {
        signals.host = host->second.mark;
        if (host->second.liveAgainSince) {
            signals.liveAgainFor = since(*host->second.liveAgainSince, now);
        }
    }
    if (known.lastHeard) {
        signals.silentFor = since(*known.lastHeard, now);
    }
    if (known.heardAgainSince) {
        signals.heardAgainFor = since(*known.heardAgainSince, now);
    }
    signals.recentSilences =
        static_cast<int>(std::count_if(known.silencesEnded.begin(), known.silencesEnded.end(),
                                       [&](SteadyTime ended) { return now - ended < m_options.flapMemory; }));
    return signals;
}

std::set<TargetName> Membership::targetsWith(StandingReason reason, SteadyTime now) const
{
    std::set<TargetName> found;
    const bool observerFault = isObserverAtFault(now);
    for (const auto &[name, target] : m_inventory->targets()) {
        if (standingFrom(signalsOf(target, now), observerFault, m_options).reason == reason) {
            found.insert(name);
        }
    }
    return found;
}

std::array<std::size_t, StandingReasonCount> Membership::countByReason(SteadyTime now) const
{
    std::array<std::size_t, StandingReasonCount> counts{};
    const bool observerFault = isObserverAtFault(now);
    for (const auto &[name, target] : m_inventory->targets()) {
        const auto standing = standingFrom(signalsOf(target, now), observerFault, m_options);
        ++counts.at(static_cast<std::size_t>(standing.reason));
    }
    return counts;
}

} // namespace Heatherridge
