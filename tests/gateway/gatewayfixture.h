#pragma once

#include "gateway/scriptedtarget.h"
#include "heatherridge_platform.h"
#include "heatherridge_transport/direct/gatewayserver.h"
#include "support/sharedreports.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/** A gateway on loopback before scripted targets, with registers that the test writes. */
class GatewayFixture
{
public:
    struct Options
    {
        std::shared_ptr<SharedRecords> reports = std::make_shared<SharedRecords>(); ///< shared with other gateways
        std::set<int> partitions{}; ///< of the log's partitions that belong to this gateway; none: the log does not say
        int logPartitions = 1;
    };

    /** @param targets all serve the one service */
    explicit GatewayFixture(const std::vector<const ScriptedTarget *> &targets)
        : GatewayFixture(targets, Options{})
    {
    }
    GatewayFixture(const std::vector<const ScriptedTarget *> &targets, const Options &options);
    ~GatewayFixture();

    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    /** Look-ups at /look/, bookings at /book/ and resumable streams at /stream/ of host "h", without keys. */
    static RoutingConfig defaultConfig();

    /** Where callers connect. */
    Endpoint callerEndpoint() const;

    /** Where the balancer asks. */
    Endpoint readinessEndpoint() const;

    /** Begins the graceful shutdown on a thread of its own. */
    void beginStop();

    /** Waits until the gateway has ended. */
    void awaitStop();

private:
    class FixedRegisters;

    Endpoint m_readinessEndpoint{};
    Endpoint m_callerEndpoint{};
    std::unique_ptr<GatewayServer> m_server;
    bool m_isStopping = false;
    std::thread m_stopThread;
};

/** A caller's connection. */
class RawCaller
{
public:
    explicit RawCaller(const Endpoint &endpoint);

    /** Writes @p bytes. */
    void send(const std::string &bytes);

    /** Reads one answer: head and body as delimited, chunks taken apart; what came when it was cut off before. */
    struct Answer
    {
        int status = 0; ///< 0: the connection ended without a head
        std::string head{};
        std::string body{};
        bool isWhole = false;
    };
    Answer receive(bool isHeadRequest = false);

    /** Whether the other side has closed, waiting up to @p timeout. */
    bool isClosedWithin(std::chrono::milliseconds timeout);

    /** Closes. */
    void close();

private:
    std::string readSome();

    asio::io_context m_loop;
    asio::ip::tcp::socket m_socket;
    std::string m_buffered;
};

/** A request of id @p id. */
std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        const std::string &body = {}, const std::string &extraHeaders = {});

} // namespace Heatherridge
