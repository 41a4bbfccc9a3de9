#include "gatewayclient.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

/** A connection of a client to a gateway. */
class ClientConnection
{
public:
    explicit ClientConnection(const Endpoint &gateway)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval limit{.tv_sec = 1, .tv_usec = 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(gateway.port))};
        ::inet_pton(AF_INET, gateway.address.c_str(), &address.sin_addr);
        m_isUsable = ::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    }

    ~ClientConnection()
    {
        ::close(m_socket);
    }

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    bool send(const std::string &bytes)
    {
        m_isUsable = m_isUsable && ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
        return m_isUsable;
    }

    /** Receives a part of what has arrived; empty if the connection cannot be used further. */
    std::string receive()
    {
        char bytes[4096];
        const auto size = m_isUsable ? ::recv(m_socket, bytes, sizeof bytes, 0) : 0;
        m_isUsable = size > 0;
        return {bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

    void resetOnClose() const
    {
        const linger reset{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

private:
    int m_socket;
    bool m_isUsable = false;
};

} // namespace

void useGateway(const Endpoint &gateway, unsigned seed, const std::atomic<bool> &isOver, std::atomic<int> &answered)
{
    Random random(seed);
    const char *const prefixes[] = {"/look/", "/book/", "/tour/"};
    while (!isOver) {
        ClientConnection connection(gateway);
        const bool isReset = draw(random, 4) == 0;
        if (isReset) {
            connection.resetOnClose();
        }
        for (int requests = 1 + draw(random, 20); requests > 0 && !isOver; --requests) {
            const std::string body(static_cast<std::size_t>(draw(random, 10) == 0 ? 300'000 : 2), 'b');
            const auto request = "POST " + std::string(prefixes[draw(random, 3)]) + std::to_string(draw(random, 30))
                + " HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: r" + std::to_string(random())
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const bool isCut = isReset && requests == 1;
            if (!connection.send(isCut ? request.substr(0, request.size() / 2) : request) || isCut) {
                break;
            }
            const auto response = connection.receive();
            answered += response.starts_with("HTTP/1.1 200") ? 1 : 0;
            if (response.empty()) {
                break;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace Heatherridge
