#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio
{
class io_context;
}

namespace Heatherridge
{

/**
 * A message connection to another process of this system (WebSocket, binary frames).
 *
 * This header uses no websocketpp type and only C++17, because websocketpp 0.8.2 does not compile as C++20. All methods
 * must be called on the thread that runs the loop.
 */
class PeerSocket
{
public:
    virtual ~PeerSocket() = default;

    /** Sends one frame. Has no effect after the connection is closed. */
    virtual void send(const std::vector<std::uint8_t> &frame) = 0;

    /** Returns the number of bytes passed to send() that are not yet transmitted. */
    virtual std::size_t bufferedBytes() const = 0;

    /** Closes the connection after the frames sent so far. The closed event still follows. */
    virtual void close() = 0;
};

/** Events of sockets, delivered on the loop's thread. */
struct PeerSocketEvents
{
    std::function<void(const std::shared_ptr<PeerSocket> &)> opened;
    std::function<void(const std::shared_ptr<PeerSocket> &, const std::vector<std::uint8_t> &frame)> received;
    /** The connection was closed or could not be established. Called once for each socket. */
    std::function<void(const std::shared_ptr<PeerSocket> &)> closed;
};

/** Accepts message connections. All methods run on the loop's thread. */
class PeerListener
{
public:
    /** Creates a listener on @p loop, which must outlive it. Frames above @p maxFrameBytes close their connection. */
    PeerListener(asio::io_context &loop, PeerSocketEvents events, std::size_t maxFrameBytes);
    ~PeerListener();

    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /**
     * Starts listening on the IP address @p address.
     * @param port 0 lets the kernel choose a port; set to the port listened on
     * @returns an empty string, or an error message
     */
    std::string start(const std::string &address, int &port);

    /** Stops accepting connections; existing ones stay open. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/** Opens message connections. All methods run on the loop's thread. */
class PeerConnector
{
public:
    /** Creates a connector on @p loop, which must outlive it. Frames above @p maxFrameBytes close their connection. */
    PeerConnector(asio::io_context &loop, std::size_t maxFrameBytes);
    ~PeerConnector();

    PeerConnector(const PeerConnector &) = delete;
    PeerConnector &operator=(const PeerConnector &) = delete;

    /** Connects to @p address and @p port. An opened or closed event reports the outcome. */
    std::shared_ptr<PeerSocket> connect(const std::string &address, int port, const PeerSocketEvents &events);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
