#include "heatherridge_transport/cxx17/peersocket.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

using Frame = std::vector<std::uint8_t>;

constexpr std::size_t FrameLimitBytes = 1000;

TEST(PeerSocket, EchoesFramesUnalteredAndInOrder)
{
    constexpr int frameCount = 50;
    asio::io_context loop;
    std::vector<Frame> echoed;
    PeerListener listener(
        loop,
        {[](const auto &) {}, [](const auto &socket, const Frame &frame) { socket->send(frame); }, [](const auto &) {}},
        FrameLimitBytes);
    int port = 0;
    ASSERT_EQ(listener.start("127.0.0.1", port), "");
    PeerConnector connector(loop, FrameLimitBytes);
    const auto sendFrames = [](const std::shared_ptr<PeerSocket> &socket) {
        for (int i = 0; i < frameCount; ++i) {
            socket->send(Frame(static_cast<std::size_t>(i + 1), static_cast<std::uint8_t>(i)));
        }
    };
    const auto collectEcho = [&](const std::shared_ptr<PeerSocket> &socket, const Frame &frame) {
        echoed.push_back(frame);
        if (echoed.size() == frameCount) {
            socket->close();
            listener.stop();
        }
    };
    connector.connect("127.0.0.1", port, {sendFrames, collectEcho, [](const auto &) {}});
    loop.run();
    ASSERT_EQ(echoed.size(), frameCount);
    for (int i = 0; i < frameCount; ++i) {
        EXPECT_EQ(echoed[static_cast<std::size_t>(i)],
                  Frame(static_cast<std::size_t>(i + 1), static_cast<std::uint8_t>(i)));
    }
}

// A faulty or malicious process sends a frame above the limit. Its connection is closed and the listener continues, so
// that one bad peer neither exhausts memory nor affects others.
TEST(PeerSocket, ClosesOnlyTheConnectionWithAnOversizedFrame)
{
    asio::io_context loop;
    int received = 0;
    int closed = 0;
    PeerListener listener(loop,
                          {[](const auto &) {}, [&](const auto &, const Frame &) { ++received; }, [](const auto &) {}},
                          FrameLimitBytes);
    int port = 0;
    ASSERT_EQ(listener.start("127.0.0.1", port), "");
    PeerConnector connector(loop, FrameLimitBytes);
    const auto sendOversizedFrame = [](const std::shared_ptr<PeerSocket> &socket) {
        socket->send(Frame(FrameLimitBytes + 1));
    };
    const auto sendLargestFrame = [](const std::shared_ptr<PeerSocket> &socket) {
        socket->send(Frame(FrameLimitBytes));
        socket->close();
    };
    const auto reconnect = [&](const auto &) {
        ++closed;
        connector.connect(
            "127.0.0.1", port,
            {sendLargestFrame, [](const auto &, const Frame &) {}, [&](const auto &) { listener.stop(); }});
    };
    connector.connect("127.0.0.1", port, {sendOversizedFrame, [](const auto &, const Frame &) {}, reconnect});
    loop.run();
    EXPECT_EQ(received, 1);
    EXPECT_EQ(closed, 1);
}

} // namespace
