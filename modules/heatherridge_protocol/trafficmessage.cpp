#include "heatherridge_protocol/trafficmessage.h"

#include "heatherridge_protocol/cborreader.h"

namespace Heatherridge
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxHeaders = 128;
constexpr int MaxPriority = 1000;
constexpr int MaxAttempt = 100;
constexpr std::int64_t MaxDurationMs = 86'400'000;
constexpr std::int64_t MinHttpStatus = 100;
constexpr std::int64_t MaxHttpStatus = 999;

/** Message types on the wire; each value is the index of the alternative in TrafficMessage. */
enum class MessageType : std::uint64_t { Submit, Cancel, Credit, Head, Chunk, End, Error, Load };

json encodeHeaders(const std::vector<HeaderField> &headers)
{
    auto list = json::array();
    for (const auto &header : headers) {
        list.push_back(header.name);
        list.push_back(header.value);
    }
    return list;
}

std::vector<HeaderField> readHeaders(CborReader &reader)
{
    std::vector<HeaderField> headers;
    const auto *list = reader.array("h");
    if (list == nullptr) {
        return headers;
    }
    if (list->size() % 2 != 0 || list->size() > 2 * MaxHeaders) {
        reader.fail("h");
        return headers;
    }
    for (std::size_t i = 0; i < list->size(); i += 2) {
        if (!(*list)[i].is_string() || !(*list)[i + 1].is_string()) {
            reader.fail("h");
            return headers;
        }
        headers.push_back({.name = (*list)[i], .value = (*list)[i + 1]});
    }
    return headers;
}

json toMap(const SubmitRequest &message)
{
    return {{"w", message.workspace.text()},
            {"s", message.service.text()},
            {"m", message.method},
            {"p", message.path},
            {"q", message.query},
            {"h", encodeHeaders(message.headers)},
            {"b", binary(message.body)},
            {"pr", message.priority},
            {"d", message.timeLeft.count()},
            {"k", message.key.text()},
            {"r", message.mayRepeat},
            {"c", message.cost},
            {"ft", message.uncachedPromptTokens},
            {"a", message.attempt}};
}

json toMap(const CancelRequest & /*message*/)
{
    return json::object();
}

json toMap(const GrantCredit &message)
{
    return {{"n", message.bytes}};
}

json toMap(const AnswerHead &message)
{
    return {{"st", message.status}, {"h", encodeHeaders(message.headers)}};
}

json toMap(const AnswerChunk &message)
{
    return {{"n", message.sequence}, {"b", binary(message.bytes)}};
}

json toMap(const AnswerEnd &message)
{
    return {{"n", message.chunks}};
}

json toMap(const AnswerError &message)
{
    json map{{"e", std::string(errorDescriptorFor(message.kind).name)},
             {"r", static_cast<unsigned>(message.ran)},
             {"t", message.detail}};
    if (!message.redirectTarget.isEmpty()) {
        map["a"] = message.redirectTarget.text();
    }
    if (message.retryAfter) {
        map["d"] = message.retryAfter->count();
    }
    return map;
}

json toMap(const LoadReport &message)
{
    return {{"ta", message.target.text()}, {"u", message.running},   {"q", message.queued},
            {"l", message.limit},          {"x", message.draining},  {"lo", message.load},
            {"oe", message.loadOfEntry},   {"cp", message.capacity}, {"ps", message.pressure},
            {"pp", message.pendingPrompt}, {"wm", message.warmth},   {"pc", message.tokenInterval.count()}};
}

const RequestId &requestIdOf(const auto &message)
{
    return message.id;
}

RequestId requestIdOf(const LoadReport & /*message*/)
{
    return {};
}

TrafficMessage readSubmit(CborReader &reader, RequestId id)
{
    return SubmitRequest{.id = std::move(id),
                         .workspace = WorkspaceName(reader.text("w")),
                         .service = ServiceName(reader.text("s")),
                         .method = reader.text("m"),
                         .path = reader.text("p"),
                         .query = reader.text("q"),
                         .headers = readHeaders(reader),
                         .body = reader.bytes("b"),
                         .priority = static_cast<int>(reader.integer("pr", -MaxPriority, MaxPriority)),
                         .timeLeft = std::chrono::milliseconds(reader.integer("d", 0, MaxDurationMs)),
                         .key = IdempotencyKey(reader.text("k")),
                         .mayRepeat = reader.boolean("r"),
                         .cost = reader.number("c"),
                         .uncachedPromptTokens = reader.number("ft"),
                         .attempt = static_cast<int>(reader.integer("a", 1, MaxAttempt))};
}

TrafficMessage readError(CborReader &reader, RequestId id)
{
    AnswerError message{.id = std::move(id), .detail = reader.text("t")};
    const auto kind = errorKindFromName(reader.text("e"));
    if (!kind) {
        reader.fail("e");
    }
    message.kind = kind.value_or(ErrorKind::Internal);
    message.ran =
        static_cast<ExecutionStatus>(reader.number("r", static_cast<std::uint64_t>(ExecutionStatus::Unknown)));
    if (reader.has("a")) {
        message.redirectTarget = TargetName(reader.text("a"));
    }
    if (reader.has("d")) {
        message.retryAfter = std::chrono::milliseconds(reader.integer("d", 0, MaxDurationMs));
    }
    return message;
}

TrafficMessage readLoad(CborReader &reader)
{
    return LoadReport{.target = TargetName(reader.text("ta")),
                      .running = reader.number("u"),
                      .queued = reader.number("q"),
                      .limit = reader.number("l"),
                      .draining = reader.boolean("x"),
                      .load = reader.fraction("lo"),
                      .loadOfEntry = reader.fraction("oe"),
                      .capacity = reader.fraction("cp"),
                      .pressure = reader.fraction("ps"),
                      .pendingPrompt = reader.fraction("pp"),
                      .warmth = reader.fraction("wm"),
                      .tokenInterval = std::chrono::microseconds(reader.integer("pc", 0, MaxDurationMs * 1000))};
}

TrafficMessage readBody(CborReader &reader, MessageType type, RequestId id)
{
    switch (type) {
    case MessageType::Submit:
        return readSubmit(reader, std::move(id));
    case MessageType::Cancel:
        return CancelRequest{.id = std::move(id)};
    case MessageType::Credit:
        return GrantCredit{.id = std::move(id), .bytes = reader.number("n")};
    case MessageType::Head:
        return AnswerHead{.id = std::move(id),
                          .status = static_cast<int>(reader.integer("st", MinHttpStatus, MaxHttpStatus)),
                          .headers = readHeaders(reader)};
    case MessageType::Chunk:
        return AnswerChunk{.id = std::move(id), .sequence = reader.number("n"), .bytes = reader.bytes("b")};
    case MessageType::End:
        return AnswerEnd{.id = std::move(id), .chunks = reader.number("n")};
    case MessageType::Error:
        return readError(reader, std::move(id));
    case MessageType::Load:
        return readLoad(reader);
    }
    return CancelRequest{};
}

} // namespace

Bytes encode(const TrafficMessage &message)
{
    return std::visit(
        [&message](const auto &alternative) {
            auto map = toMap(alternative);
            map["ty"] = message.index();
            map["id"] = requestIdOf(alternative).text();
            return toCbor(map);
        },
        message);
}

Result<TrafficMessage> decodeTrafficMessage(const Bytes &payload)
{
    json map;
    if (!CborReader::parse(payload, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    const auto type = static_cast<MessageType>(reader.number("ty", std::variant_size_v<TrafficMessage> - 1));
    RequestId id(reader.text("id"));
    auto message = readBody(reader, type, id);
    if (!reader.ok()) {
        return malformedError("traffic field " + reader.failedKey());
    }
    if (id.isEmpty() && type != MessageType::Load) {
        return malformedError("no request id");
    }
    return message;
}

} // namespace Heatherridge
