#include "heatherridge_transport/direct/callerserver.h"

#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/direct/callerconnection.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <list>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Interval between timeout checks of all connections; the shortest timeout is one second. */
constexpr std::chrono::milliseconds SweepPeriod{250};
/** Length of the kernel's accept queue. While it is full, SYN packets are dropped and retried after one second. */
constexpr int Backlog = 512;
/** Pause after a connection could not be accepted, for example for lack of descriptors. */
constexpr std::chrono::milliseconds AcceptRetryDelay{100};
/** Bounds of the bytes of pipelined requests that one connection may hold. */
constexpr std::size_t MinPendingBytes = 4UL << 10U;
constexpr std::size_t MaxPendingBytes = 64UL << 10U;

/** Returns how many bytes of pipelined requests one connection may hold, so that all together take at most half of the
 * memory. */
std::size_t pendingLimit(const CallerServer::Options &options)
{
    return std::clamp(options.maxHeldBytes / (2 * options.maxConnections), MinPendingBytes, MaxPendingBytes);
}

} // namespace

class CallerServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::io_context &loop, Options options, Handler handler, RejectionHandler makeRejection,
                   Metrics &metrics)
        : m_options(std::move(options))
        , m_acceptor(loop)
        , m_acceptTimer(loop)
        , m_sweepTimer(loop)
        , m_state(std::make_shared<CallerServerState>(m_options.maxHeldBytes, pendingLimit(m_options)))
        , m_accepted(metrics.counter("heatherridge_caller_connections_total"))
        , m_refused(metrics.counter("heatherridge_caller_connections_refused_total"))
        , m_replaced(metrics.counter("heatherridge_caller_connections_replaced_total"))
        , m_acceptFailures(metrics.counter("heatherridge_caller_accept_failures_total"))
        , m_endedForMemory(metrics.counter("heatherridge_callers_ended_for_memory_total"))
        , m_heldBytes(metrics.gauge("heatherridge_caller_held_bytes"))
    {
        m_state->handler = std::move(handler);
        m_state->makeRejection = std::move(makeRejection);
        m_state->headTimeouts = &metrics.counter("heatherridge_caller_head_timeouts_total");
        m_state->idleTimeouts = &metrics.counter("heatherridge_caller_idle_timeouts_total");
        m_state->callerDisconnects = &metrics.counter("heatherridge_callers_gone_total");
        m_state->responsesOutOfOrder = &metrics.counter("heatherridge_responses_out_of_order_total");
    }

    Result<Endpoint> start()
    {
        using asio::ip::tcp;
        asio::error_code error;
        const auto address = asio::ip::make_address(m_options.listen.address, error);
        if (error) {
            return Error{.detail = "not an IP address: " + m_options.listen.address};
        }
        const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(m_options.listen.port));
        if (!listen(endpoint, error)) {
            asio::error_code ignored; // the acceptor is opened anew by the next start
            m_acceptor.close(ignored);
            return Error{.detail = "cannot listen on " + toString(m_options.listen) + ": " + error.message()};
        }
        const auto bound = m_acceptor.local_endpoint(error);
        m_state->buffersExceeded = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->scheduleEndOfHolders();
            }
        };
        accept();
        sweep();
        return Endpoint{.address = m_options.listen.address, .port = bound.port()};
    }

    /** Ends connections after the current operation, which may be one of the connection that has to end. */
    void scheduleEndOfHolders()
    {
        if (!std::exchange(m_isEndScheduled, true)) {
            asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
                self->m_isEndScheduled = false;
                self->endHolders();
            });
        }
    }

    /** Ends connections until the others fit. */
    void endHolders()
    {
        const auto now = std::chrono::steady_clock::now();
        const auto connections = openConnections();
        std::vector<BufferHolder> holders(connections.size());
        std::transform(connections.begin(), connections.end(), holders.begin(), [now](const auto &connection) {
            return BufferHolder{.bytes = connection->heldBytes(), .stage = connection->holdingStage(now)};
        });
        while (const auto scope = m_state->buffers.scopeToEnd()) {
            const auto next = BufferBudget::nextToEnd(holders, *scope);
            if (!next) {
                break;
            }
            m_endedForMemory.add();
            logEvent(Severity::Warning, "caller-ended-for-memory",
                     {{"held", std::to_string(holders[*next].bytes)},
                      {"all", std::to_string(m_state->buffers.held())},
                      {"stage", std::string(toString(holders[*next].stage))}});
            connections[*next]->endForMemory();
            holders[*next].bytes = 0;
        }
    }

    void stop()
    {
        asio::error_code ignored; // the process is about to exit
        m_acceptor.close(ignored);
        m_acceptTimer.cancel();
        m_sweepTimer.cancel();
        for (const auto &connection : openConnections()) {
            connection->close();
        }
    }

    void closeIdleConnections()
    {
        for (const auto &connection : openConnections()) {
            connection->closeIfIdle();
        }
    }

    std::size_t refuseArriving()
    {
        m_state->isRefusing = true;
        const auto connections = openConnections();
        return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(),
                                                      [](const auto &entry) { return entry->refuseIfArriving(); }));
    }

    std::size_t unfinishedConnections() const
    {
        const auto now = std::chrono::steady_clock::now();
        const auto connections = openConnections();
        return static_cast<std::size_t>(
            std::count_if(connections.begin(), connections.end(), [now](const auto &connection) {
                const auto use = connection->retention(now).use;
                return use != ConnectionUse::Idle && use != ConnectionUse::Unused;
            }));
    }

    CallerServerState &state()
    {
        return *m_state;
    }

private:
    bool listen(const asio::ip::tcp::endpoint &endpoint, asio::error_code &error)
    {
        using asio::ip::tcp;
        return !m_acceptor.open(endpoint.protocol(), error)
            && !m_acceptor.set_option(tcp::acceptor::reuse_address(true), error) && !m_acceptor.bind(endpoint, error)
            && !m_acceptor.listen(Backlog, error);
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
                if (error == asio::error::operation_aborted || !self->m_acceptor.is_open()) {
                    return;
                }
                if (error) {
                    self->retryAccept(error);
                    return;
                }
                self->accept(); // first, as the connection may find no memory
                self->addConnection(std::move(socket));
            });
    }

    void retryAccept(const asio::error_code &error)
    {
        m_acceptFailures.add();
        logEvent(Severity::Warning, "accept-failed", {{"reason", error.message()}});
        replaceConnection();
        m_acceptTimer.expires_after(AcceptRetryDelay);
        m_acceptTimer.async_wait([self = shared_from_this()](const asio::error_code &cancelled) {
            if (!cancelled && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    /** Closes the connection that makes room for another. @returns whether there was one */
    bool replaceConnection()
    {
        const auto now = std::chrono::steady_clock::now();
        const auto connections = openConnections();
        std::vector<RetainedConnection> retained(connections.size());
        std::transform(connections.begin(), connections.end(), retained.begin(),
                       [now](const auto &connection) { return connection->retention(now); });
        const auto chosen = connectionToClose(retained, now);
        if (chosen) {
            m_replaced.add();
            logEvent(
                Severity::Info, "caller-connection-replaced",
                {{"use", std::string(toString(retained[*chosen].use))}, {"open", std::to_string(m_state->openCount)}});
            connections[*chosen]->disconnect();
        }
        return chosen.has_value();
    }

    void addConnection(asio::ip::tcp::socket socket)
    {
        m_accepted.add();
        if (m_state->openCount < m_options.maxConnections) {
            m_state->connectionsToShed = 0;
        } else if (!replaceConnection()) {
            m_refused.add();
            m_state->connectionsToShed = std::min(m_state->connectionsToShed + 1, m_options.maxConnections);
            return; // destroys the socket, which closes it; no part of a request has been read
        }
        const auto connection = std::make_shared<CallerConnection>(std::move(socket), m_state);
        m_connections.push_back(connection);
        connection->start();
    }

    void sweep()
    {
        m_sweepTimer.expires_after(SweepPeriod);
        m_sweepTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (error) {
                return;
            }
            self->sweep(); // first, as what follows may throw
            const auto now = std::chrono::steady_clock::now();
            for (const auto &connection : self->openConnections()) {
                connection->tick(now);
            }
            self->m_heldBytes.set(static_cast<std::int64_t>(self->m_state->buffers.held()));
            self->m_connections.remove_if([](const auto &entry) { return entry.expired(); });
        });
    }

    std::vector<std::shared_ptr<CallerConnection>> openConnections() const
    {
        std::vector<std::shared_ptr<CallerConnection>> connections;
        for (const auto &entry : m_connections) {
            auto connection = entry.lock();
            if (connection && connection->isOpen()) {
                connections.push_back(std::move(connection));
            }
        }
        return connections;
    }

    Options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_sweepTimer;
    std::shared_ptr<CallerServerState> m_state;
    std::list<std::weak_ptr<CallerConnection>> m_connections;
    Counter &m_accepted;
    Counter &m_refused;
    Counter &m_replaced;
    Counter &m_acceptFailures;
    Counter &m_endedForMemory;
    Gauge &m_heldBytes;
    bool m_isEndScheduled = false;
};

CallerServer::CallerServer(asio::io_context &loop, Options options, Handler handler, RejectionHandler makeRejection,
                           Metrics &metrics)
    : m_implementation(std::make_shared<Implementation>(loop, std::move(options), std::move(handler),
                                                        std::move(makeRejection), metrics))
{
}

CallerServer::~CallerServer()
{
    stop();
}

Result<Endpoint> CallerServer::start()
{
    return m_implementation->start();
}

void CallerServer::setLimits(const ClientLimits &limits)
{
    m_implementation->state().limits = limits;
}

void CallerServer::beginDrain()
{
    m_implementation->state().isDraining = true;
}

std::size_t CallerServer::refuseArriving()
{
    return m_implementation->refuseArriving();
}

void CallerServer::closeIdleConnections()
{
    m_implementation->closeIdleConnections();
}

std::size_t CallerServer::busyConnections() const
{
    return m_implementation->state().busyCount;
}

std::size_t CallerServer::unfinishedConnections() const
{
    return m_implementation->unfinishedConnections();
}

void CallerServer::stop()
{
    m_implementation->stop();
}

} // namespace Heatherridge
