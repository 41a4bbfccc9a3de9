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

/** What the log's fold says is in force. */
struct ActiveConfig
{
    LogOffset offset{}; ///< folded up to here
    LogOffset inventoryOffset{}; ///< the record that last changed the inventory; 0 for none
    LogOffset rulesOffset{}; ///< the record that last changed the rules; 0 for none
    Digest digest{}; ///< of the whole state
    std::string rulesText{}; ///< the rules in canonical form
    std::shared_ptr<const Inventory> inventory{};
    std::shared_ptr<const RuleSet> rules{};
};

/**
 * The command's way to the platform's log: folds the control stream itself and publishes to it.
 *
 * All methods block. One thread; a loop of its own drives the network.
 */
class LogSession
{
public:
    /** A session with the log at @p log, in which each call gives up after @p timeout. */
    LogSession(const Endpoint &log, std::chrono::milliseconds timeout);
    /** Drops what is still under way. */
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;

    /** What is in force by all records that the log holds now; nothing when the log did not answer in time. */
    std::optional<ActiveConfig> readActiveConfig();

    /** Publishes @p request and waits for its outcome. @see Publisher */
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
