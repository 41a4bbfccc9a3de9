#include "rankstandin.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds TellTimeout{1000};
/** Most changes of the map that are listed; a test makes a few dozen. */
constexpr std::size_t MostChanges = 10'000;
constexpr double MicrosecondsPerToken = 10;

Incarnation drawRun()
{
    std::random_device device;
    return static_cast<Incarnation>((static_cast<std::uint64_t>(device()) << 32U) | device());
}

} // namespace

RankStandIn::RankStandIn(EventLoop &loop)
    : StandIn(loop,
              {{.name = "step-ms", .value = 20, .meaning = "time of a step"},
               {.name = "layers", .value = 2, .meaning = "layers of the model"},
               {.name = "experts", .value = 8, .meaning = "experts a layer"},
               {.name = "expert-bytes", .value = 1'000'000, .meaning = "weights of one expert"},
               {.name = "load-ms", .value = 100, .meaning = "time that loading a map's weights takes"},
               {.name = "load-fails", .value = 0, .meaning = "1: loading fails"},
               {.name = "window-ms", .value = 1000, .meaning = "time between load reports"},
               {.name = "tokens", .value = 100'000, .meaning = "tokens a layer in a window"},
               {.name = "hot-expert", .value = -1, .meaning = "expert that gets hot-factor times the tokens"},
               {.name = "hot-factor", .value = 10, .meaning = "see hot-expert"},
               {.name = "slowness-percent", .value = 100, .meaning = "time a token, against a healthy rank"},
               {.name = "checks-orders", .value = 1, .meaning = "0: orders of a dead run of the gate are followed"}})
    , m_engine(drawRun())
{
}

RankStandIn::~RankStandIn() = default;

void RankStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (!m_begun) {
        begin();
    }
    const auto &path = exchange->request().path;
    if (path == "/group/orders") {
        takeOrder(exchange);
    } else if (path == "/group/ranks") {
        takeRanks(exchange);
    } else if (path == "/group/started") {
        takeStarted(exchange);
    } else if (path == "/group/steps") {
        const auto &state = m_engine.state();
        respondJson(*exchange, 200,
                    {{"epoch", toNumber(state.epoch)},
                     {"next", toNumber(state.next)},
                     {"map", toNumber(state.map)},
                     {"steps", !state.ranks.empty()},
                     {"limited", state.limit.has_value()},
                     {"changes", m_changes}});
    } else {
        respondFailure(*exchange, 404, "a rank serves /group/orders, /group/ranks, /group/started and /group/steps");
    }
}

void RankStandIn::begin()
{
    m_begun = true;
    m_client = std::make_unique<HttpClient>(loop().context(), HttpClient::Options{});
    tick();
    loop().after(std::chrono::milliseconds(fault("window-ms")), [this] { closeWindow(); });
}

void RankStandIn::takeOrder(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &body = exchange->request().body;
    const auto decoded = decodeEngineOrderRequest(Bytes(body.begin(), body.end()));
    if (const auto *error = errorIn(decoded)) {
        respondFailure(*exchange, 400, error->detail);
        return;
    }
    const auto &[run, order] = std::get<EngineOrderRequest>(decoded);
    count("orders");
    if (!m_engine.acceptsRun(run) && fault("checks-orders") != 0) {
        count("refused");
    } else if (const auto *load = std::get_if<LoadWeights>(&order)) {
        m_maps.insert_or_assign(load->map.number(), load->map);
        loop().after(std::chrono::milliseconds(fault("load-ms")),
                     [this, load = *load] { m_engine.execute(EngineOrder(load), fault("load-fails") == 0); });
    } else {
        m_engine.execute(order);
    }
    const auto bytes = encode(stateWithLoad());
    exchange->respond({.status = 200,
                       .headers = {{"content-type", "application/cbor"}},
                       .body = std::string(bytes.begin(), bytes.end())});
}

void RankStandIn::takeRanks(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto json = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object() || !json.contains("self") || !json.contains("ranks")) {
        respondFailure(*exchange, 400, "expected {\"self\": RANK, \"ranks\": [ADDRESS:PORT, ...]}");
        return;
    }
    m_rank = json["self"].get<int>();
    m_ranks.clear();
    int rank = 0;
    for (const auto &address : json["ranks"]) {
        if (const auto endpoint = parseEndpoint(address.get<std::string>())) {
            m_ranks[rank] = *endpoint;
        }
        ++rank;
    }
    respondJson(*exchange, 200, {{"ranks", m_ranks.size()}});
}

void RankStandIn::takeStarted(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto json = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object()) {
        respondFailure(*exchange, 400, "expected rank, epoch and next");
        return;
    }
    const auto epoch = static_cast<EpochNumber>(json.value("epoch", std::uint64_t{0}));
    const auto next = static_cast<StepNumber>(json.value("next", std::uint64_t{0}));
    auto &reached = m_progress[json.value("rank", -1)].reached;
    auto &step = reached.try_emplace(epoch, next).first->second;
    step = std::max(step, next);
    respondJson(*exchange, 200, nlohmann::json::object());
}

void RankStandIn::tick()
{
    const auto started = m_engine.startStep([this](int rank, EpochNumber epoch) -> std::optional<StepNumber> {
        if (rank == m_rank) {
            return m_engine.progressIn(epoch);
        }
        const auto &reached = m_progress[rank].reached;
        const auto found = reached.find(epoch);
        return found == reached.end() ? std::nullopt : std::optional(found->second);
    });
    if (started) {
        noteStep(*started);
    }
    tell();
    loop().after(std::chrono::milliseconds(fault("step-ms")), [this] { tick(); });
}

/** Tells the others how far this rank is, in every tick, so that a lost word is repeated. */
void RankStandIn::tell()
{
    const auto &state = m_engine.state();
    for (const int rank : state.ranks) {
        const auto found = m_ranks.find(rank);
        if (rank == m_rank || found == m_ranks.end()) {
            continue;
        }
        const nlohmann::json word{{"rank", m_rank}, {"epoch", toNumber(state.epoch)}, {"next", toNumber(state.next)}};
        m_client->send({.endpoint = found->second,
                        .request = {.method = "POST", .path = "/group/started", .body = word.dump()},
                        .timeout = TellTimeout},
                       [](const auto &) {});
    }
}

void RankStandIn::noteStep(const StartedStep &step)
{
    count("steps");
    const bool same =
        !m_changes.empty() && m_changes.back()[0] == toNumber(step.epoch) && m_changes.back()[2] == toNumber(step.map);
    if (!same && m_changes.size() < MostChanges) {
        m_changes.push_back({toNumber(step.epoch), toNumber(step.step), toNumber(step.map)});
    }
}

/** The tokens that come to this rank in a window under @p map. */
std::vector<std::uint32_t> RankStandIn::tokensOf(const ExpertMap &map) const
{
    std::vector<std::uint32_t> tokens;
    const auto hot = fault("hot-expert");
    const auto experts = static_cast<double>(fault("experts"));
    const double hotLoad = hot >= 0 ? static_cast<double>(fault("hot-factor")) : 1;
    for (const auto &layer : map.layers()) {
        for (const auto &slot : layer) {
            if (slot.rank == m_rank) {
                const double load = slot.expert == hot ? hotLoad : 1;
                const double part = load / (experts - 1 + hotLoad) * slot.share / ExpertSlot::WholeShare;
                tokens.push_back(static_cast<std::uint32_t>(std::lround(part * static_cast<double>(fault("tokens")))));
            }
        }
    }
    return tokens;
}

void RankStandIn::closeWindow()
{
    // By the machine's clock, so that all ranks number their windows alike, restarted ones too.
    const auto window = static_cast<std::uint64_t>(wallMilliseconds() / std::max(1LL, fault("window-ms")));
    const auto &state = m_engine.state();
    const auto map = m_maps.find(state.map);
    // A window with a switch in it belongs to neither map.
    if (map != m_maps.end() && m_windowMap == state.map && !state.ranks.empty()) {
        RankReport report{.rank = m_rank, .window = window, .map = state.map, .tokens = tokensOf(map->second)};
        double busy = 0;
        for (const auto tokens : report.tokens) {
            busy += tokens * MicrosecondsPerToken * static_cast<double>(fault("slowness-percent")) / 100;
        }
        report.busyTime = std::chrono::microseconds(std::llround(busy));
        m_report = std::move(report);
    }
    m_windowMap = state.map;
    loop().after(std::chrono::milliseconds(fault("window-ms")), [this] { closeWindow(); });
}

EngineState RankStandIn::stateWithLoad() const
{
    auto state = m_engine.state();
    state.model = {.layers = static_cast<int>(fault("layers")),
                   .experts = static_cast<int>(fault("experts")),
                   .expertBytes = static_cast<std::uint64_t>(fault("expert-bytes"))};
    state.load = m_report;
    return state;
}

} // namespace Heatherridge
