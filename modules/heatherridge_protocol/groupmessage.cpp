#include "heatherridge_protocol/groupmessage.h"

#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/grouprecord.h"

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxVotes = 4096;
constexpr std::size_t MaxReportedSlots = 1U << 16U;
/** Messages are tagged on the wire with their index in GroupMessage. */
constexpr std::uint64_t MaxTag = std::variant_size_v<GroupMessage> - 1;

nlohmann::json toMap(const LoadMap &message)
{
    return {{"f", toNumber(message.leader)},
            {"e", toNumber(message.epoch)},
            {"i", toNumber(message.addressee)},
            {"j", message.startsEpoch},
            {"x", toJson(message.map)}};
}

nlohmann::json toMap(const MapReady &message)
{
    return {{"r", message.rank}, {"n", toNumber(message.map)}, {"k", message.loaded}};
}

nlohmann::json toMap(const VoteRequest &message)
{
    return {{"f", toNumber(message.leader)}, {"e", toNumber(message.epoch)}, {"n", toNumber(message.map)}};
}

nlohmann::json toMap(const CancelMap &message)
{
    return {{"f", toNumber(message.leader)}, {"e", toNumber(message.epoch)}, {"n", toNumber(message.map)}};
}

nlohmann::json toMap(const VoteList &message)
{
    auto votes = nlohmann::json::array();
    for (const auto &vote : message.votes) {
        votes.push_back({{"r", vote.rank}, {"a", vote.agreed}, {"b", toNumber(vote.bound)}});
    }
    nlohmann::json json{{"e", toNumber(message.epoch)}, {"n", toNumber(message.map)}, {"v", std::move(votes)}};
    if (message.committedAt) {
        json["s"] = toNumber(*message.committedAt);
    }
    return json;
}

nlohmann::json toMap(const EpochAnnouncement &message)
{
    return {{"p", toJson(message.epoch)}};
}

nlohmann::json toMap(const RankStatus &message)
{
    return {{"r", message.rank},          {"i", toNumber(message.engine)}, {"e", toNumber(message.epoch)},
            {"n", toNumber(message.map)}, {"s", toNumber(message.step)},   {"u", toNumber(message.pending)}};
}

nlohmann::json toMap(const StatusRequest &message)
{
    return {{"f", toNumber(message.leader)}};
}

nlohmann::json toMap(const RankLoadReport &message)
{
    return {{"r", message.report.rank},
            {"w", message.report.window},
            {"n", toNumber(message.report.map)},
            {"t", message.report.tokens},
            {"b", message.report.busyTime.count()}};
}

int readRank(CborReader &reader)
{
    return static_cast<int>(reader.number("r", UINT16_MAX));
}

Result<GroupMessage> readLoadMap(CborReader &reader)
{
    LoadMap message{.leader = static_cast<FencingNumber>(reader.number("f")),
                    .epoch = static_cast<EpochNumber>(reader.number("e")),
                    .addressee = static_cast<Incarnation>(reader.number("i")),
                    .startsEpoch = reader.boolean("j")};
    const auto *json = reader.map("x");
    if (json == nullptr) {
        return malformedError("map to load");
    }
    auto map = expertMapFrom(*json);
    if (const auto *error = errorIn(map)) {
        return *error;
    }
    message.map = std::move(std::get<ExpertMap>(map));
    return message;
}

Result<GroupMessage> readVoteList(CborReader &reader)
{
    VoteList list{.epoch = static_cast<EpochNumber>(reader.number("e")),
                  .map = static_cast<MapNumber>(reader.number("n"))};
    if (reader.has("s")) {
        list.committedAt = static_cast<StepNumber>(reader.number("s"));
    }
    const auto *votes = reader.array("v");
    if (votes == nullptr || votes->size() > MaxVotes) {
        return malformedError("list of votes");
    }
    for (const auto &json : *votes) {
        CborReader vote(json);
        list.votes.push_back(
            {.rank = readRank(vote), .agreed = vote.boolean("a"), .bound = static_cast<StepNumber>(vote.number("b"))});
        if (!vote.ok()) {
            return malformedError("vote");
        }
    }
    return list;
}

Result<GroupMessage> readEpochAnnouncement(CborReader &reader)
{
    const auto *json = reader.map("p");
    if (json == nullptr) {
        return malformedError("epoch");
    }
    auto epoch = groupEpochFrom(*json);
    if (const auto *error = errorIn(epoch)) {
        return *error;
    }
    return EpochAnnouncement{.epoch = std::move(std::get<GroupEpoch>(epoch))};
}

Result<GroupMessage> readRankLoadReport(CborReader &reader)
{
    RankLoadReport message;
    message.report.rank = readRank(reader);
    message.report.window = reader.number("w");
    message.report.map = static_cast<MapNumber>(reader.number("n"));
    message.report.busyTime = std::chrono::microseconds(reader.integer("b", 0, INT64_MAX));
    const auto *tokens = reader.array("t");
    if (tokens == nullptr || tokens->size() > MaxReportedSlots) {
        return malformedError("tokens of a load report");
    }
    for (const auto &count : *tokens) {
        if (!count.is_number_unsigned() || count.get<std::uint64_t>() > UINT32_MAX) {
            return malformedError("tokens of a load report");
        }
        message.report.tokens.push_back(count.get<std::uint32_t>());
    }
    return message;
}

Result<GroupMessage> readRankStatus(CborReader &reader)
{
    return RankStatus{.rank = readRank(reader),
                      .engine = static_cast<Incarnation>(reader.number("i")),
                      .epoch = static_cast<EpochNumber>(reader.number("e")),
                      .map = static_cast<MapNumber>(reader.number("n")),
                      .step = static_cast<StepNumber>(reader.number("s")),
                      .pending = static_cast<MapNumber>(reader.number("u"))};
}

Result<GroupMessage> readMapReady(CborReader &reader)
{
    return MapReady{
        .rank = readRank(reader), .map = static_cast<MapNumber>(reader.number("n")), .loaded = reader.boolean("k")};
}

template<typename Request>
Result<GroupMessage> readRequest(CborReader &reader)
{
    return Request{.leader = static_cast<FencingNumber>(reader.number("f")),
                   .epoch = static_cast<EpochNumber>(reader.number("e")),
                   .map = static_cast<MapNumber>(reader.number("n"))};
}

Result<GroupMessage> readStatusRequest(CborReader &reader)
{
    return StatusRequest{.leader = static_cast<FencingNumber>(reader.number("f"))};
}

using ReadMessage = Result<GroupMessage> (*)(CborReader &);

/** Indexed by the position of the alternative in GroupMessage. */
constexpr ReadMessage MessageReaders[] = {
    readLoadMap,           readMapReady,   readRequest<VoteRequest>, readRequest<CancelMap>, readVoteList,
    readEpochAnnouncement, readRankStatus, readStatusRequest,        readRankLoadReport};
static_assert(std::size(MessageReaders) == std::variant_size_v<GroupMessage>);

} // namespace

Bytes encode(const GroupFrame &frame)
{
    auto json = std::visit([](const auto &message) { return toMap(message); }, frame.message);
    json["g"] = frame.group.text();
    json["k0"] = frame.message.index();
    return toCbor(json);
}

Result<GroupFrame> decodeGroupFrame(const Bytes &payload)
{
    nlohmann::json json;
    if (!CborReader::parse(payload, json)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(json);
    GroupFrame frame{.group = GroupName(reader.text("g"))};
    const auto tag = reader.number("k0", MaxTag);
    if (!reader.ok()) {
        return malformedError("group message field " + reader.failedKey());
    }
    auto message = MessageReaders[tag](reader);
    if (const auto *error = errorIn(message)) {
        return *error;
    }
    if (!reader.ok()) {
        return malformedError("group message field " + reader.failedKey());
    }
    frame.message = std::move(std::get<GroupMessage>(message));
    return frame;
}

} // namespace Heatherridge
