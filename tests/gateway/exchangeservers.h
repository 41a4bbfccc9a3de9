#pragma once

#include "heatherridge_transport/direct/callerserver.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <thread>

namespace Heatherridge
{

/** The server of a gateway's callers. */
class GatewayCallerServer
{
public:
    explicit GatewayCallerServer(HttpServer::Handler handler)
        : m_server(
            m_loop, {.listen = {.address = "127.0.0.1"}, .maxConnections = MaxConnections}, std::move(handler),
            [](ErrorKind) { return HttpResponse{.status = 400, .body = "rejected"}; }, m_metrics)
        , m_endpoint(std::get<Endpoint>(m_server.start()))
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~GatewayCallerServer()
    {
        asio::post(m_loop, [this] {
            m_server.stop();
            m_loop.stop();
        });
        m_thread.join();
    }

    GatewayCallerServer(const GatewayCallerServer &) = delete;
    GatewayCallerServer &operator=(const GatewayCallerServer &) = delete;

    Endpoint endpoint() const
    {
        return m_endpoint;
    }

    Metrics &metrics()
    {
        return m_metrics;
    }

    /** Calls @p function on the server's thread and waits for it. */
    void runAndWait(const std::function<void(CallerServer &)> &function)
    {
        std::promise<void> done;
        asio::post(m_loop, [&] {
            function(m_server);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    /** More than a test opens: closed connections count until the next sweep of the server. */
    static constexpr std::size_t MaxConnections = 100'000;

    asio::io_context m_loop;
    Metrics m_metrics;
    CallerServer m_server;
    Endpoint m_endpoint;
    std::thread m_thread;
};

/** The server of all other processes. */
class RestinioServer
{
public:
    explicit RestinioServer(HttpServer::Handler handler)
        : m_server({.listen = {.address = "127.0.0.1"}}, std::move(handler))
        , m_endpoint(std::get<Endpoint>(m_server.start()))
    {
    }

    Endpoint endpoint() const
    {
        return m_endpoint;
    }

private:
    HttpServer m_server;
    Endpoint m_endpoint;
};

} // namespace Heatherridge
