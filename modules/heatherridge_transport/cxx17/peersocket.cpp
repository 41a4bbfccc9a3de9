#include "heatherridge_transport/cxx17/peersocket.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>

namespace Heatherridge
{

namespace
{

constexpr long OpenHandshakeTimeoutMs = 2000;
constexpr long CloseHandshakeTimeoutMs = 1000;

/** PeerSocket for both roles, which differ only in their websocketpp configuration. */
template<typename Endpoint>
class WebSocketPeer final : public PeerSocket
{
public:
    using Connection = typename Endpoint::connection_ptr;

    explicit WebSocketPeer(const Connection &connection)
        : m_connection(connection)
    {
    }

    void send(const std::vector<std::uint8_t> &frame) override
    {
        if (const auto connection = m_connection.lock()) {
            connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
        }
    }

    std::size_t bufferedBytes() const override
    {
        const auto connection = m_connection.lock();
        return connection ? connection->get_buffered_amount() : 0;
    }

    void close() override
    {
        if (const auto connection = m_connection.lock()) {
            websocketpp::lib::error_code ignored;
            connection->close(websocketpp::close::status::going_away, "", ignored);
        }
    }

private:
    /** Weak, because the connection's handlers own this socket: a strong reference would form a cycle, which leaks both
     * if the loop ends before the connection is closed. websocketpp keeps the connection alive while it is open. */
    typename Connection::weak_type m_connection;
};

template<typename Endpoint>
void disableLogging(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

/** Creates the socket of @p connection and forwards the connection's events to @p events. */
template<typename Endpoint>
std::shared_ptr<PeerSocket> attachEventHandlers(const typename Endpoint::connection_ptr &connection,
                                                const PeerSocketEvents &events)
{
    using Handle = websocketpp::connection_hdl;
    auto socket = std::make_shared<WebSocketPeer<Endpoint>>(connection);
    connection->set_open_handler([socket, events](const Handle &) { events.opened(socket); });
    connection->set_message_handler([socket, events](const Handle &, const typename Endpoint::message_ptr &message) {
        const auto &payload = message->get_payload();
        events.received(socket, std::vector<std::uint8_t>(payload.begin(), payload.end()));
    });
    const auto onClosed = [socket, events](const Handle &) { events.closed(socket); };
    connection->set_close_handler(onClosed);
    connection->set_fail_handler(onClosed);
    return socket;
}

} // namespace

class PeerListener::Implementation
{
public:
    using Server = websocketpp::server<websocketpp::config::asio>;

    Implementation(asio::io_context &loop, PeerSocketEvents events, std::size_t maxFrameBytes)
        : m_events(std::move(events))
    {
        disableLogging(m_server);
        m_server.init_asio(&loop);
        m_server.set_reuse_addr(true);
        m_server.set_max_message_size(maxFrameBytes);
        m_server.set_open_handshake_timeout(OpenHandshakeTimeoutMs);
        m_server.set_close_handshake_timeout(CloseHandshakeTimeoutMs);
        m_server.set_tcp_post_init_handler([this](const websocketpp::connection_hdl &handle) {
            websocketpp::lib::error_code error;
            const auto connection = m_server.get_con_from_hdl(handle, error);
            if (!error) {
                connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true));
                attachEventHandlers<Server>(connection, m_events);
            }
        });
    }

    std::string start(const std::string &address, int &port)
    {
        asio::error_code parseError;
        const auto ip = asio::ip::make_address(address, parseError);
        if (parseError) {
            return "not an IP address: " + address;
        }
        websocketpp::lib::error_code error;
        m_server.listen(asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port)), error);
        if (!error) {
            m_server.start_accept(error);
        }
        if (error) {
            return "cannot listen on " + address + ":" + std::to_string(port) + ": " + error.message();
        }
        asio::error_code ignored;
        port = m_server.get_local_endpoint(ignored).port();
        return {};
    }

    void stop()
    {
        websocketpp::lib::error_code ignored;
        m_server.stop_listening(ignored);
    }

private:
    Server m_server;
    PeerSocketEvents m_events;
};

PeerListener::PeerListener(asio::io_context &loop, PeerSocketEvents events, std::size_t maxFrameBytes)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(events), maxFrameBytes))
{
}

PeerListener::~PeerListener() = default;

std::string PeerListener::start(const std::string &address, int &port)
{
    return m_implementation->start(address, port);
}

void PeerListener::stop()
{
    m_implementation->stop();
}

class PeerConnector::Implementation
{
public:
    using Client = websocketpp::client<websocketpp::config::asio_client>;

    Implementation(asio::io_context &loop, std::size_t maxFrameBytes)
    {
        disableLogging(m_client);
        m_client.init_asio(&loop);
        m_client.set_max_message_size(maxFrameBytes);
        m_client.set_open_handshake_timeout(OpenHandshakeTimeoutMs);
        m_client.set_close_handshake_timeout(CloseHandshakeTimeoutMs);
        m_client.set_tcp_post_init_handler([this](const websocketpp::connection_hdl &handle) {
            websocketpp::lib::error_code error;
            const auto connection = m_client.get_con_from_hdl(handle, error);
            if (!error) {
                asio::error_code ignored;
                connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            }
        });
    }

    std::shared_ptr<PeerSocket> connect(const std::string &address, int port, const PeerSocketEvents &events)
    {
        const bool isIpv6 = address.find(':') != std::string::npos;
        const auto host = isIpv6 ? "[" + address + "]" : address;
        websocketpp::lib::error_code error;
        const auto connection = m_client.get_connection("ws://" + host + ":" + std::to_string(port) + "/peer", error);
        if (error) {
            return nullptr;
        }
        auto socket = attachEventHandlers<Client>(connection, events);
        m_client.connect(connection);
        return socket;
    }

private:
    Client m_client;
};

PeerConnector::PeerConnector(asio::io_context &loop, std::size_t maxFrameBytes)
    : m_implementation(std::make_unique<Implementation>(loop, maxFrameBytes))
{
}

PeerConnector::~PeerConnector() = default;

std::shared_ptr<PeerSocket> PeerConnector::connect(const std::string &address, int port, const PeerSocketEvents &events)
{
    return m_implementation->connect(address, port, events);
}

} // namespace Heatherridge
