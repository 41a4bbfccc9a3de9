#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Bytes as they travel. */
using Bytes = std::vector<std::uint8_t>;

/** Which family of messages a frame belongs to; each family has its own codec. */
enum class Channel : std::uint8_t {
    Traffic = 1, ///< requests and answers, between entries and targets
    Control = 2, ///< configuration relay, heartbeats, state offers
    Keys = 3, ///< hand-over of idempotency keys between targets of a service
    Group = 4, ///< lock-step groups: switches of the expert map
};

/** What every frame between processes carries, whatever its family. */
struct Envelope
{
    /** The only version spoken; a frame of another is refused. */
    static constexpr int CurrentVersion = 1;

    int version = CurrentVersion;
    Channel channel = Channel::Traffic;
    ProcessName sender{}; ///< who sent it
    Incarnation incarnation{}; ///< which run of the sender
    LogOffset offset{}; ///< up to which offset of the configuration stream the sender has folded
    Bytes payload{}; ///< the family's own CBOR
};

/** The frame of @p envelope as CBOR. */
Bytes encode(const Envelope &envelope);

/** Reads a frame. Hostile input yields MalformedFrame, never an exception. */
Result<Envelope> decodeEnvelope(const Bytes &frame);

} // namespace Heatherridge
