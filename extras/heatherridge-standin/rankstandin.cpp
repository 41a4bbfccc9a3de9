#include "rankstandin.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds ProgressTimeout{1000};
/** Maximum number of map changes listed; a test causes a few dozen. */
constexpr std::size_t MaxMapChanges = 10'000;
constexpr double MicrosecondsPerToken = 10;

Incarnation randomIncarnation()
{
    std::random_device device;
    return static_cast<Incarnation>((static_cast<std::uint64_t>(device()) << 32U) | device());
}

} // namespace

RankStandIn::RankStandIn(EventLoop &loop)
    : StandIn(loop,
              {{.name = "step-ms", .value = 20, .summary = "time of a step in milliseconds"},
               {.name = "layers", .value = 2, .summary = "layers of the model"},
               {.name = "experts", .value = 8, .summary = "experts per layer"},
               {.name = "expert-bytes", .value = 1'000'000, .summary = "size of one expert's weights in bytes"},
               {.name = "load-ms", .value = 100, .summary = "time to load the weights of a map in milliseconds"},
               {.name = "load-fails", .value = 0, .summary = "1: loading fails"},
               {.name = "window-ms", .value = 1000, .summary = "time between load reports in milliseconds"},
               {.name = "tokens", .value = 100'000, .summary = "tokens per layer in a window"},
               {.name = "hot-expert",
                .value = -1,
                .summary = "expert that receives hot-factor times the tokens; -1 for none"},
               {.name = "hot-factor", .value = 10, .summary = "see hot-expert"},
               {.name = "slowness-percent", .value = 100, .summary = "time per token relative to a healthy rank"},
               {.name = "checks-orders",
                .value = 1,
                .summary = "0: orders of an earlier incarnation of the gate are executed"}})
    , m_engine(randomIncarnation())
{
}

RankStandIn::~RankStandIn() = default;

void RankStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (!m_isStarted) {
        startTicking();
    }
    const auto &path = exchange->request().path;
    if (path == "/group/orders") {
        handleOrder(exchange);
    } else if (path == "/group/ranks") {
        handleRanks(exchange);
    } else if (path == "/group/started") {
        handleProgress(exchange);
    } else if (path == "/group/steps") {
        const auto &state = m_engine.state();
        respondJson(*exchange, 200,
                    {{"epoch", toNumber(state.epoch)},
                     {"next", toNumber(state.next)},
                     {"map", toNumber(state.map)},
                     {"steps", !state.ranks.empty()},
                     {"limited", state.limit.has_value()},
                     {"changes", m_mapChanges}});
    } else {
        respondError(*exchange, 404, "a rank serves /group/orders, /group/ranks, /group/started and /group/steps");
    }
}

void RankStandIn::startTicking()
{
    m_isStarted = true;
    m_client = std::make_unique<HttpClient>(loop().context(), HttpClient::Options{});
    tick();
    loop().after(std::chrono::milliseconds(switchValue("window-ms")), [this] { closeWindow(); });
}

void RankStandIn::handleOrder(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &body = exchange->request().body;
    const auto decoded = decodeEngineOrderRequest(Bytes(body.begin(), body.end()));
    if (const auto *error = errorIn(decoded)) {
        respondError(*exchange, 400, error->detail);
        return;
    }
    const auto &[run, order] = std::get<EngineOrderRequest>(decoded);
    count("orders");
    if (!m_engine.acceptsRun(run) && switchValue("checks-orders") != 0) {
        count("refused");
    } else if (const auto *load = std::get_if<LoadWeights>(&order)) {
        m_maps.insert_or_assign(load->map.number(), load->map);
        loop().after(std::chrono::milliseconds(switchValue("load-ms")),
                     [this, load = *load] { m_engine.execute(EngineOrder(load), switchValue("load-fails") == 0); });
    } else {
        m_engine.execute(order);
    }
    const auto bytes = encode(stateWithLoad());
    exchange->respond({.status = 200,
                       .headers = {{"content-type", "application/cbor"}},
                       .body = std::string(bytes.begin(), bytes.end())});
}

void RankStandIn::handleRanks(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto json = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object() || !json.contains("self") || !json.contains("ranks")) {
        respondError(*exchange, 400, "expected {\"self\": RANK, \"ranks\": [ADDRESS:PORT, ...]}");
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

void RankStandIn::handleProgress(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto json = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object()) {
        respondError(*exchange, 400, "expected rank, epoch and next");
        return;
    }
    const auto epoch = static_cast<EpochNumber>(json.value("epoch", std::uint64_t{0}));
    const auto next = static_cast<StepNumber>(json.value("next", std::uint64_t{0}));
    auto &nextSteps = m_progress[json.value("rank", -1)].nextSteps;
    auto &step = nextSteps.try_emplace(epoch, next).first->second;
    step = std::max(step, next);
    respondJson(*exchange, 200, nlohmann::json::object());
}

void RankStandIn::tick()
{
    const auto started = m_engine.startStep([this](int rank, EpochNumber epoch) -> std::optional<StepNumber> {
        if (rank == m_rank) {
            return m_engine.progressIn(epoch);
        }
        const auto &nextSteps = m_progress[rank].nextSteps;
        const auto found = nextSteps.find(epoch);
        return found == nextSteps.end() ? std::nullopt : std::optional(found->second);
    });
    if (started) {
        recordStep(*started);
    }
    broadcastProgress();
    loop().after(std::chrono::milliseconds(switchValue("step-ms")), [this] { tick(); });
}

/** Sends this rank's progress to the other ranks; repeated in every tick to make up for lost messages. */
void RankStandIn::broadcastProgress()
{
    const auto &state = m_engine.state();
    for (const int rank : state.ranks) {
        const auto found = m_ranks.find(rank);
        if (rank == m_rank || found == m_ranks.end()) {
            continue;
        }
        const nlohmann::json message{
            {"rank", m_rank}, {"epoch", toNumber(state.epoch)}, {"next", toNumber(state.next)}};
        m_client->send({.endpoint = found->second,
                        .request = {.method = "POST", .path = "/group/started", .body = message.dump()},
                        .timeout = ProgressTimeout},
                       [](const auto &) {});
    }
}

void RankStandIn::recordStep(const StartedStep &step)
{
    count("steps");
    const bool isUnchanged = !m_mapChanges.empty() && m_mapChanges.back()[0] == toNumber(step.epoch)
        && m_mapChanges.back()[2] == toNumber(step.map);
    if (!isUnchanged && m_mapChanges.size() < MaxMapChanges) {
        m_mapChanges.push_back({toNumber(step.epoch), toNumber(step.step), toNumber(step.map)});
    }
}

/** Returns the tokens per expert slot that this rank receives in a window under @p map. */
std::vector<std::uint32_t> RankStandIn::tokensForMap(const ExpertMap &map) const
{
    std::vector<std::uint32_t> tokens;
    const auto hot = switchValue("hot-expert");
    const auto experts = static_cast<double>(switchValue("experts"));
    const double hotLoad = hot >= 0 ? static_cast<double>(switchValue("hot-factor")) : 1;
    for (const auto &layer : map.layers()) {
        for (const auto &slot : layer) {
            if (slot.rank == m_rank) {
                const double load = slot.expert == hot ? hotLoad : 1;
                const double part = load / (experts - 1 + hotLoad) * slot.share / ExpertSlot::WholeShare;
                tokens.push_back(
                    static_cast<std::uint32_t>(std::lround(part * static_cast<double>(switchValue("tokens")))));
            }
        }
    }
    return tokens;
}

void RankStandIn::closeWindow()
{
    // Uses the wall clock, so that all ranks, including restarted ones, number their windows alike.
    const auto window = static_cast<std::uint64_t>(wallMilliseconds() / std::max(1LL, switchValue("window-ms")));
    const auto &state = m_engine.state();
    const auto map = m_maps.find(state.map);
    // A window during which the map changed is reported for neither map.
    if (map != m_maps.end() && m_windowMap == state.map && !state.ranks.empty()) {
        RankReport report{.rank = m_rank, .window = window, .map = state.map, .tokens = tokensForMap(map->second)};
        double busy = 0;
        for (const auto tokens : report.tokens) {
            busy += tokens * MicrosecondsPerToken * static_cast<double>(switchValue("slowness-percent")) / 100;
        }
        report.busyTime = std::chrono::microseconds(std::llround(busy));
        m_report = std::move(report);
    }
    m_windowMap = state.map;
    loop().after(std::chrono::milliseconds(switchValue("window-ms")), [this] { closeWindow(); });
}

EngineState RankStandIn::stateWithLoad() const
{
    auto state = m_engine.state();
    state.model = {.layers = static_cast<int>(switchValue("layers")),
                   .experts = static_cast<int>(switchValue("experts")),
                   .expertBytes = static_cast<std::uint64_t>(switchValue("expert-bytes"))};
    state.load = m_report;
    return state;
}

} // namespace Heatherridge
