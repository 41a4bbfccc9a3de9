#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/app/configview.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/link/controllinks.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/** How a process gets its configuration, for the operator. */
struct ControlStatus
{
    /** One process that this one exchanges configuration with. */
    struct Peer
    {
        ProcessName process{};
        bool isSource = false; ///< this process gets records from it
        LogOffset offset{};
        std::chrono::milliseconds timeSinceLastMessage{};
    };

    std::string_view phase{};
    std::string_view log{}; ///< "following": reads it itself; "relayed": its sources do; "out": it does not answer
    std::optional<std::chrono::milliseconds> freshAge{}; ///< since nothing newer was known to exist
    LogOffset offset{};
    LogOffset inventoryOffset{};
    LogOffset rulesOffset{};
    Digest digest{};
    bool isCutOff = false; ///< records that it needs have expired: an operator must publish a reset
    std::uint64_t diverged = 0; ///< peers seen with another digest at the same offset
    std::vector<Peer> peers{};
    std::vector<TargetName> missingTargets{}; ///< named by rules, in no inventory
};

/**
 * The control thread of a process: follows the configuration and publishes what is in force.
 *
 * @see ConfigView, ConfigAgent
 */
class ControlPlane
{
public:
    struct Options
    {
        ProcessName process{};
        Incarnation incarnation{};
        ZoneName zone{};
        Endpoint logService{};
        Endpoint hostList{}; ///< where the platform's host list listens; port 0 when it is not used
        std::vector<Endpoint> peers{}; ///< gates that are asked for a state while there is no inventory
        std::chrono::milliseconds tickPeriod{20}; ///< how often due work is looked for
    };

    /** Called on the control thread with each new view. */
    using ViewListener = std::function<void(const std::shared_ptr<const ConfigView> &)>;

    /** Not started yet. @p metrics must outlive it. */
    ControlPlane(Options options, Metrics &metrics);
    ~ControlPlane();

    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Adds @p listener to those who are told of new views. Before start(). */
    void addListener(ViewListener listener);

    /** Starts the control thread. */
    void start();

    /** Stops the control thread and joins it. */
    void stop();

    /** The newest view; never null. Any thread. */
    std::shared_ptr<const ConfigView> view() const;

    /** Takes a control frame that a peer sent over a connection which it opened. Any thread, after start(). */
    void onIncomingFrame(IncomingControlLink connection, Envelope envelope);

    /** A connection that a peer opened is gone. Any thread, after start(). */
    void onIncomingClosed(const std::shared_ptr<PeerSocket> &socket);

    /** From now on the heartbeats tell that this process drains. Any thread. */
    void beginDrain();

    /** How the configuration comes here. Not from the control thread; after start(). */
    ControlStatus status();

    /** The control thread's loop. */
    EventLoop &loop();

    /** Who this process is. Any thread. */
    const Options &options() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
