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

/** Callbacks to the owner of the links; called on the loop's thread. */
struct TargetLinkEvents
{
    std::function<void(const TargetName &target, TrafficMessage message)> received{};
    std::function<void(const TargetName &target, const Envelope &envelope)> control{}; ///< frames of other channels
    std::function<void(const TargetName &target)> up{};
    std::function<void(const TargetName &target)> down{}; ///< the outcome of anything sent but not answered is unknown
    /** Returns whether requests are still open on the link to a target that was removed. If not set, a link counts as
     * idle. */
    std::function<bool(const TargetName &target)> isBusy{};
};

/**
 * The connections of one thread to the processes beside the targets.
 *
 * Keeps one connection to each given target, reconnects after a delay when one is lost, and closes connections to
 * removed targets once no request is open on them. All methods must be called on the loop's thread.
 */
class TargetLinks
{
public:
    /** Creates links on @p loop. @p loop, @p encoder and @p metrics must outlive them. */
    TargetLinks(EventLoop &loop, const FrameEncoder &encoder, Metrics &metrics, TargetLinkEvents events);

    /**
     * Sets the targets to connect to. Adds links to targets of @p endpoints that have none, and retires the links to
     * all others: a retired link accepts no new requests and is closed once no request is open on it.
     */
    void setTargets(const std::map<TargetName, Endpoint> &endpoints);

    /** Reconnects links whose delay has elapsed and closes retired links that are idle. Must be called every few
     * milliseconds.
     */
    void tick(SteadyTime now);

    /** Returns whether a link to @p target is maintained, connected or not. */
    bool isWanted(const TargetName &target) const;

    /** Returns whether @p target is connected. */
    bool isUp(const TargetName &target) const;

    /** Returns whether @p target is connected and its link is not retired. */
    bool acceptsNewRequests(const TargetName &target) const;

    /** Sends @p message. @returns false if @p target is not connected; then nothing was sent */
    bool send(const TargetName &target, const TrafficMessage &message);

    /** Sends @p payload on @p channel. @returns false if @p target is not connected */
    bool send(const TargetName &target, Channel channel, Bytes payload);

private:
    struct Link
    {
        Endpoint endpoint{};
        std::shared_ptr<PeerSocket> socket{};
        bool isUp = false;
        bool isRetired = false; ///< target removed or moved; kept until its open requests have ended
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
    std::set<TargetName> m_unconnected; ///< links without a socket; tick() checks only these
    std::size_t m_retiredCount = 0;
    Counter &m_malformedFrames;
    Counter &m_linksLost;
};

} // namespace Heatherridge
