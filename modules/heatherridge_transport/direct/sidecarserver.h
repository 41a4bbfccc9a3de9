#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_transport/http/httpclient.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * The server of a sidecar: a process on the host of a model engine that reads the engine's state and forwards orders to
 * it, on behalf of remote keepers.
 *
 * Also adds up the demand that gateways state, and passes the newest rules on among them, if they choose it as the
 * exchange point of its zone. Persists nothing and makes no decisions. Uses one thread.
 */
class SidecarServer
{
public:
    struct Options
    {
        ProcessName process{};
        ZoneName zone{};
        Endpoint listen{}; ///< where keepers connect
        Endpoint engine{}; ///< on this host
        std::size_t maxConnections = 900; ///< of keepers and gateways; further ones read from the engine itself
        std::size_t maxHeldBytes = 32UL << 20U; ///< memory for calls, and as much for responses of the engine
    };

    /** Connections without a request are closed after this time: most gateways ask a sidecar of another zone less often
     * than that, so that the connections held do not grow with their number. */
    static constexpr std::chrono::milliseconds IdleTimeout{5'000};

    /** Creates the RankControl that reaches the engine. Called in the constructor. */
    using RankControlFactory = std::function<std::unique_ptr<RankControl>(HttpClient &client)>;

    SidecarServer(Options options, const RankControlFactory &makeRankControl);
    ~SidecarServer();

    SidecarServer(const SidecarServer &) = delete;
    SidecarServer &operator=(const SidecarServer &) = delete;

    /** Starts the server thread. @returns the endpoints listened on, or the error */
    Result<std::vector<Endpoint>> start();

    /** Waits for open exchanges to finish, then stops. */
    void drainAndStop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
