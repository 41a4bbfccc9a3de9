#pragma once

#include "heatherridge_protocol/controlmessage.h"
#include "heatherridge_state/config/inventory.h"

namespace Heatherridge
{

/** Who opened a connection. */
enum class LinkDirection : std::uint8_t {
    Outgoing, ///< this process did
    Incoming, ///< the peer did
};

/**
 * The connections of the relay, as it uses them.
 *
 * All calls return at once and may fail silently; the loss of a connection, also of one that could not be made, is
 * reported to ConfigRelay::linkDown. The frames' envelopes are the implementation's business. One thread.
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
