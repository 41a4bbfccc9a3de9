#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Raw bytes as sent over the network. */
using Bytes = std::vector<std::uint8_t>;

/** The message family of a frame. Each family has its own codec. */
enum class Channel : std::uint8_t {
    Traffic = 1, ///< requests and answers between entries and targets
    Control = 2, ///< configuration relay, heartbeats, state offers
    Keys = 3, ///< handover of idempotency keys between targets of a service
    Group = 4, ///< lock-step groups: switches between expert maps
};

/** The fields that all frames between processes have in common. */
struct Envelope
{
    /** The only supported protocol version; frames of any other version are rejected. */
    static constexpr int CurrentVersion = 1;

    int version = CurrentVersion;
    Channel channel = Channel::Traffic;
    ProcessName sender{}; ///< the sending process
    Incarnation incarnation{}; ///< the sender's current run
    LogOffset offset{}; ///< offset of the configuration stream up to which the sender has applied records
    Bytes payload{}; ///< CBOR message of the channel's codec
};

/** Encodes @p envelope as a CBOR frame. */
Bytes encode(const Envelope &envelope);

/** Decodes a frame. Invalid or hostile input yields MalformedFrame, never an exception. */
Result<Envelope> decodeEnvelope(const Bytes &frame);

} // namespace Heatherridge
