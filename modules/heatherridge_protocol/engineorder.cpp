#include "heatherridge_protocol/engineorder.h"

#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/grouprecord.h"

namespace Heatherridge
{

namespace
{

constexpr std::uint64_t MaxTag = std::variant_size_v<EngineOrder> - 1;
constexpr std::size_t MaxListEntries = 1U << 16U;

nlohmann::json toMap(const PollEngine & /*order*/)
{
    return nlohmann::json::object();
}

nlohmann::json toMap(const LoadWeights &order)
{
    return {{"x", toJson(order.map)}};
}

nlohmann::json toMap(const DropWeights &order)
{
    return {{"n", toNumber(order.map)}};
}

nlohmann::json toMap(const LimitSteps &order)
{
    return {{"e", toNumber(order.epoch)}, {"n", toNumber(order.map)}, {"s", toNumber(order.bound)}};
}

nlohmann::json toMap(const ScheduleMap &order)
{
    return {{"e", toNumber(order.epoch)}, {"n", toNumber(order.map)}, {"s", toNumber(order.from)}};
}

nlohmann::json toMap(const LiftLimit &order)
{
    return {{"n", toNumber(order.map)}};
}

nlohmann::json toMap(const EnterEpoch &order)
{
    return {{"p", toJson(order.epoch)}};
}

nlohmann::json toMap(const LeaveEpoch &order)
{
    return {{"e", toNumber(order.successor)}};
}

MapNumber readMap(CborReader &reader, std::string_view key = "n")
{
    return static_cast<MapNumber>(reader.number(key));
}

StepNumber readStep(CborReader &reader, std::string_view key = "s")
{
    return static_cast<StepNumber>(reader.number(key));
}

EpochNumber readEpoch(CborReader &reader)
{
    return static_cast<EpochNumber>(reader.number("e"));
}

Result<EngineOrder> readLoad(CborReader &reader)
{
    const auto *json = reader.map("x");
    auto map = json == nullptr ? malformedError("map to load") : expertMapFrom(*json);
    if (const auto *error = errorIn(map)) {
        return *error;
    }
    return LoadWeights{std::move(std::get<ExpertMap>(map))};
}

Result<EngineOrder> readEnter(CborReader &reader)
{
    const auto *json = reader.map("p");
    auto epoch = json == nullptr ? malformedError("epoch to enter") : groupEpochFrom(*json);
    if (const auto *error = errorIn(epoch)) {
        return *error;
    }
    return EnterEpoch{std::move(std::get<GroupEpoch>(epoch))};
}

using ReadOrder = Result<EngineOrder> (*)(CborReader &);

/** Indexed by the position of the alternative in EngineOrder. */
constexpr ReadOrder OrderReaders[] = {
    [](CborReader &) -> Result<EngineOrder> { return PollEngine{}; },
    readLoad,
    [](CborReader &reader) -> Result<EngineOrder> { return DropWeights{readMap(reader)}; },
    [](CborReader &reader) -> Result<EngineOrder> {
        return LimitSteps{readEpoch(reader), readMap(reader), readStep(reader)};
    },
    [](CborReader &reader) -> Result<EngineOrder> {
        return ScheduleMap{readEpoch(reader), readMap(reader), readStep(reader)};
    },
    [](CborReader &reader) -> Result<EngineOrder> { return LiftLimit{readMap(reader)}; },
    readEnter,
    [](CborReader &reader) -> Result<EngineOrder> { return LeaveEpoch{readEpoch(reader)}; },
};
static_assert(std::size(OrderReaders) == std::variant_size_v<EngineOrder>);

nlohmann::json reportToMap(const RankReport &report)
{
    return {{"r", report.rank},
            {"w", report.window},
            {"n", toNumber(report.map)},
            {"t", report.tokens},
            {"b", report.busyTime.count()}};
}

/** Reads the array of unsigned integers at @p key, none of which may exceed @p maximum. */
template<typename Number>
std::vector<Number> readNumbers(CborReader &reader, std::string_view key, std::uint64_t maximum)
{
    std::vector<Number> numbers;
    const auto *array = reader.array(key);
    if (array == nullptr || array->size() > MaxListEntries) {
        reader.fail(key);
        return numbers;
    }
    numbers.reserve(array->size());
    for (const auto &entry : *array) {
        if (!entry.is_number_unsigned() || entry.get<std::uint64_t>() > maximum) {
            reader.fail(key);
            return numbers;
        }
        numbers.push_back(static_cast<Number>(entry.get<std::uint64_t>()));
    }
    return numbers;
}

std::optional<RankReport> readReport(CborReader &reader)
{
    const auto *json = reader.map("load");
    if (json == nullptr) {
        return std::nullopt;
    }
    CborReader inner(*json);
    RankReport report{.rank = static_cast<int>(inner.number("r", UINT16_MAX)),
                      .window = inner.number("w"),
                      .map = readMap(inner),
                      .tokens = readNumbers<std::uint32_t>(inner, "t", UINT32_MAX),
                      .busyTime = std::chrono::microseconds(inner.integer("b", 0, INT64_MAX))};
    if (!inner.ok()) {
        reader.fail("load");
    }
    return report;
}

} // namespace

Bytes encode(const EngineOrderRequest &order)
{
    auto json = std::visit([](const auto &typed) { return toMap(typed); }, order.order);
    json["k"] = order.order.index();
    json["i"] = toNumber(order.run);
    return toCbor(json);
}

Result<EngineOrderRequest> decodeEngineOrderRequest(const Bytes &bytes)
{
    nlohmann::json json;
    if (!CborReader::parse(bytes, json)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(json);
    const auto tag = reader.number("k", MaxTag);
    const auto run = static_cast<Incarnation>(reader.number("i"));
    if (!reader.ok()) {
        return malformedError("order field " + reader.failedKey());
    }
    auto order = OrderReaders[tag](reader);
    if (const auto *error = errorIn(order)) {
        return *error;
    }
    if (!reader.ok()) {
        return malformedError("order field " + reader.failedKey());
    }
    return EngineOrderRequest{.run = run, .order = std::move(std::get<EngineOrder>(order))};
}

Bytes encode(const EngineState &state)
{
    nlohmann::json json{{"i", toNumber(state.run)},          {"g", toNumber(state.gateRun)},
                        {"e", toNumber(state.epoch)},        {"r", state.ranks},
                        {"s", toNumber(state.next)},         {"n", toNumber(state.map)},
                        {"since", toNumber(state.mapSince)}, {"loaded", nlohmann::json::array()},
                        {"failed", toNumber(state.failed)},  {"layers", state.model.layers},
                        {"experts", state.model.experts},    {"bytes", state.model.expertBytes}};
    for (const auto map : state.loaded) {
        json["loaded"].push_back(toNumber(map));
    }
    if (state.limit) {
        json["limit"] = {{"n", toNumber(state.limit->map)}, {"s", toNumber(state.limit->bound)}};
    }
    if (state.scheduled) {
        json["scheduled"] = {{"n", toNumber(state.scheduled->map)}, {"s", toNumber(state.scheduled->from)}};
    }
    if (state.load) {
        json["load"] = reportToMap(*state.load);
    }
    return toCbor(json);
}

Result<EngineState> decodeEngineState(const Bytes &bytes)
{
    nlohmann::json json;
    if (!CborReader::parse(bytes, json)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(json);
    EngineState state{.run = static_cast<Incarnation>(reader.number("i")),
                      .gateRun = static_cast<Incarnation>(reader.number("g")),
                      .epoch = readEpoch(reader),
                      .ranks = readNumbers<int>(reader, "r", UINT16_MAX),
                      .next = readStep(reader),
                      .map = readMap(reader),
                      .mapSince = readStep(reader, "since"),
                      .loaded = readNumbers<MapNumber>(reader, "loaded", UINT64_MAX),
                      .failed = readMap(reader, "failed"),
                      .model = {.layers = static_cast<int>(reader.number("layers", UINT16_MAX)),
                                .experts = static_cast<int>(reader.number("experts", UINT16_MAX)),
                                .expertBytes = reader.number("bytes")}};
    if (reader.has("limit")) {
        if (const auto *limit = reader.map("limit")) {
            CborReader inner(*limit);
            state.limit = StepLimit{.map = readMap(inner), .bound = readStep(inner)};
        }
    }
    if (reader.has("scheduled")) {
        if (const auto *scheduled = reader.map("scheduled")) {
            CborReader inner(*scheduled);
            state.scheduled = ScheduledMap{.map = readMap(inner), .from = readStep(inner)};
        }
    }
    if (reader.has("load")) {
        state.load = readReport(reader);
    }
    if (!reader.ok()) {
        return malformedError("engine state field " + reader.failedKey());
    }
    return state;
}

MapNumber mapOf(const EngineOrder &order)
{
    return std::visit(Visitor{
                          [](const LoadWeights &load) { return load.map.number(); },
                          [](const EnterEpoch &enter) { return enter.epoch.map.number(); },
                          [](const PollEngine &) { return MapNumber{}; },
                          [](const LeaveEpoch &) { return MapNumber{}; },
                          [](const auto &other) { return other.map; },
                      },
                      order);
}

} // namespace Heatherridge
