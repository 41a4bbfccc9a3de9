#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/app/configview.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/**
 * The control thread of a process: follows the configuration and publishes what is in force.
 *
 * @see ConfigView, LogFollower
 */
class ControlPlane
{
public:
    struct Options
    {
        ProcessName process{};
        Incarnation incarnation{};
        Endpoint logService{};
        std::chrono::milliseconds tick{20}; ///< how often due work is looked for
    };

    /** Called on the control thread with each new view. */
    using Changed = std::function<void(const std::shared_ptr<const ConfigView> &)>;

    /** Not started yet. @p metrics must outlive it. */
    ControlPlane(Options options, Metrics &metrics);
    ~ControlPlane();

    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Adds @p changed to those who are told of new views. Before start(). */
    void addListener(Changed changed);

    /** Starts the control thread. */
    void start();

    /** Stops the control thread and joins it. */
    void stop();

    /** The newest view; never null. Any thread. */
    std::shared_ptr<const ConfigView> view() const;

    /** The control thread's loop. */
    EventLoop &loop();

    /** Who this process is. Any thread. */
    const Options &options() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
