#pragma once

#include "eventloop.h"
#include "workload.h"

#include <functional>
#include <list>
#include <utility>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** Service time and memory model of one engine. */
struct EngineOptions
{
    std::chrono::microseconds baseStepTime{20'000}; ///< duration of a step before the additions below
    std::chrono::microseconds stepTimePerSequence{500}; ///< added for each sequence that generates
    std::chrono::microseconds stepTimePerPromptToken{60};
    double maxPromptTokensPerStep = 512; ///< prompts are computed in chunks, so that other answers keep generating
    double memoryTokens = 90'000; ///< limit for all sequences in the batch; requests beyond it wait inside the engine
    double cacheTokens = 24'000; ///< capacity of the prefix cache; the least recently used prefix is evicted first
};

/** Result of a completed request. */
struct EngineResult
{
    std::chrono::microseconds timeToFirstToken{}; ///< from submission to the first token
    std::chrono::microseconds tokenGap{}; ///< mean time between tokens
    double generated = 0;
    bool hadPrefix = false;
};

/** Reports that a prefix was stored in the cache or evicted from it. */
struct CacheEvent
{
    int prefix = 0;
    bool stored = false;
};

/**
 * A model engine that batches continuously and caches prompt prefixes.
 *
 * A step takes baseStepTime + stepTimePerSequence * (generating sequences) + stepTimePerPromptToken * (prompt tokens
 * computed), multiplied by the slowness, and adds one token to each generating sequence. Requests join the batch in the
 * order of submission while memory is available.
 */
class FakeEngine
{
public:
    FakeEngine(EngineOptions options, EventLoop &loop);

    /** Submits @p job; calls @p done when it completes. */
    void submit(const Job &job, std::function<void(const EngineResult &)> done);

    /** Callbacks for the end of each step, with its duration, and for the first token of a request, with the time of
     * its submission.
     */
    struct Watcher
    {
        std::function<void(std::chrono::microseconds)> stepped{};
        std::function<void(const Job &, SteadyTime)> firstToken{};
    };

    /** Sets the callbacks, all of which must be set before the first submission. */
    void setWatcher(Watcher watcher)
    {
        m_watcher = std::move(watcher);
    }

    /** Drops all requests and the cache without calling back; the owner has to fail the dropped requests. */
    void crash();

    /** Multiplies all step times by @p factor. */
    void setSlowness(double factor);

    /** Returns the factor set by setSlowness(). */
    double slowness() const
    {
        return m_slowness;
    }

    /** Returns whether @p prefix is in the cache. */
    bool isCached(int prefix) const;

    /** Returns the time needed to complete all submitted requests, from their actual answer lengths. */
    std::chrono::microseconds trueBacklog() const;

    /** Returns the cache events since the last call. */
    std::vector<CacheEvent> collectCacheEvents()
    {
        return std::exchange(m_events, {});
    }

    /** Returns the number of sequences in the batch and waiting for it. */
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
    std::uint64_t m_generation = 0; ///< incremented by each crash; a step scheduled before the crash is ignored
};

} // namespace Heatherridge::PolicyModel
