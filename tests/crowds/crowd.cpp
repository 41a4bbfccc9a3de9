#include "crowds/crowd.h"

#include <cerrno>
#include <chrono>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

using namespace std::chrono_literals;

/** Without progress for this long, the process takes no more. */
constexpr std::chrono::milliseconds QuietTime{700};
/** A crowd that is still served after this long has pressed enough. */
constexpr std::chrono::seconds LongestTime{10};

} // namespace

std::ostream &operator<<(std::ostream &stream, const CrowdBehaviour &behaviour)
{
    return stream << behaviour.name;
}

Crowd::Crowd(Endpoint endpoint, const CrowdBehaviour &behaviour)
    : m_endpoint(std::move(endpoint))
    , m_behaviour(behaviour)
    , m_clients(static_cast<std::size_t>(behaviour.connections))
{
}

Crowd::~Crowd()
{
    for (const auto &client : m_clients) {
        if (client.socket >= 0) {
            ::close(client.socket);
        }
    }
}

void Crowd::press(const std::function<void()> &progress)
{
    const auto end = std::chrono::steady_clock::now() + LongestTime;
    auto quietSince = std::chrono::steady_clock::now();
    for (auto &client : m_clients) {
        connect(client);
    }
    while (std::chrono::steady_clock::now() < end && std::chrono::steady_clock::now() - quietSince < QuietTime) {
        bool hasProgress = false;
        for (auto &client : m_clients) {
            hasProgress = send(client) || hasProgress;
        }
        progress();
        if (hasProgress) {
            quietSince = std::chrono::steady_clock::now();
        } else {
            std::this_thread::sleep_for(10ms);
        }
    }
}

void Crowd::connect(Client &client) const
{
    client.sent = 0;
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(static_cast<std::uint16_t>(m_endpoint.port))};
    ::inet_pton(AF_INET, m_endpoint.address.c_str(), &address.sin_addr);
    const int result = ::connect(client.socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(client.socket);
        client.socket = -1;
    }
}

bool Crowd::send(Client &client) const
{
    if (client.socket < 0 || !hasMore(client)) {
        return false;
    }
    const auto &[bytes, skipped] = client.sent < m_behaviour.opening.size()
        ? std::pair<const std::string &, std::size_t>(m_behaviour.opening, client.sent)
        : std::pair<const std::string &, std::size_t>(
            m_behaviour.repeated, (client.sent - m_behaviour.opening.size()) % m_behaviour.repeated.size());
    const auto size = ::send(client.socket, bytes.data() + skipped, bytes.size() - skipped, MSG_NOSIGNAL);
    if (size >= 0) {
        client.sent += static_cast<std::size_t>(size);
        return true;
    }
    if (errno == EAGAIN || errno == ENOTCONN) {
        return false;
    }
    ::close(client.socket);
    client.socket = -1;
    if (client.reconnects == m_behaviour.reconnects) {
        return false;
    }
    ++client.reconnects;
    connect(client);
    return true;
}

bool Crowd::hasMore(const Client &client) const
{
    return client.sent < m_behaviour.opening.size() + m_behaviour.repeatedBytes;
}

} // namespace Heatherridge
