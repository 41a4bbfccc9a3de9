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
class GatewaySite
{
public:
    struct Options
    {
        std::shared_ptr<SharedRecords> reports = std::make_shared<SharedRecords>(); ///< shared with other gateways
        std::set<int> parts{}; ///< of the log's partitions that belong to this gateway; none: the log does not say
        int logPartitions = 1;
    };

    /** @param targets all serve the one service */
    explicit GatewaySite(const std::vector<const ScriptedTarget *> &targets)
        : GatewaySite(targets, Options{})
    {
    }
    GatewaySite(const std::vector<const ScriptedTarget *> &targets, const Options &options);
    ~GatewaySite();

    GatewaySite(const GatewaySite &) = delete;
    GatewaySite &operator=(const GatewaySite &) = delete;

    /** Look-ups at /look/, bookings at /book/ and resumable streams at /stream/ of host "h", without keys. */
    static RoutingConfig usualConfig();

    /** Where callers connect. */
    Endpoint callers() const;

    /** Where the balancer asks. */
    Endpoint balancer() const;

    /** Begins the graceful shutdown on a thread of its own. */
    void beginStop();

    /** Waits until the gateway has ended. */
    void awaitStop();

private:
    class Registers;

    Endpoint m_ready{};
    Endpoint m_callers{};
    std::unique_ptr<GatewayServer> m_server;
    bool m_isStopping = false;
    std::thread m_stopping;
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
    Answer receive(bool isHead = false);

    /** Whether the other side has closed, waiting up to @p patience. */
    bool isClosedWithin(std::chrono::milliseconds patience);

    /** Closes. */
    void close();

private:
    std::string readSome();

    asio::io_context m_loop;
    asio::ip::tcp::socket m_socket;
    std::string m_held;
};

/** A request of id @p id. */
std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        const std::string &body = {}, const std::string &furtherHeaders = {});

} // namespace Heatherridge
