#pragma once

#include "cacheevents.h"
#include "enginerequest.h"
#include "prefixcache.h"
#include "standin.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * A model engine with continuous batching.
 *
 * Each step generates one token for every request in the batch. A step takes longer for a larger batch, and longer
 * again for the prompts that join it, unless their prefixes are cached. Waiting requests join by priority, then in
 * the order of arrival.
 *
 * - `POST /v1/chat/completions`: the usual format, streamed or not; `resume_from` omits tokens that the caller already
 *   has; the headers `X-Request-Id` and `X-Priority` set the id and the priority of the request.
 * - `POST /requests/ID/cancel` cancels a request, as does a caller that disconnects.
 * - `GET /load`, `GET /cache-events?from=N`: delayed, the latter with gaps.
 * - `POST /orders` `{"fencing":N,"order":...}`, refused with a lower fencing number than before if the switch
 *   `checks-orders` is on; `GET /orders` lists the accepted ones.
 * - `GET /kv/ID` exports the cache of a running or finished request, `PUT /kv/ID` imports it.
 */
class EngineStandIn final : public StandIn
{
public:
    /** Creates an idle engine. */
    explicit EngineStandIn(EventLoop &loop);

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    using RequestPtr = std::shared_ptr<EngineRequest>;

    struct Running
    {
        RequestPtr request{};
        std::size_t cachedTokens = 0;
    };

    struct Load
    {
        std::chrono::steady_clock::time_point sampledAt{};
        nlohmann::json report{};
    };

    void handleChat(const std::shared_ptr<HttpExchange> &exchange);
    void handleOrder(const std::shared_ptr<HttpExchange> &exchange);
    void handleKeyValueCache(const std::string &id, const std::shared_ptr<HttpExchange> &exchange);
    bool cancel(const std::function<bool(const EngineRequest &)> &isMatch);
    void beginStep();
    void endStep();
    std::chrono::microseconds admit();
    bool shouldAbort(const EngineRequest &request) const;
    void recordExport(const EngineRequest &request);
    nlohmann::json currentLoad() const;
    nlohmann::json reportedLoad();
    void sampleLoad();

    std::map<int, std::deque<RequestPtr>, std::greater<>> m_waiting; // by priority
    std::vector<Running> m_batch;
    bool m_isStepping = false;
    std::uint64_t m_stepTokens = 0; // tokens generated since the last sample
    double m_tokensPerSecond = 0;
    std::chrono::microseconds m_stepTime{0};
    std::deque<Load> m_loads; // oldest first
    PrefixCache m_cache;
    std::uint64_t m_cacheChanges = 0;
    CacheEvents m_cacheEvents;
    std::uint64_t m_highestFencing = 0;
    std::deque<nlohmann::json> m_orders;
    std::map<std::string, std::string> m_exports; // prompts of admitted requests, by id
    std::deque<std::string> m_exportOrder; // oldest first
    std::uint64_t m_unnamedRequests = 0;
};

} // namespace Heatherridge
