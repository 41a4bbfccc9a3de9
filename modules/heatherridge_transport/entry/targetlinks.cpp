#include "heatherridge_transport/entry/targetlinks.h"

#include "heatherridge_transport/app/logger.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** A restarted target process is reconnected within a second; an unreachable host is retried about every two seconds.
 */
constexpr std::chrono::milliseconds FirstReconnectDelay{50};
constexpr int MaxDelayDoublings = 5;

std::chrono::milliseconds reconnectDelay(int failures)
{
    return FirstReconnectDelay * (1 << std::min(failures, MaxDelayDoublings));
}

} // namespace

TargetLinks::TargetLinks(EventLoop &loop, const FrameEncoder &encoder, Metrics &metrics, TargetLinkEvents events)
    : m_encoder(encoder)
    , m_events(std::move(events))
    , m_connector(loop.context(), MaxFrameBytes)
    , m_malformedFrames(metrics.errors(ErrorKind::MalformedFrame))
    , m_linksLost(metrics.counter("heatherridge_links_lost_total"))
{
}

void TargetLinks::setTargets(const std::map<TargetName, Endpoint> &endpoints)
{
    m_endpoints = endpoints;
    m_retiredCount = 0;
    for (auto &[name, link] : m_links) {
        const auto wanted = m_endpoints.find(name);
        link.isRetired = wanted == m_endpoints.end() || wanted->second != link.endpoint;
        m_retiredCount += link.isRetired ? 1 : 0;
    }
    closeRetired();
    addMissing();
}

void TargetLinks::tick(SteadyTime now)
{
    if (m_retiredCount > 0) {
        closeRetired();
        addMissing();
    }
    std::vector<TargetName> due;
    for (const auto &name : m_unconnected) {
        const auto &link = m_links.at(name);
        if (!link.isRetired && now >= link.reconnectAt) {
            due.push_back(name);
        }
    }
    for (const auto &name : due) {
        connect(name, m_links.at(name));
    }
}

bool TargetLinks::canClose(const TargetName &target, const Link &link) const
{
    return link.isRetired && (!link.isUp || !m_events.isBusy || !m_events.isBusy(target));
}

/** A target that is removed from the inventory, or from this entry's share of it, completes its running requests:
 * closing its link immediately would truncate answers and leave the outcome of calls that must not be repeated unknown.
 */
void TargetLinks::closeRetired()
{
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        if (!canClose(entry->first, entry->second)) {
            ++entry;
            continue;
        }
        const auto socket = entry->second.socket;
        m_unconnected.erase(entry->first);
        entry = m_links.erase(entry);
        --m_retiredCount;
        if (socket) {
            socket->close();
        }
    }
}

void TargetLinks::addMissing()
{
    for (const auto &[name, endpoint] : m_endpoints) {
        if (m_links.try_emplace(name, Link{.endpoint = endpoint}).second) {
            m_unconnected.insert(name);
        }
    }
}

void TargetLinks::connect(const TargetName &target, Link &link)
{
    const auto opened = [this, target](const std::shared_ptr<PeerSocket> &socket) {
        const auto entry = m_links.find(target);
        if (entry == m_links.end() || entry->second.socket != socket) {
            socket->close();
            return;
        }
        entry->second.isUp = true;
        entry->second.failures = 0;
        m_events.up(target);
    };
    const auto received = [this, target](const auto & /*socket*/, const Bytes &frame) { handleFrame(target, frame); };
    const auto closed = [this, target](const std::shared_ptr<PeerSocket> &socket) { handleClosed(target, socket); };
    m_unconnected.erase(target);
    link.socket = m_connector.connect(link.endpoint.address, link.endpoint.port, {opened, received, closed});
    if (!link.socket) { // no callback will follow
        link.reconnectAt = std::chrono::steady_clock::now() + reconnectDelay(link.failures++);
        m_unconnected.insert(target);
    }
}

void TargetLinks::handleFrame(const TargetName &target, const Bytes &frame)
{
    auto envelope = decodeEnvelope(frame);
    if (errorIn(envelope) != nullptr) {
        m_malformedFrames.add();
        return;
    }
    const auto &outer = std::get<Envelope>(envelope);
    if (outer.channel != Channel::Traffic) {
        m_events.control(target, outer);
        return;
    }
    auto message = decodeTrafficMessage(outer.payload);
    if (errorIn(message) != nullptr) {
        m_malformedFrames.add();
        return;
    }
    m_events.received(target, std::get<TrafficMessage>(std::move(message)));
}

void TargetLinks::handleClosed(const TargetName &target, const std::shared_ptr<PeerSocket> &socket)
{
    const auto entry = m_links.find(target);
    const bool isCurrent = entry != m_links.end() && entry->second.socket == socket;
    if (isCurrent) {
        auto &link = entry->second;
        link.socket.reset();
        link.isUp = false;
        link.reconnectAt = std::chrono::steady_clock::now() + reconnectDelay(link.failures++);
        m_unconnected.insert(target);
    }
    m_linksLost.add();
    logEvent(Severity::Debug, "link-down", {{"target", target.text()}});
    m_events.down(target);
}

bool TargetLinks::isWanted(const TargetName &target) const
{
    return m_endpoints.contains(target);
}

bool TargetLinks::isUp(const TargetName &target) const
{
    const auto entry = m_links.find(target);
    return entry != m_links.end() && entry->second.isUp;
}

bool TargetLinks::acceptsNewRequests(const TargetName &target) const
{
    const auto entry = m_links.find(target);
    return entry != m_links.end() && entry->second.isUp && !entry->second.isRetired;
}

bool TargetLinks::send(const TargetName &target, const TrafficMessage &message)
{
    return send(target, Channel::Traffic, encode(message));
}

bool TargetLinks::send(const TargetName &target, Channel channel, Bytes payload)
{
    const auto entry = m_links.find(target);
    if (entry == m_links.end() || !entry->second.isUp) {
        return false;
    }
    entry->second.socket->send(m_encoder.frame(channel, std::move(payload)));
    return true;
}

} // namespace Heatherridge
