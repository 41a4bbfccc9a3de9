#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_transport/app/configview.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/metrics.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace Heatherridge
{

/**
 * The part of a target's process that manages one rank of a lock-step group.
 *
 * Runs the rank's gate and, while this process is the leader, the group's leader on the control loop: sends their
 * messages to the other ranks' processes, their orders to the engine over HTTP, and their records to the stream
 * `group-<group>`. Does nothing for a target that the inventory lists in no group. All decisions are made by RankGate,
 * GroupLeader and GroupPlanner.
 */
class GroupAgent
{
public:
    struct Options
    {
        TargetName target{};
        Incarnation run{};
        Endpoint logService{};
        std::chrono::milliseconds tick{1000};
    };

    /** Creates an agent that runs on @p loop after start(). @p loop must outlive it. */
    GroupAgent(Options options, EventLoop &loop, Metrics &metrics);
    ~GroupAgent();

    GroupAgent(const GroupAgent &) = delete;
    GroupAgent &operator=(const GroupAgent &) = delete;

    /** Starts the agent. The loop must be running. */
    void start();

    /** Stops the agent. The loop must still be running. Must not be called on the loop's thread. */
    void stop();

    /** Called when a new configuration takes effect. Must be called on the loop's thread; may be called before start().
     */
    void setView(const std::shared_ptr<const ConfigView> &view);

    /** Processes a frame of Channel::Group. May be called from any thread. */
    void receive(const Envelope &envelope);

    /** Returns the group, epoch, map and step and whether this process leads, for the operator; null if the target is
     * in no group. Must not be called on the loop's thread. */
    nlohmann::ordered_json status();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
    EventLoop &m_loop;
};

} // namespace Heatherridge
