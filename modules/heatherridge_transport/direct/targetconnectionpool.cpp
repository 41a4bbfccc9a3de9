#include "heatherridge_transport/direct/targetconnectionpool.h"

#include <algorithm>

namespace Heatherridge
{

TargetPool::TargetPool(asio::io_context &loop, Metrics &metrics)
    : m_loop(loop)
    , m_opened(metrics.counter("heatherridge_target_connections_opened_total"))
    , m_reused(metrics.counter("heatherridge_target_connections_reused_total"))
{
}

std::shared_ptr<TargetConnection> TargetPool::take(const TargetEntry &target)
{
    auto &kept = m_kept[target.id];
    const auto now = std::chrono::steady_clock::now();
    while (!kept.empty()) {
        const auto last = kept.back();
        kept.pop_back();
        last.connection->onUnfit({});
        if (last.connection->isFit() && now < last.usableUntil && last.connection->endpoint() == target.address) {
            m_reused.add();
            return last.connection;
        }
        last.connection->close();
    }
    m_opened.add();
    return std::make_shared<TargetConnection>(m_loop, target.address);
}

void TargetPool::give(const TargetName &target, const std::shared_ptr<TargetConnection> &connection,
                      std::optional<std::chrono::seconds> idleTimeout)
{
    if (!connection->isFit()) {
        connection->close();
        return;
    }
    const auto named = idleTimeout ? std::chrono::milliseconds(*idleTimeout) : AssumedIdleTime;
    const auto usable =
        std::min(std::chrono::duration_cast<std::chrono::milliseconds>(named * UsedPartOfIdleTime), LongestIdle);
    m_kept[target].push_back({.connection = connection, .usableUntil = connection->idleSince() + usable});
    connection->onUnfit([this, target] { dropUnfit(target); });
}

void TargetPool::forget(const TargetName &target)
{
    const auto found = m_kept.find(target);
    if (found == m_kept.end()) {
        return;
    }
    for (const auto &kept : found->second) {
        kept.connection->close();
    }
    m_kept.erase(found);
}

void TargetPool::tick(SteadyTime now)
{
    for (auto &[target, kept] : m_kept) {
        std::erase_if(kept, [now](const Kept &entry) {
            const bool isOld = now >= entry.usableUntil;
            if (isOld) {
                entry.connection->close();
            }
            return isOld;
        });
    }
}

void TargetPool::dropUnfit(const TargetName &target)
{
    std::erase_if(m_kept[target], [](const Kept &entry) { return !entry.connection->isFit(); });
}

} // namespace Heatherridge
