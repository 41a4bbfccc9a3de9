#pragma once

#include "heatherridge_protocol/imagepart.h"

#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** A record of the control stream as read from the log, relayed from one process to another. */
struct RelayedRecord
{
    LogOffset offset{};
    Bytes payload{};

    bool operator==(const RelayedRecord &) const = default;
};

/** Records relayed by a process that has read them, or sent in reply to a RecordsRequest. */
struct RecordsRelay
{
    std::vector<RelayedRecord> records{}; ///< in offset order

    bool operator==(const RecordsRelay &) const = default;
};

/** Requests the records from an offset onwards. */
struct RecordsRequest
{
    LogOffset from{};

    bool operator==(const RecordsRequest &) const = default;
};

/** Requests the complete state, if it is newer than an offset. */
struct StateRequest
{
    LogOffset newerThan{};

    bool operator==(const StateRequest &) const = default;
};

/** One part of the sender's state. */
struct StateOffer
{
    ImagePart part{};

    bool operator==(const StateOffer &) const = default;
};

/** The lifecycle phase of a process. */
enum class ProcessPhase : std::uint8_t {
    Starting, ///< has no state yet
    Unconfirmed, ///< uses a state offered by peers; the log has not answered since the process started
    Ready,
    Draining, ///< accepts no new work and completes running work
};

/** Returns the name of @p phase as it is written in outputs; it must not change. */
std::string_view toString(ProcessPhase phase);

/** A periodic heartbeat. The envelope carries its sender, the sender's incarnation and its offset. */
struct Heartbeat
{
    Digest digest{}; ///< digest of the state at the envelope's offset
    ProcessPhase phase = ProcessPhase::Starting;
    std::uint32_t open = 0; ///< number of running requests and streams
    /** Time since the envelope's offset was last known to be the end of the log; empty if it never was. An age rather
     * than a point in time, so that it does not depend on synchronized clocks. */
    std::optional<std::chrono::milliseconds> caughtUpAge{};
    bool logUnreachable = false; ///< the sender, or its source of records, gets no answer from the log

    bool operator==(const Heartbeat &) const = default;
};

/** All messages on Channel::Control. */
using ControlMessage = std::variant<RecordsRelay, RecordsRequest, StateRequest, StateOffer, Heartbeat>;

/** Maximum size in bytes of the records in one relay message. A single larger record is sent on its own. */
constexpr std::size_t MaxRelayBytes = 256UL << 10U;

/** Encodes @p message as the payload of an envelope. */
Bytes encodeControlMessage(const ControlMessage &message);

/** Decodes the payload of an envelope on Channel::Control. */
Result<ControlMessage> decodeControlMessage(const Bytes &payload);

} // namespace Heatherridge
