#pragma once

#include "heatherridge_coordination/config/configrelay.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/cxx17/peersocket.h"
#include "heatherridge_transport/link/frameencoder.h"

#include <functional>
#include <map>
#include <memory>

namespace Heatherridge
{

/** A connection that a peer opened to this process. Owned by another thread. */
struct IncomingControlLink
{
    std::shared_ptr<PeerSocket> socket{}; ///< identifies the connection; not used on the control thread
    std::function<void(Bytes)> send{}; ///< sends one frame; any thread
};

/**
 * The connections of the configuration relay, on the control thread.
 *
 * Opens connections to the gates that the relay selects. Connections opened by peers arrive at the target's only
 * listener, on its traffic thread, which forwards their control frames. All methods run on the control thread.
 */
class ControlLinks final : public RelayLinks
{
public:
    /** Creates links on @p loop. @p encoder must outlive them. */
    ControlLinks(EventLoop &loop, const FrameEncoder &encoder);

    /** Sets the relay that receives messages and events. Must be called first; @p relay must outlive the links. */
    void setRelay(ConfigRelay *relay);

    void connect(const ProcessName &process, const Endpoint &endpoint) override;
    void disconnect(const ProcessName &process) override;
    void send(const ProcessName &process, const ControlMessage &message) override;

    /** Called for each control frame received over a connection that its sender opened. */
    void onIncomingFrame(const IncomingControlLink &connection, const Envelope &envelope);

    /** Called when a connection that a peer opened is closed. */
    void onIncomingClosed(const PeerSocket *socket);

    /** Returns the number of frames that could not be decoded. */
    std::uint64_t malformedFrames() const;

    /** Closes all connections opened by this process. */
    void close();

private:
    struct OutgoingLink
    {
        std::shared_ptr<PeerSocket> socket{};
        bool isUp = false;
    };

    void onOpened(const ProcessName &process, const PeerSocket *socket);
    void onClosed(const ProcessName &process, const PeerSocket *socket);
    void dispatchFrame(const ProcessName &from, const Envelope &envelope);

    const FrameEncoder &m_encoder;
    PeerConnector m_connector;
    ConfigRelay *m_relay = nullptr;
    std::map<ProcessName, OutgoingLink> m_outgoing;
    std::map<ProcessName, IncomingControlLink> m_incoming; ///< the newest connection of each peer
    std::uint64_t m_malformedFrames = 0;
};

} // namespace Heatherridge
