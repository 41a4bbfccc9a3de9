#include "heatherridge_protocol/controlmessage.h"

#include "heatherridge_protocol/cborreader.h"

#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 4> PhaseNames{"starting", "unconfirmed", "ready", "draining"};

constexpr std::chrono::milliseconds MaxAge{std::chrono::hours(24 * 365)};

// Keys have one letter, because heartbeats and relayed records make up nearly all control traffic.
constexpr std::string_view KindKey = "k";

enum class MessageKind : std::uint8_t { RecordsRelay, RecordsRequest, StateRequest, StateOffer, Heartbeat };

nlohmann::json header(MessageKind kind)
{
    return {{std::string(KindKey), static_cast<unsigned>(kind)}};
}

nlohmann::json toMap(const RecordsRelay &relay)
{
    auto records = nlohmann::json::array();
    for (const auto &record : relay.records) {
        records.push_back({{"o", toNumber(record.offset)}, {"p", binary(record.payload)}});
    }
    auto map = header(MessageKind::RecordsRelay);
    map["r"] = std::move(records);
    return map;
}

nlohmann::json toMap(const RecordsRequest &request)
{
    auto map = header(MessageKind::RecordsRequest);
    map["f"] = toNumber(request.from);
    return map;
}

nlohmann::json toMap(const StateRequest &request)
{
    auto map = header(MessageKind::StateRequest);
    map["n"] = toNumber(request.newerThan);
    return map;
}

nlohmann::json toMap(const StateOffer &offer)
{
    auto map = header(MessageKind::StateOffer);
    map["p"] = binary(encodeImagePart(offer.part));
    return map;
}

nlohmann::json toMap(const Heartbeat &heartbeat)
{
    auto map = header(MessageKind::Heartbeat);
    map["d"] = toNumber(heartbeat.digest);
    map["s"] = static_cast<unsigned>(heartbeat.phase);
    map["n"] = heartbeat.open;
    map["x"] = heartbeat.logUnreachable;
    if (heartbeat.caughtUpAge) {
        map["a"] = heartbeat.caughtUpAge->count();
    }
    return map;
}

Result<ControlMessage> checkedMessage(const CborReader &reader, ControlMessage message)
{
    if (!reader.ok()) {
        return malformedError("control message field " + reader.failedKey());
    }
    return message;
}

Result<ControlMessage> readRelay(CborReader &reader)
{
    RecordsRelay relay;
    if (const auto *records = reader.array("r")) {
        for (const auto &entry : *records) {
            CborReader record(entry);
            relay.records.push_back(
                {.offset = static_cast<LogOffset>(record.number("o")), .payload = record.bytes("p")});
            if (!record.ok()) {
                reader.fail("r");
                break;
            }
        }
    }
    return checkedMessage(reader, std::move(relay));
}

Result<ControlMessage> readOffer(CborReader &reader)
{
    const auto payload = reader.bytes("p");
    if (!reader.ok()) {
        return checkedMessage(reader, {});
    }
    auto part = decodeImagePart(payload);
    if (const auto *error = errorIn(part)) {
        return *error;
    }
    return ControlMessage(StateOffer{.part = std::get<ImagePart>(std::move(part))});
}

Result<ControlMessage> readHeartbeat(CborReader &reader)
{
    Heartbeat heartbeat;
    heartbeat.digest = static_cast<Digest>(reader.number("d"));
    heartbeat.phase = static_cast<ProcessPhase>(reader.number("s", PhaseNames.size() - 1));
    heartbeat.open = static_cast<std::uint32_t>(reader.number("n", UINT32_MAX));
    heartbeat.logUnreachable = reader.boolean("x");
    if (reader.has("a")) {
        heartbeat.caughtUpAge = std::chrono::milliseconds(reader.integer("a", 0, MaxAge.count()));
    }
    return checkedMessage(reader, heartbeat);
}

} // namespace

std::string_view toString(ProcessPhase phase)
{
    return PhaseNames.at(static_cast<std::size_t>(phase));
}

Bytes encodeControlMessage(const ControlMessage &message)
{
    return std::visit([](const auto &typed) { return toCbor(toMap(typed)); }, message);
}

Result<ControlMessage> decodeControlMessage(const Bytes &payload)
{
    nlohmann::json map;
    if (!CborReader::parse(payload, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    const auto kind = reader.number(KindKey, static_cast<std::uint64_t>(MessageKind::Heartbeat));
    if (!reader.ok()) {
        return malformedError("unknown control message");
    }
    switch (static_cast<MessageKind>(kind)) {
    case MessageKind::RecordsRelay:
        return readRelay(reader);
    case MessageKind::RecordsRequest:
        return checkedMessage(reader, RecordsRequest{.from = static_cast<LogOffset>(reader.number("f"))});
    case MessageKind::StateRequest:
        return checkedMessage(reader, StateRequest{.newerThan = static_cast<LogOffset>(reader.number("n"))});
    case MessageKind::StateOffer:
        return readOffer(reader);
    case MessageKind::Heartbeat:
        return readHeartbeat(reader);
    }
    return malformedError("unknown control message");
}

} // namespace Heatherridge
