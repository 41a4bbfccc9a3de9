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

/** Status of a process's configuration replication, for the operator. */
struct ControlStatus
{
    /** A process that this one exchanges configuration with. */
    struct Peer
    {
        ProcessName process{};
        bool isSource = false; ///< this process receives records from it
        LogOffset offset{};
        std::chrono::milliseconds timeSinceLastMessage{};
    };

    std::string_view phase{};
    std::string_view
        log{}; ///< "following": this process reads the log; "relayed": its sources do; "out": the log does not answer
    std::optional<std::chrono::milliseconds> freshAge{}; ///< time since this process was known to be up to date
    LogOffset offset{};
    LogOffset inventoryOffset{};
    LogOffset rulesOffset{};
    Digest digest{};
    bool isCutOff = false; ///< records that this process needs have expired: an operator must publish a reset
    std::uint64_t diverged = 0; ///< peers found with a different digest at the same offset
    std::vector<Peer> peers{};
    std::vector<TargetName> missingTargets{}; ///< named in the rules but not in the inventory
};

/**
 * The control thread of a process: follows the configuration log and publishes the configuration in force.
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
        Endpoint hostList{}; ///< address of the platform's host list; port 0 if it is not used
        std::vector<Endpoint> peers{}; ///< gates to request the state from while there is no inventory
        std::chrono::milliseconds tickPeriod{20}; ///< interval between checks for due work
    };

    /** Called on the control thread with each new view. */
    using ViewListener = std::function<void(const std::shared_ptr<const ConfigView> &)>;

    /** Creates a control plane that is not started yet. @p metrics must outlive it. */
    ControlPlane(Options options, Metrics &metrics);
    ~ControlPlane();

    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Adds @p listener, to be called with each new view. Call before start(). */
    void addListener(ViewListener listener);

    /** Starts the control thread. */
    void start();

    /** Stops the control thread and joins it. */
    void stop();

    /** Returns the current view; never null. May be called from any thread. */
    std::shared_ptr<const ConfigView> view() const;

    /** Handles a control frame received on a connection that a peer opened. May be called from any thread after
     * start(). */
    void onIncomingFrame(IncomingControlLink connection, Envelope envelope);

    /** Called when a connection that a peer opened has closed. May be called from any thread after start(). */
    void onIncomingClosed(const std::shared_ptr<PeerSocket> &socket);

    /** Announces in all further heartbeats that this process is draining. May be called from any thread. */
    void beginDrain();

    /** Returns the replication status. Call after start(); must not be called on the control thread. */
    ControlStatus status();

    /** Returns the control thread's event loop. */
    EventLoop &loop();

    /** Returns the options, which identify this process. May be called from any thread. */
    const Options &options() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
