#pragma once

#include "heatherridge_protocol/controlmessage.h"
#include "heatherridge_state/config/inventory.h"

namespace Heatherridge
{

/** Which side opened a connection. */
enum class LinkDirection : std::uint8_t {
    Outgoing, ///< this process
    Incoming, ///< the peer
};

/**
 * The relay's interface to its connections.
 *
 * All calls return at once and may fail silently. The loss of a connection, or the failure to establish one, is
 * reported to ConfigRelay::linkDown. The implementation adds the envelopes of frames. Single-threaded.
 */
class RelayLinks
{
public:
    virtual ~RelayLinks() = default;

    /** Opens a connection to @p process at @p endpoint; the outcome is reported to the relay. */
    virtual void connect(const ProcessName &process, const Endpoint &endpoint) = 0;

    /** Closes the connection that this process opened to @p process. */
    virtual void disconnect(const ProcessName &process) = 0;

    /** Sends @p message to @p process on any open connection. */
    virtual void send(const ProcessName &process, const ControlMessage &message) = 0;
};

} // namespace Heatherridge
