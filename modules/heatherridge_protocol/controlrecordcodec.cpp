#include "heatherridge_protocol/controlrecordcodec.h"

#include "heatherridge_protocol/cborreader.h"

namespace Heatherridge
{

namespace
{

constexpr std::uint64_t RecordVersion = 1;
constexpr std::string_view KindPublish = "publish";
constexpr std::string_view KindClaim = "claim-role";
constexpr std::string_view KindSnapshot = "snapshot-taken";
constexpr std::string_view KindReset = "reset";

nlohmann::json header(std::string_view kind)
{
    return {{"v", RecordVersion}, {"kind", std::string(kind)}};
}

nlohmann::json toMap(const Publish &publish)
{
    auto map = header(KindPublish);
    map["document"] = static_cast<unsigned>(publish.document);
    map["operation"] = publish.operation.text();
    map["based-on"] = toNumber(publish.basedOn);
    std::visit(Visitor{[&map](const WholeDocument &whole) { map["whole"] = whole.text; },
                       [&map](const DocumentChange &change) {
                           map["put"] = change.put;
                           map["removed"] = change.removed;
                       }},
               publish.content);
    return map;
}

nlohmann::json toMap(const ClaimRole &claim)
{
    auto map = header(KindClaim);
    map["role"] = claim.role.text();
    map["claimant"] = claim.claimant.text();
    map["incarnation"] = toNumber(claim.incarnation);
    map["replaces"] = toNumber(claim.replaces);
    return map;
}

nlohmann::json toMap(const SnapshotTaken &snapshot)
{
    auto map = header(KindSnapshot);
    map["covers"] = toNumber(snapshot.covers);
    map["digest"] = toNumber(snapshot.digest);
    return map;
}

nlohmann::json toMap(const ResetFold &reset)
{
    auto map = header(KindReset);
    map["operation"] = reset.operation.text();
    map["based-on"] = toNumber(reset.basedOn);
    map["inventory"] = reset.inventory;
    map["rules"] = reset.rules;
    return map;
}

/** Reads a name, which must not be empty or longer than MaxRecordNameBytes. */
std::string requiredName(CborReader &reader, std::string_view key)
{
    auto text = reader.text(key);
    if (text.empty() || text.size() > MaxRecordNameBytes) {
        reader.fail(key);
    }
    return text;
}

DocumentContent readContent(CborReader &reader)
{
    if (reader.has("whole")) {
        return WholeDocument{.text = reader.text("whole")};
    }
    DocumentChange change{.put = reader.text("put")};
    if (const auto *removed = reader.array("removed")) {
        for (const auto &section : *removed) {
            if (!section.is_string()) {
                reader.fail("removed");
                break;
            }
            change.removed.push_back(section.get<std::string>());
        }
    }
    return change;
}

Publish readPublish(CborReader &reader)
{
    Publish publish;
    publish.document =
        static_cast<DocumentKind>(reader.number("document", static_cast<std::uint64_t>(DocumentKind::Rules)));
    publish.operation = OperationId(requiredName(reader, "operation"));
    publish.basedOn = static_cast<LogOffset>(reader.number("based-on"));
    publish.content = readContent(reader);
    return publish;
}

ClaimRole readClaim(CborReader &reader)
{
    ClaimRole claim;
    claim.role = RoleName(requiredName(reader, "role"));
    claim.claimant = ProcessName(requiredName(reader, "claimant"));
    claim.incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    claim.replaces = static_cast<FencingNumber>(reader.number("replaces"));
    return claim;
}

SnapshotTaken readSnapshot(CborReader &reader)
{
    SnapshotTaken snapshot;
    snapshot.covers = static_cast<LogOffset>(reader.number("covers"));
    snapshot.digest = static_cast<Digest>(reader.number("digest"));
    return snapshot;
}

ResetFold readReset(CborReader &reader)
{
    ResetFold reset;
    reset.operation = OperationId(requiredName(reader, "operation"));
    reset.basedOn = static_cast<LogOffset>(reader.number("based-on"));
    reset.inventory = reader.text("inventory");
    reset.rules = reader.text("rules");
    return reset;
}

} // namespace

Bytes encodeControlRecord(const ControlRecord &record)
{
    return std::visit([](const auto &typed) { return toCbor(toMap(typed)); }, record);
}

std::variant<ControlRecord, SkipReason> decodeControlRecord(const Bytes &payload)
{
    if (payload.size() > MaxControlRecordBytes) {
        return SkipReason::Oversized;
    }
    nlohmann::json map;
    if (!CborReader::parse(payload, map)) {
        return SkipReason::Malformed;
    }
    CborReader reader(map);
    const auto version = reader.number("v");
    if (reader.ok() && version != RecordVersion) {
        return SkipReason::UnknownVersion;
    }
    const auto kind = reader.text("kind");
    ControlRecord record;
    if (kind == KindPublish) {
        record = readPublish(reader);
    } else if (kind == KindClaim) {
        record = readClaim(reader);
    } else if (kind == KindSnapshot) {
        record = readSnapshot(reader);
    } else if (kind == KindReset) {
        record = readReset(reader);
    } else {
        return SkipReason::Malformed;
    }
    if (!reader.ok()) {
        return SkipReason::Malformed;
    }
    return record;
}

} // namespace Heatherridge
