#include "heatherridge_protocol/keymessage.h"

#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/keyrecordcodec.h"

namespace Heatherridge
{

namespace
{

using nlohmann::json;

json recordsToJson(const std::vector<KeyRecord> &records)
{
    json array = json::array();
    for (const auto &record : records) {
        array.push_back(KeyCodec::toJson(record));
    }
    return array;
}

void writeFields(json &map, const ActivateRequest &message)
{
    map["c"] = KeyCodec::toJson(message.claim);
    map["u"] = KeyCodec::toJson(message.until);
}

void writeFields(json &map, const ActivateReply &message)
{
    map["c"] = KeyCodec::toJson(message.claim);
    map["u"] = KeyCodec::toJson(message.until);
}

void writeFields(json &map, const RevokeRequest &message)
{
    map["c"] = KeyCodec::toJson(message.claim);
}

void writeFields(json &map, const RevokeReply &message)
{
    map["c"] = KeyCodec::toJson(message.claim);
    if (message.activatedUntil) {
        map["u"] = KeyCodec::toJson(*message.activatedUntil);
    }
}

void writeFields(json &map, const ReleaseRequest &message)
{
    map["c"] = KeyCodec::toJson(message.claim);
    map["r"] = message.withOfflineRight;
}

void writeFields(json &map, const ReleaseReply &message)
{
    map["p"] = KeyCodec::toJson(message.claim);
    map["r"] = message.withOfflineRight;
    map["u"] = KeyCodec::toJson(message.until);
    map["l"] = KeyCodec::toJson(message.floor);
    map["n"] = recordsToJson(message.unrecorded);
    map["k"] = recordsToJson(message.known);
}

void writeFields(json & /*map*/, const GatePresence & /*message*/)
{
}

ReleaseReply readRelease(CborReader &reader)
{
    return {.claim = KeyCodec::readLoggedClaim(reader, "p"),
            .withOfflineRight = reader.boolean("r"),
            .until = KeyCodec::readTime(reader, "u"),
            .floor = KeyCodec::readTime(reader, "l"),
            .unrecorded = KeyCodec::readRecords(reader, "n", MaxHandOverRecords),
            .known = KeyCodec::readRecords(reader, "k", MaxHandOverRecords)};
}

KeyMessage readMessage(CborReader &reader)
{
    const auto claim = [&reader] { return KeyCodec::readClaimId(reader, "c"); };
    switch (reader.number("t", std::variant_size_v<KeyMessage> - 1)) {
    case 0:
        return ActivateRequest{.claim = claim(), .until = KeyCodec::readTime(reader, "u")};
    case 1:
        return ActivateReply{.claim = claim(), .until = KeyCodec::readTime(reader, "u")};
    case 2:
        return RevokeRequest{.claim = claim()};
    case 3: {
        RevokeReply reply{.claim = claim()};
        if (reader.has("u")) {
            reply.activatedUntil = KeyCodec::readTime(reader, "u");
        }
        return reply;
    }
    case 4:
        return ReleaseRequest{.claim = claim(), .withOfflineRight = reader.boolean("r")};
    case 5:
        return readRelease(reader);
    default:
        return GatePresence{};
    }
}

} // namespace

Bytes encode(const KeyFrame &frame)
{
    json map = {{"s", frame.service.text()},
                {"h", toNumber(frame.shard)},
                {"f", KeyCodec::toJson(frame.from)},
                {"d", KeyCodec::toJson(frame.to)},
                {"t", frame.message.index()}};
    std::visit([&map](const auto &message) { writeFields(map, message); }, frame.message);
    return toCbor(map);
}

Result<KeyFrame> decodeKeyFrame(const Bytes &payload)
{
    json map;
    if (!CborReader::parse(payload, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    KeyFrame frame{.service = ServiceName(reader.text("s")),
                   .shard = static_cast<KeyShard>(reader.number("h", KeyShardCount - 1)),
                   .from = KeyCodec::readGate(reader, "f"),
                   .to = KeyCodec::readGate(reader, "d"),
                   .message = readMessage(reader)};
    if (!reader.ok()) {
        return malformedError("key message field " + reader.failedKey());
    }
    return frame;
}

} // namespace Heatherridge
