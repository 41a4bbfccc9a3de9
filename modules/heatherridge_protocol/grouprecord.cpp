#include "heatherridge_protocol/grouprecord.h"

#include "heatherridge_protocol/cborreader.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxLayers = 1024;
constexpr std::size_t MaxMembers = 4096;
constexpr std::size_t BytesPerSlot = 6;

void appendUint16(Bytes &bytes, std::uint16_t number)
{
    bytes.push_back(static_cast<std::uint8_t>(number & 0xffU));
    bytes.push_back(static_cast<std::uint8_t>(number >> 8U));
}

std::uint16_t readUint16(const Bytes &bytes, std::size_t position)
{
    return static_cast<std::uint16_t>(bytes[position] | (bytes[position + 1] << 8U));
}

Bytes packLayer(const LayerPlacement &layer)
{
    Bytes bytes;
    bytes.reserve(layer.size() * BytesPerSlot);
    for (const auto &slot : layer) {
        appendUint16(bytes, slot.expert);
        appendUint16(bytes, slot.rank);
        appendUint16(bytes, slot.share);
    }
    return bytes;
}

LayerPlacement unpackLayer(const Bytes &bytes)
{
    LayerPlacement layer;
    layer.reserve(bytes.size() / BytesPerSlot);
    for (std::size_t position = 0; position + BytesPerSlot <= bytes.size(); position += BytesPerSlot) {
        layer.push_back({.expert = readUint16(bytes, position),
                         .rank = readUint16(bytes, position + 2),
                         .share = readUint16(bytes, position + 4)});
    }
    return layer;
}

/** Returns the smallest group shape for which @p layers can be a placement. */
GroupShape minimalShape(const std::vector<LayerPlacement> &layers)
{
    GroupShape shape{.layers = static_cast<int>(layers.size())};
    int ranks = 0;
    for (const auto &layer : layers) {
        for (const auto &slot : layer) {
            shape.experts = std::max(shape.experts, slot.expert + 1);
            ranks = std::max(ranks, slot.rank + 1);
        }
    }
    shape.slots.assign(static_cast<std::size_t>(ranks), shape.experts);
    return shape;
}

} // namespace

nlohmann::json toJson(const ExpertMap &map)
{
    auto layers = nlohmann::json::array();
    for (const auto &layer : map.layers()) {
        layers.push_back(binary(packLayer(layer)));
    }
    return {{"n", toNumber(map.number())}, {"l", std::move(layers)}};
}

Result<ExpertMap> expertMapFrom(const nlohmann::json &json)
{
    CborReader reader(json);
    const auto number = static_cast<MapNumber>(reader.number("n"));
    const auto *array = reader.array("l");
    if (!reader.ok() || array->size() > MaxLayers) {
        return malformedError("expert map");
    }
    std::vector<LayerPlacement> layers;
    layers.reserve(array->size());
    for (const auto &layer : *array) {
        if (!layer.is_binary() || layer.get_binary().size() % BytesPerSlot != 0) {
            return malformedError("layer of an expert map");
        }
        layers.push_back(unpackLayer(layer.get_binary()));
    }
    const auto shape = minimalShape(layers);
    auto map = ExpertMap::create(number, shape, std::move(layers));
    if (const auto *error = errorIn(map)) {
        return malformedError(error->detail);
    }
    return map;
}

nlohmann::json toJson(const GroupEpoch &epoch)
{
    auto members = nlohmann::json::array();
    for (const auto &member : epoch.members) {
        members.push_back({{"r", member.rank}, {"i", toNumber(member.incarnation)}});
    }
    return {{"e", toNumber(epoch.number)},
            {"f", toNumber(epoch.leader)},
            {"m", std::move(members)},
            {"x", toJson(epoch.map)}};
}

Result<GroupEpoch> groupEpochFrom(const nlohmann::json &json)
{
    CborReader reader(json);
    GroupEpoch epoch{.number = static_cast<EpochNumber>(reader.number("e")),
                     .leader = static_cast<FencingNumber>(reader.number("f"))};
    const auto *members = reader.array("m");
    const auto *map = reader.map("x");
    if (!reader.ok() || members->empty() || members->size() > MaxMembers) {
        return malformedError("epoch field " + reader.failedKey());
    }
    for (const auto &entry : *members) {
        CborReader member(entry);
        epoch.members.push_back({.rank = static_cast<int>(member.number("r", UINT16_MAX)),
                                 .incarnation = static_cast<Incarnation>(member.number("i"))});
        const auto count = epoch.members.size();
        if (!member.ok() || (count > 1 && epoch.members[count - 2].rank >= epoch.members[count - 1].rank)) {
            return malformedError("members of an epoch");
        }
    }
    auto read = expertMapFrom(*map);
    if (const auto *error = errorIn(read)) {
        return *error;
    }
    epoch.map = std::move(std::get<ExpertMap>(read));
    for (const auto &layer : epoch.map.layers()) {
        for (const auto &slot : layer) {
            if (epoch.find(slot.rank) == nullptr) {
                return malformedError("epoch whose map uses a rank that is no member");
            }
        }
    }
    return epoch;
}

Bytes encodeGroupRecord(const GroupRecord &record)
{
    return toCbor(std::visit(Visitor{
                                 [](const GroupClaim &claim) {
                                     return nlohmann::json{{"r", claim.rank},
                                                           {"i", toNumber(claim.incarnation)},
                                                           {"c", toNumber(claim.replaces)}};
                                 },
                                 [](const GroupEpoch &epoch) { return toJson(epoch); },
                             },
                             record));
}

Result<GroupRecord> decodeGroupRecord(const Bytes &payload)
{
    nlohmann::json json;
    if (!CborReader::parse(payload, json)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(json);
    if (reader.has("c")) {
        const GroupClaim claim{.rank = static_cast<int>(reader.number("r", UINT16_MAX)),
                               .incarnation = static_cast<Incarnation>(reader.number("i")),
                               .replaces = static_cast<FencingNumber>(reader.number("c"))};
        return reader.ok() ? Result<GroupRecord>(claim) : malformedError("claim of a group");
    }
    auto epoch = groupEpochFrom(json);
    if (const auto *error = errorIn(epoch)) {
        return *error;
    }
    return std::move(std::get<GroupEpoch>(epoch));
}

} // namespace Heatherridge
