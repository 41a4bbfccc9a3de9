#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What each client of a crowd does. */
struct CrowdBehaviour
{
    const char *name; ///< of the test case
    int connections = 64;
    std::string opening{}; ///< is sent first on each connection
    std::string repeated{}; ///< is sent again and again after it
    std::size_t repeatedBytes = 0; ///< at most, on one connection
    int reconnects = 0; ///< connections that each client opens after the first one, each when the last was closed
};

/** Prints the name of the row when its test fails. */
std::ostream &operator<<(std::ostream &stream, const CrowdBehaviour &behaviour);

/**
 * Many clients of one process that never read an answer.
 *
 * They keep their connections until the crowd is destroyed, unless the process closes them. Used on one thread.
 */
class Crowd
{
public:
    Crowd(Endpoint endpoint, const CrowdBehaviour &behaviour);
    ~Crowd();

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** Sends until everything is sent or no more is taken. Calls @p progress again and again meanwhile. */
    void press(const std::function<void()> &progress);

private:
    struct Client
    {
        int socket = -1;
        std::size_t sent = 0;
        int reconnects = 0;
    };

    void connect(Client &client) const;
    /** Sends what the connection takes. @returns whether it took anything */
    bool send(Client &client) const;
    bool hasMore(const Client &client) const;

    Endpoint m_endpoint;
    const CrowdBehaviour &m_behaviour;
    std::vector<Client> m_clients;
};

} // namespace Heatherridge
