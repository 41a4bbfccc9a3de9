#pragma once

#include "heatherridge_coordination/config/publisher.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/http/httpclient.h"
#include "heatherridge_transport/platform/httplogservice.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace Heatherridge
{

/** The active configuration as folded from the log. */
struct ActiveConfig
{
    LogOffset offset{}; ///< offset of the last folded record
    LogOffset inventoryOffset{}; ///< the record that last changed the inventory; 0 for none
    LogOffset rulesOffset{}; ///< the record that last changed the rules; 0 for none
    Digest digest{}; ///< of the whole state
    std::string rulesText{}; ///< the rules in canonical form
    std::shared_ptr<const Inventory> inventory{};
    std::shared_ptr<const RuleSet> rules{};
};

/**
 * Client of the platform's log for the operator's command: folds the control stream and publishes to it.
 *
 * All methods block. Not thread-safe: use from one thread; an event loop of its own drives the network.
 */
class LogSession
{
public:
    /** Creates a session with the log at @p log in which each call times out after @p timeout. */
    LogSession(const Endpoint &log, std::chrono::milliseconds timeout);
    /** Cancels pending calls. */
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;

    /** Returns the configuration after all current records of the log, or nothing if the log did not answer in time. */
    std::optional<ActiveConfig> readActiveConfig();

    /** Publishes @p request and waits for the outcome. @see Publisher */
    PublishResult publish(PublishRequest request);

private:
    void runUntil(const std::function<bool(SteadyTime now)> &step);

    std::chrono::milliseconds m_timeout;
    SystemClock m_clock;
    SeededRandom m_random;
    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpLogService> m_log;
};

} // namespace Heatherridge
