#include "heatherridge_protocol/configimagecodec.h"

#include "heatherridge_protocol/cborreader.h"

namespace Heatherridge
{

namespace
{

nlohmann::json toMap(const DocumentImage &document)
{
    auto sections = nlohmann::json::array();
    for (const auto &[header, section] : document.sections) {
        sections.push_back({{"h", header}, {"b", section.body}, {"c", toNumber(section.changedAt)}});
    }
    auto removed = nlohmann::json::array();
    for (const auto &[header, offset] : document.removed) {
        removed.push_back({{"h", header}, {"c", toNumber(offset)}});
    }
    return {{"changed-at", toNumber(document.changedAt)},
            {"forgotten-below", toNumber(document.removalsPrunedBelow)},
            {"sections", sections},
            {"removed", removed}};
}

nlohmann::json toMap(const OperationOutcome &outcome)
{
    nlohmann::json map{{"o", outcome.operation.text()}, {"d", toNumber(outcome.decidedAt)}, {"h", outcome.contentHash}};
    if (outcome.refusal) {
        map["r"] = static_cast<unsigned>(outcome.refusal->reason);
        map["w"] = outcome.refusal->conflictsWith.text();
        map["a"] = toNumber(outcome.refusal->conflictOffset);
        map["t"] = outcome.refusal->detail;
    }
    return map;
}

/** Calls @p readEntry with a reader for each entry of the array at @p key. Marks @p reader as failed at a malformed
 * entry. */
template<typename ReadEntry>
void forEachEntry(CborReader &reader, std::string_view key, const ReadEntry &readEntry)
{
    const auto *entries = reader.array(key);
    if (entries == nullptr) {
        return;
    }
    for (const auto &entry : *entries) {
        CborReader entryReader(entry);
        readEntry(entryReader);
        if (!entryReader.ok()) {
            reader.fail(key);
            return;
        }
    }
}

DocumentImage readDocument(CborReader &reader, std::string_view key)
{
    DocumentImage document;
    const auto *map = reader.map(key);
    if (map == nullptr) {
        return document;
    }
    CborReader inner(*map);
    document.changedAt = static_cast<LogOffset>(inner.number("changed-at"));
    document.removalsPrunedBelow = static_cast<LogOffset>(inner.number("forgotten-below"));
    forEachEntry(inner, "sections", [&document](CborReader &entry) {
        document.sections[entry.text("h")] = {.body = entry.text("b"),
                                              .changedAt = static_cast<LogOffset>(entry.number("c"))};
    });
    forEachEntry(inner, "removed", [&document](CborReader &entry) {
        document.removed[entry.text("h")] = static_cast<LogOffset>(entry.number("c"));
    });
    if (!inner.ok()) {
        reader.fail(key);
    }
    return document;
}

OperationOutcome readOutcome(CborReader &reader)
{
    OperationOutcome outcome{.operation = OperationId(reader.text("o")),
                             .decidedAt = static_cast<LogOffset>(reader.number("d")),
                             .contentHash = reader.number("h")};
    if (reader.has("r")) {
        outcome.refusal = Refusal{.reason = static_cast<RefusalReason>(reader.number("r", RefusalReasonCount - 1)),
                                  .conflictsWith = OperationId(reader.text("w")),
                                  .conflictOffset = static_cast<LogOffset>(reader.number("a")),
                                  .detail = reader.text("t")};
    }
    return outcome;
}

template<std::size_t Size>
void readCounts(CborReader &reader, std::string_view key, std::array<std::uint64_t, Size> &counts)
{
    const auto *entries = reader.array(key);
    if (entries == nullptr || entries->size() != Size) {
        reader.fail(key);
        return;
    }
    for (std::size_t i = 0; i < Size; ++i) {
        if (!(*entries)[i].is_number_unsigned()) {
            reader.fail(key);
            return;
        }
        counts.at(i) = (*entries)[i].template get<std::uint64_t>();
    }
}

} // namespace

Bytes encodeConfigImage(const ConfigImage &image)
{
    auto operations = nlohmann::json::array();
    for (const auto &outcome : image.operations) {
        operations.push_back(toMap(outcome));
    }
    auto roles = nlohmann::json::array();
    for (const auto &[role, holder] : image.roles) {
        roles.push_back({{"r", role.text()},
                         {"h", holder.holder.text()},
                         {"i", toNumber(holder.incarnation)},
                         {"n", toNumber(holder.number)}});
    }
    return toCbor({{"offset", toNumber(image.offset)},
                   {"inventory", toMap(image.inventory)},
                   {"rules", toMap(image.rules)},
                   {"operations", operations},
                   {"forgotten-below", toNumber(image.operationsPrunedBelow)},
                   {"roles", roles},
                   {"snapshot-covers", toNumber(image.snapshot.covers)},
                   {"snapshot-digest", toNumber(image.snapshot.digest)},
                   {"skipped", image.skipped},
                   {"refused", image.refused}});
}

Result<ConfigImage> decodeConfigImage(const Bytes &bytes)
{
    nlohmann::json map;
    if (!CborReader::parse(bytes, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    ConfigImage image;
    image.offset = static_cast<LogOffset>(reader.number("offset"));
    image.inventory = readDocument(reader, "inventory");
    image.rules = readDocument(reader, "rules");
    forEachEntry(reader, "operations", [&image](CborReader &entry) { image.operations.push_back(readOutcome(entry)); });
    image.operationsPrunedBelow = static_cast<LogOffset>(reader.number("forgotten-below"));
    forEachEntry(reader, "roles", [&image](CborReader &entry) {
        image.roles[RoleName(entry.text("r"))] = {.holder = ProcessName(entry.text("h")),
                                                  .incarnation = static_cast<Incarnation>(entry.number("i")),
                                                  .number = static_cast<FencingNumber>(entry.number("n"))};
    });
    image.snapshot.covers = static_cast<LogOffset>(reader.number("snapshot-covers"));
    image.snapshot.digest = static_cast<Digest>(reader.number("snapshot-digest"));
    readCounts(reader, "skipped", image.skipped);
    readCounts(reader, "refused", image.refused);
    if (!reader.ok()) {
        return malformedError("state field " + reader.failedKey());
    }
    return image;
}

} // namespace Heatherridge
