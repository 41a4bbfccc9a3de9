#include "heatherridge_transport/cxx17/peersocket.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

using Frame = std::vector<std::uint8_t>;

constexpr std::size_t FrameLimit = 1000;

TEST(PeerSocket, FramesArriveWholeInOrderAndBothWays)
{
    constexpr int count = 50;
    asio::io_context loop;
    std::vector<Frame> echoed;
    PeerListener listener(
        loop,
        {[](const auto &) {}, [](const auto &socket, const Frame &frame) { socket->send(frame); }, [](const auto &) {}},
        FrameLimit);
    int port = 0;
    ASSERT_EQ(listener.start("127.0.0.1", port), "");
    PeerConnector connector(loop, FrameLimit);
    const auto sendAll = [](const std::shared_ptr<PeerSocket> &socket) {
        for (int i = 0; i < count; ++i) {
            socket->send(Frame(static_cast<std::size_t>(i + 1), static_cast<std::uint8_t>(i)));
        }
    };
    const auto collect = [&](const std::shared_ptr<PeerSocket> &socket, const Frame &frame) {
        echoed.push_back(frame);
        if (echoed.size() == count) {
            socket->close();
            listener.stop();
        }
    };
    connector.connect("127.0.0.1", port, {sendAll, collect, [](const auto &) {}});
    loop.run();
    ASSERT_EQ(echoed.size(), count);
    for (int i = 0; i < count; ++i) {
        EXPECT_EQ(echoed[static_cast<std::size_t>(i)],
                  Frame(static_cast<std::size_t>(i + 1), static_cast<std::uint8_t>(i)));
    }
}

// A process sends a frame beyond the bound, by fault or malice. The connection closes; the listener goes on, so that
// one bad peer takes no memory and harms no other.
TEST(PeerSocket, AnOversizedFrameClosesItsConnectionAlone)
{
    asio::io_context loop;
    int received = 0;
    int closed = 0;
    PeerListener listener(
        loop, {[](const auto &) {}, [&](const auto &, const Frame &) { ++received; }, [](const auto &) {}}, FrameLimit);
    int port = 0;
    ASSERT_EQ(listener.start("127.0.0.1", port), "");
    PeerConnector connector(loop, FrameLimit);
    const auto hostile = [](const std::shared_ptr<PeerSocket> &socket) { socket->send(Frame(FrameLimit + 1)); };
    const auto honest = [](const std::shared_ptr<PeerSocket> &socket) {
        socket->send(Frame(FrameLimit));
        socket->close();
    };
    const auto goOn = [&](const auto &) {
        ++closed;
        connector.connect("127.0.0.1", port,
                          {honest, [](const auto &, const Frame &) {}, [&](const auto &) { listener.stop(); }});
    };
    connector.connect("127.0.0.1", port, {hostile, [](const auto &, const Frame &) {}, goOn});
    loop.run();
    EXPECT_EQ(received, 1);
    EXPECT_EQ(closed, 1);
}

} // namespace
