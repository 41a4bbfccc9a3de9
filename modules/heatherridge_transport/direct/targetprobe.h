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

/** Result of opening a connection to a target's port. */
enum class ProbeResult {
    Listening, ///< the port accepts connections
    Refused, ///< the host refuses connections: no process listens
    Unknown, ///< no answer in time, e.g. the host is cut off or the network loses packets
};

/** Returns the name of @p result in logs. */
std::string_view toString(ProbeResult result);

/**
 * Distinguishes a target that has died from one that only aborted an exchange, by opening a connection to it.
 *
 * A broken connection alone does not tell them apart: engines abort the streams of a group that stands still, and
 * services lose single responses. Used only on the loop's thread.
 */
class TargetProbe
{
public:
    using Done = std::function<void(ProbeResult)>;

    /** @param timeout for opening a connection; afterwards the result is Unknown */
    TargetProbe(asio::io_context &loop, std::chrono::milliseconds timeout, Metrics &metrics);
    ~TargetProbe();

    TargetProbe(const TargetProbe &) = delete;
    TargetProbe &operator=(const TargetProbe &) = delete;

    /** Probes @p target and calls @p done later. Concurrent probes of one target share one connection attempt. */
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
