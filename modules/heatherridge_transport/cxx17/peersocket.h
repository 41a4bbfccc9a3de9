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
 * One message connection to another process of this system (WebSocket, binary frames).
 *
 * This header names no websocketpp type and stays within C++17, because websocketpp 0.8.2 does not compile as C++20.
 * All methods must be called on the thread that runs the loop.
 */
class PeerSocket
{
public:
    virtual ~PeerSocket() = default;

    /** Sends one frame. Without effect once the connection is closed. */
    virtual void send(const std::vector<std::uint8_t> &frame) = 0;

    /** Bytes handed to send() that have not left yet. */
    virtual std::size_t bufferedBytes() const = 0;

    /** Closes the connection after what was sent before. The closed event still comes. */
    virtual void close() = 0;
};

/** What the owner of sockets is told; each event on the loop's thread. */
struct PeerSocketEvents
{
    std::function<void(const std::shared_ptr<PeerSocket> &)> opened;
    std::function<void(const std::shared_ptr<PeerSocket> &, const std::vector<std::uint8_t> &frame)> received;
    /** The connection is gone, or could not be made. Called once for each socket. */
    std::function<void(const std::shared_ptr<PeerSocket> &)> closed;
};

/** Accepts message connections. All methods on the loop's thread. */
class PeerListener
{
public:
    /** A listener on @p loop, which must outlive it. Frames above @p maxFrameBytes close their connection. */
    PeerListener(asio::io_context &loop, PeerSocketEvents events, std::size_t maxFrameBytes);
    ~PeerListener();

    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /**
     * Starts to listen at the IP number @p address.
     * @param port 0 lets the kernel choose; receives the port listened on
     * @returns an empty text, or why it could not
     */
    std::string start(const std::string &address, int &port);

    /** Stops accepting; open connections stay. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/** Opens message connections. All methods on the loop's thread. */
class PeerConnector
{
public:
    /** A connector on @p loop, which must outlive it. Frames above @p maxFrameBytes close their connection. */
    PeerConnector(asio::io_context &loop, std::size_t maxFrameBytes);
    ~PeerConnector();

    PeerConnector(const PeerConnector &) = delete;
    PeerConnector &operator=(const PeerConnector &) = delete;

    /** Connects to @p address and @p port; the outcome comes as an opened or a closed event. */
    std::shared_ptr<PeerSocket> connect(const std::string &address, int port, const PeerSocketEvents &events);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
