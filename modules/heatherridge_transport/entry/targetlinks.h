#pragma once

#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/cxx17/peersocket.h"
#include "heatherridge_transport/link/frameencoder.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Heatherridge
{

/** What the owner of the links is told; on the loop's thread. */
struct TargetLinkEvents
{
    std::function<void(const TargetName &target, TrafficMessage message)> received{};
    std::function<void(const TargetName &target, const Envelope &envelope)> control{}; ///< frames of other channels
    std::function<void(const TargetName &target)> up{};
    std::function<void(const TargetName &target)> down{}; ///< whatever was sent and not answered is in doubt
    /** Whether something is open on the link to a target that is no longer wanted; without it, nothing ever is. */
    std::function<bool(const TargetName &target)> isBusy{};
};

/**
 * The connections of one traffic thread to the processes beside the targets.
 *
 * Keeps one connection to each target of the inventory, connects again after a pause when one is lost, and drops those
 * that the inventory no longer has once nothing is open on them. All methods on the loop's thread.
 */
class TargetLinks
{
public:
    /** Links on @p loop; @p encoder and @p metrics must outlive them. */
    TargetLinks(EventLoop &loop, const FrameEncoder &encoder, Metrics &metrics, TargetLinkEvents events);

    /**
     * Connects to the targets of @p endpoints that have no link yet, and retires links to all others: nothing new goes
     * over a retired link, and it is closed once nothing is open on it.
     */
    void setTargets(const std::map<TargetName, Endpoint> &endpoints);

    /** Connects again where the pause is over, and closes retired links that are done. Called every few milliseconds.
     */
    void tick(SteadyTime now);

    /** Whether a link to @p target is kept, connected or not. */
    bool isWanted(const TargetName &target) const;

    /** Whether @p target is connected. */
    bool isUp(const TargetName &target) const;

    /** Whether @p target is connected and may be sent something new. */
    bool acceptsNewRequests(const TargetName &target) const;

    /** Sends @p message; false when @p target is not connected, and then nothing was sent. */
    bool send(const TargetName &target, const TrafficMessage &message);

    /** Sends @p payload on @p channel; false when @p target is not connected. */
    bool send(const TargetName &target, Channel channel, Bytes payload);

private:
    struct Link
    {
        Endpoint endpoint{};
        std::shared_ptr<PeerSocket> socket{};
        bool isUp = false;
        bool isRetired = false; ///< no longer wanted; lives on for what is open on it
        int failures = 0;
        SteadyTime reconnectAt{};
    };

    bool canClose(const TargetName &target, const Link &link) const;
    void closeRetired();
    void addMissing();
    void connect(const TargetName &target, Link &link);
    void handleFrame(const TargetName &target, const Bytes &frame);
    void handleClosed(const TargetName &target, const std::shared_ptr<PeerSocket> &socket);

    const FrameEncoder &m_encoder;
    TargetLinkEvents m_events;
    PeerConnector m_connector;
    std::map<TargetName, Endpoint> m_endpoints;
    std::map<TargetName, Link> m_links;
    std::set<TargetName> m_unconnected; ///< links without a socket, which alone need looking after
    std::size_t m_retiredCount = 0;
    Counter &m_malformedFrames;
    Counter &m_linksLost;
};

} // namespace Heatherridge
