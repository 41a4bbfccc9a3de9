#include "heatherridge_protocol/keyrecordcodec.h"

#include "heatherridge_protocol/cborreader.h"

#include <algorithm>
#include <cassert>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxNameLength = 256;
constexpr std::size_t MaxWitnesses = 16;
constexpr int MaxHttpStatus = 999;
/** Highest creation time that a version 7 UUID can represent, in milliseconds. */
constexpr std::int64_t MaxTime = (1LL << 48) - 1;

enum class RecordTag : std::uint8_t {
    Intent = 1,
    Outcome = 2,
    Claim = 3,
};

json toJson(WallTime time)
{
    return std::clamp<std::int64_t>(time.time_since_epoch().count(), 0, MaxTime);
}

json toJson(const Uuid7 &key)
{
    return binary(Bytes(key.octets().begin(), key.octets().end()));
}

json toJson(const KeyClaim &claim)
{
    json witnesses = json::array();
    for (const auto &witness : claim.witnesses) {
        witnesses.push_back(KeyCodec::toJson(witness));
    }
    return {{"i", KeyCodec::toJson(claim.id)}, {"b", toNumber(claim.basedOn)}, {"w", std::move(witnesses)},
            {"u", toJson(claim.until)},        {"f", toJson(claim.floor)},     {"l", claim.afterLoss}};
}

json toJson(const LoggedClaim &logged)
{
    return {{"o", toNumber(logged.offset)}, {"c", toJson(logged.claim)}};
}

json toJson(const LedgerView &view)
{
    json map = {{"c", toNumber(view.covers)}, {"f", toJson(view.floor)}, {"n", toJson(view.newestKeyTime)}};
    if (view.claim) {
        map["p"] = toJson(*view.claim);
    }
    return map;
}

std::string boundedText(CborReader &reader, std::string_view key, std::size_t maxCount)
{
    auto text = reader.text(key);
    if (text.size() > maxCount) {
        reader.fail(key);
        return {};
    }
    return text;
}

/** Calls @p read for the map at @p key. Marks @p reader as failed if reading it fails. */
template<typename Read>
auto readNested(CborReader &reader, std::string_view key, Read read)
{
    static const json Empty = json::object();
    const auto *map = reader.map(key);
    CborReader inner(map == nullptr ? Empty : *map);
    auto value = read(inner);
    if (!inner.ok()) {
        reader.fail(key);
    }
    return value;
}

Uuid7 readKey(CborReader &reader, std::string_view key)
{
    const auto bytes = reader.bytes(key);
    Uuid7::Octets octets{};
    if (bytes.size() != octets.size()) {
        reader.fail(key);
        return {};
    }
    std::copy(bytes.begin(), bytes.end(), octets.begin());
    const auto uuid = Uuid7::fromOctets(octets);
    if (!uuid) {
        reader.fail(key);
    }
    return uuid.value_or(Uuid7{});
}

RequestFingerprint readFingerprint(CborReader &reader)
{
    return {.high = reader.number("h"), .low = reader.number("o")};
}

GateId readGateFields(CborReader &reader)
{
    GateId gate{.process = ProcessName(boundedText(reader, "p", MaxNameLength)),
                .incarnation = static_cast<Incarnation>(reader.number("i"))};
    if (gate.process.isEmpty()) {
        reader.fail("p");
    }
    return gate;
}

StoredAnswer readAnswer(CborReader &reader)
{
    StoredAnswer answer;
    answer.status = static_cast<int>(reader.number("s", MaxHttpStatus));
    answer.contentType = boundedText(reader, "y", MaxNameLength);
    const auto body = reader.bytes("b");
    if (body.size() > StoredAnswer::MaxBodyBytes) {
        reader.fail("b");
    }
    answer.body.assign(body.begin(), body.end());
    answer.bodyDropped = reader.boolean("d");
    return answer;
}

KeyIntent readIntent(CborReader &reader)
{
    return {
        .key = readKey(reader, "k"), .fingerprint = readFingerprint(reader), .runner = KeyCodec::readGate(reader, "r")};
}

KeyOutcome readOutcome(CborReader &reader)
{
    KeyOutcome outcome{
        .key = readKey(reader, "k"), .fingerprint = readFingerprint(reader), .runner = KeyCodec::readGate(reader, "r")};
    outcome.runState = static_cast<RunState>(reader.number("e", static_cast<std::uint64_t>(RunState::Unknown)));
    if (outcome.runState == RunState::Answered) {
        outcome.answer = readNested(reader, "a", readAnswer);
    }
    return outcome;
}

KeyClaim readClaim(CborReader &reader)
{
    KeyClaim claim{.id = KeyCodec::readClaimId(reader, "i"), .basedOn = static_cast<LogOffset>(reader.number("b"))};
    const auto *witnesses = reader.array("w");
    if (witnesses != nullptr && witnesses->size() > MaxWitnesses) {
        reader.fail("w");
    } else if (witnesses != nullptr) {
        for (const auto &witness : *witnesses) {
            CborReader inner(witness);
            claim.witnesses.push_back(readGateFields(inner));
            if (!inner.ok()) {
                reader.fail("w");
            }
        }
    }
    claim.until = KeyCodec::readTime(reader, "u");
    claim.floor = KeyCodec::readTime(reader, "f");
    claim.afterLoss = reader.boolean("l");
    return claim;
}

LoggedClaim readLoggedClaimFields(CborReader &reader)
{
    return {.offset = static_cast<LogOffset>(reader.number("o")), .claim = readNested(reader, "c", readClaim)};
}

LedgerView readView(CborReader &reader)
{
    LedgerView view{.covers = static_cast<LogOffset>(reader.number("c")),
                    .floor = KeyCodec::readTime(reader, "f"),
                    .newestKeyTime = KeyCodec::readTime(reader, "n")};
    if (reader.has("p")) {
        view.claim = readNested(reader, "p", readLoggedClaimFields);
    }
    return view;
}

KeyRecord readRecord(CborReader &reader)
{
    const auto tag = reader.number("t", static_cast<std::uint64_t>(RecordTag::Claim));
    switch (static_cast<RecordTag>(tag)) {
    case RecordTag::Intent:
        return readIntent(reader);
    case RecordTag::Outcome:
        return readOutcome(reader);
    case RecordTag::Claim:
        return readNested(reader, "c", readClaim);
    }
    reader.fail("t");
    return KeyIntent{};
}

} // namespace

namespace KeyCodec
{

json toJson(const GateId &gate)
{
    return {{"p", gate.process.text()}, {"i", toNumber(gate.incarnation)}};
}

json toJson(const ClaimId &claim)
{
    return {{"h", toJson(claim.holder)}, {"n", claim.serial}};
}

json toJson(WallTime time)
{
    return Heatherridge::toJson(time);
}

json toJson(const LoggedClaim &claim)
{
    return Heatherridge::toJson(claim);
}

LoggedClaim readLoggedClaim(CborReader &reader, std::string_view key)
{
    return readNested(reader, key, readLoggedClaimFields);
}

json toJson(const KeyRecord &record)
{
    const auto common = [](RecordTag tag, const auto &entry) {
        return json{{"t", static_cast<unsigned>(tag)},
                    {"k", Heatherridge::toJson(entry.key)},
                    {"h", entry.fingerprint.high},
                    {"o", entry.fingerprint.low},
                    {"r", toJson(entry.runner)}};
    };
    return std::visit(
        Visitor{
            [&](const KeyIntent &intent) { return common(RecordTag::Intent, intent); },
            [&](const KeyOutcome &outcome) {
                auto map = common(RecordTag::Outcome, outcome);
                map["e"] = static_cast<unsigned>(outcome.runState);
                if (outcome.runState == RunState::Answered) {
                    const auto &answer = outcome.answer;
                    map["a"] = {{"s", answer.status},
                                {"y", answer.contentType.substr(0, MaxNameLength)},
                                {"b", binary(Bytes(answer.body.begin(), answer.body.end()))},
                                {"d", answer.bodyDropped}};
                }
                return map;
            },
            [&](const KeyClaim &claim) {
                return json{{"t", static_cast<unsigned>(RecordTag::Claim)}, {"c", Heatherridge::toJson(claim)}};
            },
        },
        record);
}

GateId readGate(CborReader &reader, std::string_view key)
{
    return readNested(reader, key, readGateFields);
}

ClaimId readClaimId(CborReader &reader, std::string_view key)
{
    return readNested(reader, key, [](CborReader &inner) {
        return ClaimId{.holder = readGate(inner, "h"), .serial = inner.number("n")};
    });
}

WallTime readTime(CborReader &reader, std::string_view key)
{
    return WallTime(std::chrono::milliseconds(reader.integer(key, 0, MaxTime)));
}

std::vector<KeyRecord> readRecords(CborReader &reader, std::string_view key, std::size_t maxCount)
{
    std::vector<KeyRecord> records;
    const auto *array = reader.array(key);
    if (array == nullptr || array->size() > maxCount) {
        reader.fail(key);
        return records;
    }
    records.reserve(array->size());
    for (const auto &element : *array) {
        CborReader inner(element);
        records.push_back(readRecord(inner));
        if (!inner.ok()) {
            reader.fail(key);
        }
    }
    return records;
}

} // namespace KeyCodec

Bytes encode(const KeyBatch &batch)
{
    assert(batch.records.size() <= MaxKeyRecords);
    json records = json::array();
    for (const auto &record : batch.records) {
        records.push_back(KeyCodec::toJson(record));
    }
    json map = {{"v", 1},
                {"w", KeyCodec::toJson(batch.writer)},
                {"n", batch.serial},
                {"s", toJson(batch.view)},
                {"r", std::move(records)}};
    if (batch.onBehalfOf) {
        map["b"] = KeyCodec::toJson(*batch.onBehalfOf);
    }
    return toCbor(map);
}

Result<KeyBatch> decodeKeyBatch(const Bytes &payload)
{
    json map;
    if (!CborReader::parse(payload, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    const auto version = reader.number("v");
    KeyBatch batch{.writer = KeyCodec::readGate(reader, "w"),
                   .serial = reader.number("n"),
                   .view = readNested(reader, "s", readView)};
    if (reader.has("b")) {
        batch.onBehalfOf = KeyCodec::readClaimId(reader, "b");
    }
    batch.records = KeyCodec::readRecords(reader, "r", MaxKeyRecords);
    if (!reader.ok() || version != 1) {
        return malformedError("key batch field " + reader.failedKey());
    }
    return batch;
}

} // namespace Heatherridge
