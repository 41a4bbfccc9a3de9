#include "enginestandin.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds SampleInterval{50};
constexpr milliseconds MaxLoadLag{10'000};
constexpr milliseconds StallPoll{20};
constexpr std::size_t MaxOrders = 100;
constexpr std::size_t MaxExports = 1000;
constexpr std::uint64_t MaxTokens = 100'000;

std::vector<FaultSwitch> engineSwitches()
{
    return {{.name = "step-ms", .value = 5, .summary = "milliseconds of a step, without the time per request"},
            {.name = "step-us-per-request", .value = 100, .summary = "microseconds that each request adds to a step"},
            {.name = "prefill-us", .value = 20, .summary = "microseconds for each token of prefill not in the cache"},
            {.name = "batch", .value = 64, .summary = "maximum number of requests in one step"},
            {.name = "cache-blocks",
             .value = 4096,
             .summary = "capacity of the prefix cache, in blocks of 64 bytes of prompt"},
            {.name = "checks-orders", .value = 0, .summary = "1: orders with an old fencing number are refused"},
            {.name = "stall", .value = 0, .summary = "1: no step is started"},
            {.name = "break-after-tokens", .value = 0, .summary = "close each stream after this many tokens; 0 is off"},
            {.name = "refuse", .value = 0, .summary = "1: chat requests are answered 503"},
            {.name = "load-lag-ms", .value = 0, .summary = "age of the reported load in milliseconds"},
            {.name = "cache-lag-ms", .value = 0, .summary = "age of the newest reported cache event in milliseconds"},
            {.name = "cache-gap", .value = 0, .summary = "every n-th cache event is lost; 0 is off"}};
}

} // namespace

EngineStandIn::EngineStandIn(EventLoop &loop)
    : StandIn(loop, engineSwitches())
    , m_cache([this](std::uint64_t block, bool stored) {
        const auto gap = static_cast<std::uint64_t>(switchValue("cache-gap"));
        m_cacheEvents.add(block, stored, wallMilliseconds(), gap != 0 && ++m_cacheChanges % gap == 0);
    })
{
    sampleLoad();
}

void EngineStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto parts = pathParts(request.path);
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        handleChat(exchange);
    } else if (parts.size() == 3 && parts[0] == "requests" && parts[2] == "cancel" && request.method == "POST") {
        respondJson(*exchange, 200, {{"cancelled", cancel([&id = parts[1]](const EngineRequest &candidate) {
                                          return candidate.options().id == id;
                                      })}});
    } else if (request.path == "/load") {
        respondJson(*exchange, 200, reportedLoad());
    } else if (request.path == "/cache-events") {
        respondJson(*exchange, 200,
                    m_cacheEvents.page(static_cast<std::uint64_t>(queryNumber(request, "from", 1)), wallMilliseconds(),
                                       switchValue("cache-lag-ms")));
    } else if (request.path == "/orders") {
        handleOrder(exchange);
    } else if (parts.size() == 2 && parts[0] == "kv") {
        handleKeyValueCache(parts[1], exchange);
    } else {
        respondError(*exchange, 404, "unknown path");
    }
}

void EngineStandIn::handleChat(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        respondError(*exchange, 400, "the request is not a JSON object");
        return;
    }
    if (switchValue("refuse") != 0) {
        count("refused");
        respondError(*exchange, 503, "the switch refuse is set");
        return;
    }
    EngineRequest::Options options{
        .id = std::string(request.header("X-Request-Id")),
        .priority = static_cast<int>(parseNumber(request.header("X-Priority"), -1000, 1000).value_or(0))};
    if (options.id.empty()) {
        options.id = "unnamed-" + std::to_string(++m_unnamedRequests);
    }
    const auto tokens = [&body](const char *key, std::uint64_t fallback) {
        const auto field = body.find(key);
        const bool usable = field != body.end() && field->is_number_unsigned();
        return usable ? std::min(MaxTokens, field->get<std::uint64_t>()) : fallback;
    };
    options.maxTokens = tokens("max_tokens", options.maxTokens);
    options.resumeFrom = tokens("resume_from", 0);
    options.stream = body.value("stream", nlohmann::json(false)) == nlohmann::json(true);
    options.model = body.value("model", nlohmann::json("")).is_string() ? body.value("model", "") : "";
    const auto queued =
        std::make_shared<EngineRequest>(options, PromptText::fromRequest(body), exchange,
                                        [this](std::function<void()> task) { loop().post(std::move(task)); });
    exchange->onClosed([this, weakRequest = std::weak_ptr(queued)] {
        loop().post([this, weakRequest] {
            // Compares the object, not the id: another attempt with the same id may be running.
            const auto request = weakRequest.lock();
            if (request && cancel([&](const EngineRequest &candidate) { return &candidate == request.get(); })) {
                count("callers-gone");
            }
        });
    });
    count("requests");
    m_waiting[options.priority].push_back(queued);
    beginStep();
}

void EngineStandIn::handleOrder(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().method != "POST") {
        respondJson(*exchange, 200, {{"highest", m_highestFencing}, {"orders", m_orders}});
        return;
    }
    const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object() || !body.contains("order") || !body.contains("fencing")
        || !body["fencing"].is_number_unsigned()) {
        respondError(*exchange, 400, "an order needs 'fencing', a whole number, and 'order'");
        return;
    }
    const auto fencing = body["fencing"].get<std::uint64_t>();
    if (switchValue("checks-orders") != 0 && fencing < m_highestFencing) {
        count("orders-fenced-off");
        respondJson(*exchange, 409, {{"accepted", false}, {"highest", m_highestFencing}});
        return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    count("orders");
    m_orders.push_back(body);
    if (m_orders.size() > MaxOrders) {
        m_orders.pop_front();
    }
    respondJson(*exchange, 200, {{"accepted", true}, {"highest", m_highestFencing}});
}

void EngineStandIn::handleKeyValueCache(const std::string &id, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.method == "PUT") {
        const auto known = m_cache.store(PromptText(request.body).blocks(),
                                         static_cast<std::size_t>(std::max(0LL, switchValue("cache-blocks"))));
        count("imports");
        respondJson(*exchange, 200, {{"known-blocks", known}});
        return;
    }
    const auto kept = m_exports.find(id);
    if (kept == m_exports.end()) {
        respondError(*exchange, 404, "no cache is stored for this request");
        return;
    }
    count("exports");
    exchange->respond(
        HttpResponse{.headers = {{.name = "Content-Type", .value = "application/octet-stream"}}, .body = kept->second});
}

bool EngineStandIn::cancel(const std::function<bool(const EngineRequest &)> &isMatch)
{
    const auto matches = [&isMatch](const RequestPtr &request) { return isMatch(*request); };
    for (auto &[priority, queue] : m_waiting) {
        if (const auto found = std::find_if(queue.begin(), queue.end(), matches); found != queue.end()) {
            (*found)->abortResponse();
            queue.erase(found);
            count("cancelled");
            return true;
        }
    }
    const auto found =
        std::find_if(m_batch.begin(), m_batch.end(), [&](const Running &running) { return matches(running.request); });
    if (found == m_batch.end()) {
        return false;
    }
    found->request->abortResponse();
    m_batch.erase(found);
    count("cancelled");
    return true;
}

void EngineStandIn::beginStep()
{
    if (m_isStepping) {
        return;
    }
    if (switchValue("stall") != 0) {
        m_isStepping = true;
        loop().after(StallPoll, [this] {
            m_isStepping = false;
            beginStep();
        });
        return;
    }
    const auto prefill = admit();
    if (m_batch.empty()) {
        return;
    }
    m_isStepping = true;
    m_stepTime = milliseconds(switchValue("step-ms"))
        + microseconds(switchValue("step-us-per-request")) * static_cast<long long>(m_batch.size()) + prefill;
    loop().after(m_stepTime, [this] { endStep(); });
}

microseconds EngineStandIn::admit()
{
    microseconds prefill{0};
    const auto slots = static_cast<std::size_t>(std::max(1LL, switchValue("batch")));
    for (auto &[priority, queue] : m_waiting) {
        while (!queue.empty() && m_batch.size() < slots) {
            const auto request = queue.front();
            queue.pop_front();
            const auto &prompt = request->prompt();
            const auto hits =
                m_cache.store(prompt.blocks(), static_cast<std::size_t>(std::max(0LL, switchValue("cache-blocks"))));
            const auto cached = hits * PromptText::BytesPerBlock / PromptText::BytesPerToken;
            prefill += microseconds(switchValue("prefill-us")) * static_cast<long long>(prompt.tokens() - cached);
            count("cached-tokens", cached);
            count("prefill-tokens", prompt.tokens() - cached);
            recordExport(*request);
            m_batch.push_back({.request = request, .cachedTokens = cached});
        }
    }
    return prefill;
}

void EngineStandIn::endStep()
{
    m_isStepping = false;
    std::vector<Running> continuing;
    for (auto &running : m_batch) {
        auto &request = *running.request;
        if (!request.isComplete()) {
            request.generateToken();
            count("tokens");
            ++m_stepTokens;
        }
        if (shouldAbort(request)) {
            count("broken-off");
            request.abortResponse();
        } else if (request.isComplete()) {
            count("finished");
            request.finish(running.cachedTokens);
        } else {
            continuing.push_back(std::move(running));
        }
    }
    m_batch = std::move(continuing);
    beginStep();
}

bool EngineStandIn::shouldAbort(const EngineRequest &request) const
{
    const auto limit = switchValue("break-after-tokens");
    return limit > 0 && request.progress() - request.options().resumeFrom >= static_cast<std::uint64_t>(limit);
}

void EngineStandIn::recordExport(const EngineRequest &request)
{
    const auto &id = request.options().id;
    if (m_exports.insert_or_assign(id, request.prompt().text()).second) {
        m_exportOrder.push_back(id);
    }
    if (m_exportOrder.size() > MaxExports) {
        m_exports.erase(m_exportOrder.front());
        m_exportOrder.pop_front();
    }
}

nlohmann::json EngineStandIn::currentLoad() const
{
    std::size_t waiting = 0;
    for (const auto &[priority, queue] : m_waiting) {
        waiting += queue.size();
    }
    return {{"running", m_batch.size()},
            {"waiting", waiting},
            {"tokens_per_s", m_tokensPerSecond},
            {"cached_blocks", m_cache.size()},
            {"step_us", m_stepTime.count()}};
}

nlohmann::json EngineStandIn::reportedLoad()
{
    const auto lag = milliseconds(switchValue("load-lag-ms"));
    if (lag.count() == 0) {
        return currentLoad();
    }
    const auto limit = steady_clock::now() - lag;
    const auto newer =
        std::find_if(m_loads.begin(), m_loads.end(), [limit](const Load &load) { return load.sampledAt > limit; });
    return newer == m_loads.begin() ? m_loads.front().report : std::prev(newer)->report;
}

void EngineStandIn::sampleLoad()
{
    const auto now = steady_clock::now();
    m_tokensPerSecond =
        static_cast<double>(std::exchange(m_stepTokens, 0)) * (std::chrono::seconds(1) / SampleInterval);
    m_loads.push_back({.sampledAt = now, .report = currentLoad()});
    while (m_loads.front().sampledAt + MaxLoadLag < now) {
        m_loads.pop_front();
    }
    loop().after(SampleInterval, [this] { sampleLoad(); });
}

} // namespace Heatherridge
