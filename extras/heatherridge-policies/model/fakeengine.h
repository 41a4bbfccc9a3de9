#pragma once

#include "eventloop.h"
#include "workload.h"

#include <functional>
#include <list>
#include <utility>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** Service model of one engine. */
struct EngineOptions
{
    std::chrono::microseconds baseStepTime{20'000}; ///< time of a step with an empty batch
    std::chrono::microseconds stepTimePerSequence{500}; ///< more for each sequence that generates
    std::chrono::microseconds stepTimePerPromptToken{60};
    double maxPromptTokensPerStep = 512; ///< prompts are computed in chunks, so that answers go on meanwhile
    double memoryTokens = 90'000; ///< of all sequences in the batch; beyond, requests wait inside the engine
    double cacheTokens = 24'000; ///< prompt prefixes kept, least recently used goes first
};

/** What an engine tells of one request when it has ended. */
struct EngineResult
{
    std::chrono::microseconds timeToFirstToken{}; ///< from submit to the first token
    std::chrono::microseconds tokenGap{}; ///< mean time between tokens
    double generated = 0;
    bool hadPrefix = false;
};

/** A prefix was stored in a cache or evicted from it. */
struct CacheEvent
{
    int prefix = 0;
    bool stored = false;
};

/**
 * A model engine that batches continuously and caches prompt prefixes.
 *
 * A step takes step + perSequence * (sequences that generate) + perPromptToken * (prompt tokens computed), times the
 * slowness; it gives each generating sequence one token. Requests enter the batch in the order of submission while
 * memory lasts.
 */
class FakeEngine
{
public:
    FakeEngine(EngineOptions options, EventLoop &loop);

    /** Takes @p job in; calls @p done at its end. */
    void submit(const Job &job, std::function<void(const EngineResult &)> done);

    /** Called at the end of each step with its duration, and with the time of submission of what gave its first token.
     */
    struct Watcher
    {
        std::function<void(std::chrono::microseconds)> stepped{};
        std::function<void(const Job &, SteadyTime)> firstToken{};
    };

    /** Sets who watches. */
    void setWatcher(Watcher watcher)
    {
        m_watcher = std::move(watcher);
    }

    /** Loses all work without a word; the cache too. What failed is for the owner to know. */
    void crash();

    /** Multiplies all step times by @p factor. */
    void setSlowness(double factor);

    /** The factor of setSlowness(). */
    double slowness() const
    {
        return m_slowness;
    }

    /** Whether the cache holds @p prefix. */
    bool isCached(int prefix) const;

    /** The time that all work in the engine still takes, as only the engine can know. */
    std::chrono::microseconds trueBacklog() const;

    /** Cache events since the last call. */
    std::vector<CacheEvent> collectCacheEvents()
    {
        return std::exchange(m_events, {});
    }

    /** Sequences in the batch and before it. */
    std::size_t size() const;

private:
    struct Sequence
    {
        Job job{};
        std::function<void(const EngineResult &)> done{};
        SteadyTime submitted{};
        SteadyTime firstToken{};
        double promptLeft = 0;
        double generated = 0;
        bool hadPrefix = false;
    };

    void admit();
    void scheduleStep();
    void finishStep(double promptBudget, std::chrono::microseconds duration);
    void touchCache(int prefix, double tokens);

    EngineOptions m_options;
    EventLoop &m_loop;
    Watcher m_watcher;
    std::list<Sequence> m_waiting;
    std::list<Sequence> m_batch;
    std::list<std::pair<int, double>> m_cache; ///< most recently used first
    std::vector<CacheEvent> m_events;
    double m_memory = 0;
    double m_slowness = 1;
    bool m_stepping = false;
    std::uint64_t m_generation = 0; ///< counts crashes, so that a step begun before one is void
};

} // namespace Heatherridge::PolicyModel
