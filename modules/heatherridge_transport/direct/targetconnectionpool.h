#pragma once

#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/targetconnection.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** Numbers of the connections that one request has used. */
using UsedConnections = std::set<std::uint64_t>;

/**
 * Pool of idle connections to targets. Used only on the loop's thread.
 *
 * Connections are pooled by target id rather than address, because an address may be reassigned to another service.
 */
class TargetConnectionPool
{
public:
    /** Connections that are idle for longer are closed, which frees file descriptors after a burst. */
    static constexpr std::chrono::milliseconds MaxIdleTime{20'000};
    /** Usable fraction of the idle timeout that a target announces. After it, the target's close may be in flight. */
    static constexpr double UsableIdleFraction = 0.6;
    /** Idle timeout assumed for targets that announce none. */
    static constexpr std::chrono::milliseconds DefaultIdleTimeout{4'000};

    TargetConnectionPool(asio::io_context &loop, Metrics &metrics);

    /**
     * Returns the most recently used idle connection to @p target, or a new one if there is none, and adds it to @p
     * used.
     *
     * @param used the connections that have carried earlier attempts of the same request, which are not returned.
     * Attempts share the request id, so late bytes of an earlier one would pass for the response to the next.
     */
    std::shared_ptr<TargetConnection> acquire(const TargetEntry &target, UsedConnections &used);

    /** Pools @p connection if it is reusable, else closes it. @param idleTimeout announced by the target */
    void release(const TargetName &target, const std::shared_ptr<TargetConnection> &connection,
                 std::optional<std::chrono::seconds> idleTimeout);

    /** Closes all idle connections to @p target. Called when the target is removed. */
    void evict(const TargetName &target);

    /** Closes the connections that have been idle for too long. */
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
    std::uint64_t m_lastNumber = 0; ///< of the newest connection
    std::map<TargetName, std::vector<IdleConnection>> m_idle;
};

} // namespace Heatherridge
