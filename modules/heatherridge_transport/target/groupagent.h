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
 * The part of a target's process that stands in front of one rank of a lock-step group.
 *
 * Runs the rank's gate and, while it holds the role, the group's leader, on the control loop: carries their messages to
 * the other ranks' processes, their orders to the engine over HTTP, their records to the stream `group-<group>`. Does
 * nothing for a target that the inventory lists in no group. Decisions are RankGate's, GroupLeader's and
 * GroupPlanner's.
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

    /** Works on @p loop, which must outlive it, after start(). */
    GroupAgent(Options options, EventLoop &loop, Metrics &metrics);
    ~GroupAgent();

    GroupAgent(const GroupAgent &) = delete;
    GroupAgent &operator=(const GroupAgent &) = delete;

    /** Begins; the loop must be running. */
    void start();

    /** Ends; the loop must still be running. Not from the loop's thread. */
    void stop();

    /** A new configuration is in force. On the loop's thread, also before start(). */
    void setView(const std::shared_ptr<const ConfigView> &view);

    /** Takes a frame of Channel::Group. Any thread. */
    void receive(const Envelope &envelope);

    /** Group, epoch, map, step and who leads, for the operator; null when in no group. Not from the loop's thread. */
    nlohmann::ordered_json status();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
    EventLoop &m_loop;
};

} // namespace Heatherridge
