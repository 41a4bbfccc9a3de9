#include "heatherridge_transport/direct/targetconnectionpool.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace Heatherridge;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace
{

constexpr std::string_view WholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** The peer of pooled connections, whose actions are not visible to the pool's loop before it runs again. */
class Peer
{
public:
    Peer()
        : m_acceptor(m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_socket(m_loop)
    {
    }

    TargetEntry entry() const
    {
        return {.id = TargetName("t"), .address = {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()}};
    }

    void accept()
    {
        m_acceptor.accept(m_socket);
    }

    void send(std::string_view bytes)
    {
        asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()));
    }

    void shutDown()
    {
        m_socket.shutdown(tcp::socket::shutdown_send);
    }

    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    /** Waits until the other side's kernel has acknowledged all that was sent. */
    void awaitDelivery()
    {
        constexpr int maxTries = 5'000;
        for (int tries = 0; m_socket.is_open() && tries < maxTries; ++tries) {
            tcp_info info{};
            socklen_t size = sizeof(info);
            ::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
            if (info.tcpi_unacked == 0) {
                return;
            }
            std::this_thread::sleep_for(1ms);
        }
    }

private:
    asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
};

struct IdleConnectionCase
{
    const char *name;
    void (*act)(Peer &peer); ///< while the loop does not run
    bool isReused;
    bool actsAtCompletion = false; ///< before the connection waits for input again, not after
};

const IdleConnectionCase IdleConnectionCases[] = {
    {"Quiet", [](Peer &) {}, true},
    {"SurplusBytes", [](Peer &peer) { peer.send(WholeResponse); }, false},
    {"Closed", [](Peer &peer) { peer.shutDown(); }, false},
    {"Reset", [](Peer &peer) { peer.reset(); }, false},
    {"SurplusBytesAtCompletion", [](Peer &peer) { peer.send(WholeResponse); }, false, true},
    {"ClosedAtCompletion", [](Peer &peer) { peer.shutDown(); }, false, true},
    {"ResetAtCompletion", [](Peer &peer) { peer.reset(); }, false, true},
};

class IdleConnections : public testing::TestWithParam<IdleConnectionCase>
{
};

// Guards against a request that is sent on a connection whose end or surplus bytes have arrived but were not read yet:
// its attempt would fail, and a booking with it.
TEST_P(IdleConnections, AreNotReusedWithUnreadInput)
{
    asio::io_context loop;
    Metrics metrics;
    TargetConnectionPool pool(loop, metrics);
    Peer peer;
    UsedConnections first;
    auto connection = pool.acquire(peer.entry(), first);
    const auto act = [&peer] {
        GetParam().act(peer);
        peer.awaitDelivery();
    };
    bool isComplete = false;
    connection->exchange({.head = "GET / HTTP/1.1\r\n\r\n"}, 5s, {.complete = [&] {
                             isComplete = true;
                             if (GetParam().actsAtCompletion) {
                                 act();
                             }
                             loop.stop();
                         }});
    loop.run_one(); // connects
    peer.accept();
    peer.send(WholeResponse);
    loop.run_for(10s);
    ASSERT_TRUE(isComplete);
    pool.release(peer.entry().id, connection, {});

    if (!GetParam().actsAtCompletion) {
        act();
    }
    UsedConnections second;
    EXPECT_EQ(pool.acquire(peer.entry(), second) == connection, GetParam().isReused);
}

INSTANTIATE_TEST_SUITE_P(All, IdleConnections, testing::ValuesIn(IdleConnectionCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
