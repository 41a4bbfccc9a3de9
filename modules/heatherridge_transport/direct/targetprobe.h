#pragma once

#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/app/metrics.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** What a target's port says of the process behind it. */
enum class ProbeResult {
    Listening, ///< it takes connections
    Refused, ///< its host refuses them: no process listens
    Unknown, ///< no answer in time, as from a host that is cut off or a network that loses packets
};

/** The name of @p presence in logs. */
std::string_view toString(ProbeResult result);

/**
 * Tells a target that has died from one that only broke off an exchange, by opening a connection to it.
 *
 * A broken connection alone does not say which: engines cut off the streams of a group that stands still, and services
 * lose single answers. On the loop's thread alone.
 */
class TargetProbe
{
public:
    using Done = std::function<void(ProbeResult)>;

    /** @param timeout for opening a connection */
    TargetProbe(asio::io_context &loop, std::chrono::milliseconds timeout, Metrics &metrics);
    ~TargetProbe();

    TargetProbe(const TargetProbe &) = delete;
    TargetProbe &operator=(const TargetProbe &) = delete;

    /** Asks for @p target; @p done is called later. All who ask for one target at a time share one connection. */
    void probe(const TargetEntry &target, Done done);

private:
    struct PendingProbe;

    void finish(const TargetName &target, ProbeResult result);

    asio::io_context &m_loop;
    std::chrono::milliseconds m_timeout;
    Counter &m_probes;
    std::map<TargetName, std::unique_ptr<PendingProbe>> m_pending;
};

} // namespace Heatherridge
