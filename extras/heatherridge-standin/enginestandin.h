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
 * A model engine that batches continuously.
 *
 * Each step makes one token for every request of the batch. A step takes longer the larger the batch is, and longer
 * again for the prompts that join it, as far as their prefixes are not in the cache. Waiting requests join by
 * priority, then in the order of arrival.
 *
 * - `POST /v1/chat/completions`: the usual shape, streamed or not; `resume_from` leaves out tokens that the caller has;
 *   the headers `X-Request-Id` and `X-Priority` name and rank the request.
 * - `POST /requests/ID/cancel` ends a request; a caller that leaves does so too.
 * - `GET /load`, `GET /cache-events?from=N`: late, the latter with gaps.
 * - `POST /orders` `{"fencing":N,"order":...}`, refused with an old number if the switch `checks-orders` is on;
 *   `GET /orders` lists those obeyed.
 * - `GET /kv/ID` exports the cache of a request that is or was here, `PUT /kv/ID` imports it.
 */
class EngineStandIn final : public StandIn
{
public:
    /** An idle engine. */
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
    std::uint64_t m_stepTokens = 0; // tokens made since the last sample
    double m_tokensPerSecond = 0;
    std::chrono::microseconds m_stepTime{0};
    std::deque<Load> m_loads; // oldest first
    PrefixCache m_cache;
    std::uint64_t m_cacheChanges = 0;
    CacheEvents m_cacheEvents;
    std::uint64_t m_highestFencing = 0;
    std::deque<nlohmann::json> m_orders;
    std::map<std::string, std::string> m_exports; // prompts of finished requests, by id
    std::deque<std::string> m_exportOrder; // oldest first
    std::uint64_t m_unnamedRequests = 0;
};

} // namespace Heatherridge
