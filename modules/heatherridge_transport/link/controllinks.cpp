#include "heatherridge_transport/link/controllinks.h"

namespace Heatherridge
{

namespace
{

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

ControlLinks::ControlLinks(EventLoop &loop, const FrameEncoder &encoder)
    : m_encoder(encoder)
    , m_connector(loop.context(), MaxFrameBytes)
{
}

void ControlLinks::setRelay(ConfigRelay *relay)
{
    m_relay = relay;
}

void ControlLinks::connect(const ProcessName &process, const Endpoint &endpoint)
{
    auto &link = m_outgoing[process];
    link.isUp = false;
    link.socket =
        m_connector.connect(endpoint.address, endpoint.port,
                            {.opened = [this, process](const auto &socket) { onOpened(process, socket.get()); },
                             .received =
                                 [this, process](const auto & /*socket*/, const Bytes &frame) {
                                     const auto envelope = decodeEnvelope(frame);
                                     const auto *decoded = std::get_if<Envelope>(&envelope);
                                     if (decoded == nullptr) {
                                         ++m_malformedFrames;
                                     } else if (decoded->channel == Channel::Control) {
                                         dispatchFrame(process, *decoded);
                                     }
                                 },
                             .closed = [this, process](const auto &socket) { onClosed(process, socket.get()); }});
}

void ControlLinks::onOpened(const ProcessName &process, const PeerSocket *socket)
{
    const auto link = m_outgoing.find(process);
    if (link == m_outgoing.end() || link->second.socket.get() != socket) {
        return; // replaced or disconnected in the meantime
    }
    link->second.isUp = true;
    if (!m_relay->linkUp(process, LinkDirection::Outgoing, now())) {
        disconnect(process);
    }
}

void ControlLinks::onClosed(const ProcessName &process, const PeerSocket *socket)
{
    const auto link = m_outgoing.find(process);
    if (link == m_outgoing.end() || link->second.socket.get() != socket) {
        return;
    }
    m_outgoing.erase(link);
    m_relay->linkDown(process, LinkDirection::Outgoing, now());
}

void ControlLinks::disconnect(const ProcessName &process)
{
    auto link = m_outgoing.extract(process);
    if (!link.empty() && link.mapped().socket) {
        link.mapped().socket->close();
    }
}

void ControlLinks::send(const ProcessName &process, const ControlMessage &message)
{
    auto frame = m_encoder.frame(Channel::Control, encodeControlMessage(message));
    if (const auto link = m_outgoing.find(process); link != m_outgoing.end() && link->second.isUp) {
        link->second.socket->send(frame);
    } else if (const auto peer = m_incoming.find(process); peer != m_incoming.end()) {
        peer->second.send(std::move(frame));
    }
}

void ControlLinks::onIncomingFrame(const IncomingControlLink &connection, const Envelope &envelope)
{
    const auto known = m_incoming.find(envelope.sender);
    if (known == m_incoming.end() || known->second.socket != connection.socket) {
        if (!m_relay->linkUp(envelope.sender, LinkDirection::Incoming, now())) {
            return; // without an answer, the peer considers this process silent and connects to another one
        }
        m_incoming[envelope.sender] = connection;
    }
    dispatchFrame(envelope.sender, envelope);
}

void ControlLinks::onIncomingClosed(const PeerSocket *socket)
{
    for (auto peer = m_incoming.begin(); peer != m_incoming.end(); ++peer) {
        if (peer->second.socket.get() == socket) {
            const auto process = peer->first;
            m_incoming.erase(peer);
            m_relay->linkDown(process, LinkDirection::Incoming, now());
            return;
        }
    }
}

void ControlLinks::dispatchFrame(const ProcessName &from, const Envelope &envelope)
{
    const auto message = decodeControlMessage(envelope.payload);
    if (const auto *typed = std::get_if<ControlMessage>(&message)) {
        m_relay->receive(from, envelope, *typed, now());
    } else {
        ++m_malformedFrames;
    }
}

std::uint64_t ControlLinks::malformedFrames() const
{
    return m_malformedFrames;
}

void ControlLinks::close()
{
    auto links = std::move(m_outgoing);
    m_outgoing.clear();
    for (auto &[process, link] : links) {
        link.socket->close();
    }
}

} // namespace Heatherridge
