#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_transport/http/httpclient.h"

#include <functional>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * The whole of a sidecar: the process beside a model engine that reads it and hands it orders for keepers elsewhere.
 *
 * It keeps nothing and decides nothing. One thread.
 */
class SidecarServer
{
public:
    struct Options
    {
        ProcessName process{};
        Endpoint listen{}; ///< for keepers
        Endpoint engine{}; ///< on this host
    };

    /** Makes what reaches the engine. Called on construction. */
    using RankControlFactory = std::function<std::unique_ptr<RankControl>(HttpClient &client)>;

    SidecarServer(Options options, const RankControlFactory &makeRankControl);
    ~SidecarServer();

    SidecarServer(const SidecarServer &) = delete;
    SidecarServer &operator=(const SidecarServer &) = delete;

    /** Starts its thread. @returns where it serves, or why not */
    Result<std::vector<Endpoint>> start();

    /** Answers what is open and ends. */
    void drainAndStop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
