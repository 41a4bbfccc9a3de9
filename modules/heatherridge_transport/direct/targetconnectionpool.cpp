#include "heatherridge_transport/direct/targetconnectionpool.h"

#include <algorithm>

namespace Heatherridge
{

TargetConnectionPool::TargetConnectionPool(asio::io_context &loop, Metrics &metrics)
    : m_loop(loop)
    , m_opened(metrics.counter("heatherridge_target_connections_opened_total"))
    , m_reused(metrics.counter("heatherridge_target_connections_reused_total"))
{
}

std::shared_ptr<TargetConnection> TargetConnectionPool::acquire(const TargetEntry &target, UsedConnections &used)
{
    auto &idle = m_idle[target.id];
    const auto now = std::chrono::steady_clock::now();
    for (auto position = idle.size(); position-- > 0;) {
        if (used.contains(idle[position].connection->number())) {
            continue;
        }
        const auto candidate = idle[position];
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(position));
        candidate.connection->onUnusable({});
        if (candidate.connection->isReusable() && !candidate.connection->hasUnreadInput() && now < candidate.usableUntil
            && candidate.connection->endpoint() == target.address) {
            m_reused.add();
            used.insert(candidate.connection->number());
            return candidate.connection;
        }
        candidate.connection->close();
    }
    m_opened.add();
    auto connection = std::make_shared<TargetConnection>(m_loop, target.address, ++m_lastNumber);
    used.insert(connection->number());
    return connection;
}

void TargetConnectionPool::release(const TargetName &target, const std::shared_ptr<TargetConnection> &connection,
                                   std::optional<std::chrono::seconds> idleTimeout)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    const auto announced = idleTimeout ? std::chrono::milliseconds(*idleTimeout) : DefaultIdleTimeout;
    const auto usableTime =
        std::min(std::chrono::duration_cast<std::chrono::milliseconds>(announced * UsableIdleFraction), MaxIdleTime);
    m_idle[target].push_back({.connection = connection, .usableUntil = connection->idleSince() + usableTime});
    connection->onUnusable([this, target] { removeUnusable(target); });
}

void TargetConnectionPool::evict(const TargetName &target)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return;
    }
    for (const auto &idle : found->second) {
        idle.connection->close();
    }
    m_idle.erase(found);
}

void TargetConnectionPool::tick(SteadyTime now)
{
    for (auto &[target, idle] : m_idle) {
        std::erase_if(idle, [now](const IdleConnection &entry) {
            const bool isExpired = now >= entry.usableUntil;
            if (isExpired) {
                entry.connection->close();
            }
            return isExpired;
        });
    }
}

void TargetConnectionPool::removeUnusable(const TargetName &target)
{
    std::erase_if(m_idle[target], [](const IdleConnection &entry) { return !entry.connection->isReusable(); });
}

} // namespace Heatherridge
