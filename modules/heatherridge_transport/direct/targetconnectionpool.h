#pragma once

#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/targetconnection.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * Kept connections to targets. On the loop's thread alone.
 *
 * Connections are kept by a target's id, not its address: an address may come to belong to another service.
 */
class TargetConnectionPool
{
public:
    /** Kept connections that are idle for longer are closed; saves descriptors after a burst. */
    static constexpr std::chrono::milliseconds MaxIdleTime{20'000};
    /** A connection is not used in the last part of the idle time that its target names: the close may be under way. */
    static constexpr double UsableIdleFraction = 0.6;
    /** Taken for targets that name no idle time. */
    static constexpr std::chrono::milliseconds DefaultIdleTimeout{4'000};

    TargetConnectionPool(asio::io_context &loop, Metrics &metrics);

    /** The connection to @p target that was idle for the shortest time, else a new one. */
    std::shared_ptr<TargetConnection> acquire(const TargetEntry &target);

    /** Keeps @p connection for a later exchange if it is fit. @param idleTimeout as its target named it */
    void release(const TargetName &target, const std::shared_ptr<TargetConnection> &connection,
                 std::optional<std::chrono::seconds> idleTimeout);

    /** @p target is gone: closes what is kept. */
    void evict(const TargetName &target);

    /** Closes what has been idle for too long. */
    void tick(SteadyTime now);

private:
    struct IdleConnection
    {
        std::shared_ptr<TargetConnection> connection{};
        SteadyTime usableUntil{};
    };

    void removeUnusable(const TargetName &target);

    asio::io_context &m_loop;
    Counter &m_opened;
    Counter &m_reused;
    std::map<TargetName, std::vector<IdleConnection>> m_idle;
};

} // namespace Heatherridge
