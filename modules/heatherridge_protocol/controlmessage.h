#pragma once

#include "heatherridge_protocol/imagepart.h"

#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** One record of the control stream on its way from process to process, as the log gave it. */
struct RelayedRecord
{
    LogOffset offset{};
    Bytes payload{};

    bool operator==(const RelayedRecord &) const = default;
};

/** Records handed on from a process that read them, or asked for by one that lacks them. */
struct RecordsRelay
{
    std::vector<RelayedRecord> records{}; ///< in offset order

    bool operator==(const RecordsRelay &) const = default;
};

/** Asks for records from an offset on. */
struct RecordsRequest
{
    LogOffset from{};

    bool operator==(const RecordsRequest &) const = default;
};

/** Asks for the whole state, where it is newer than an offset. */
struct StateRequest
{
    LogOffset newerThan{};

    bool operator==(const StateRequest &) const = default;
};

/** One piece of the sender's state. */
struct StateOffer
{
    ImagePart part{};

    bool operator==(const StateOffer &) const = default;
};

/** How far a process is in its life. */
enum class ProcessPhase : std::uint8_t {
    Starting, ///< has no state yet
    Unconfirmed, ///< acts on a state that its peers offered; the log has not answered since its start
    Ready,
    Draining, ///< takes no new work, lets running work end
};

/** The stable name of @p phase. */
std::string_view toString(ProcessPhase phase);

/** A sign of life; the envelope says from whom, which run and up to which offset. */
struct Heartbeat
{
    Digest digest{}; ///< of the state at the envelope's offset
    ProcessPhase phase = ProcessPhase::Starting;
    std::uint32_t open = 0; ///< requests and streams that are running
    /** How long ago the log is known to have held nothing beyond the envelope's offset; nothing when never. An age, not
     * a time, so that clocks which disagree do no harm. */
    std::optional<std::chrono::milliseconds> caughtUpAge{};
    bool logUnreachable = false; ///< the sender, or whoever it gets its records from, gets no answer from the log

    bool operator==(const Heartbeat &) const = default;
};

/** What travels on the control channel. */
using ControlMessage = std::variant<RecordsRelay, RecordsRequest, StateRequest, StateOffer, Heartbeat>;

/** Most bytes of records in one relay message; a single longer record still travels alone. */
constexpr std::size_t MaxRelayBytes = 256UL << 10U;

/** The payload of an envelope for @p message. */
Bytes encodeControlMessage(const ControlMessage &message);

/** Reads the payload of an envelope on the control channel. */
Result<ControlMessage> decodeControlMessage(const Bytes &payload);

} // namespace Heatherridge
