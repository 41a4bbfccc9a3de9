#include "fakeengine.h"

#include <algorithm>

namespace Heatherridge::PolicyModel
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

FakeEngine::FakeEngine(EngineOptions options, EventLoop &loop)
    : m_options(options)
    , m_loop(loop)
{
}

void FakeEngine::submit(const Job &job, std::function<void(const EngineResult &)> done)
{
    m_waiting.push_back({.job = job, .done = std::move(done), .submitted = m_loop.now()});
    if (!m_stepping) {
        scheduleStep();
    }
}

void FakeEngine::crash()
{
    ++m_generation;
    m_waiting.clear();
    m_batch.clear();
    m_cache.clear();
    m_memory = 0;
    m_stepping = false;
}

void FakeEngine::setSlowness(double factor)
{
    m_slowness = factor;
}

bool FakeEngine::isCached(int prefix) const
{
    return std::any_of(m_cache.begin(), m_cache.end(), [prefix](const auto &entry) { return entry.first == prefix; });
}

microseconds FakeEngine::trueBacklog() const
{
    double prompt = 0;
    double answer = 0;
    double longest = 0;
    const auto add = [&](const Sequence &sequence) {
        prompt += sequence.promptLeft;
        answer += sequence.job.answerTokens - sequence.generated;
        longest = std::max(longest, sequence.job.answerTokens - sequence.generated);
    };
    std::for_each(m_batch.begin(), m_batch.end(), add);
    std::for_each(m_waiting.begin(), m_waiting.end(), add);
    const double time = prompt * static_cast<double>(m_options.stepTimePerPromptToken.count())
        + answer * static_cast<double>(m_options.stepTimePerSequence.count())
        + longest * static_cast<double>(m_options.baseStepTime.count());
    return microseconds(static_cast<long long>(time * m_slowness));
}

std::size_t FakeEngine::size() const
{
    return m_batch.size() + m_waiting.size();
}

void FakeEngine::admit()
{
    while (!m_waiting.empty()) {
        auto &next = m_waiting.front();
        const double memory = next.job.promptTokens + next.job.answerTokens;
        if (!m_batch.empty() && m_memory + memory > m_options.memoryTokens) {
            return;
        }
        m_memory += memory;
        next.hadPrefix = isCached(next.job.prefix);
        next.promptLeft = next.job.promptTokens - (next.hadPrefix ? next.job.prefixTokens : 0);
        touchCache(next.job.prefix, next.job.prefixTokens);
        m_batch.splice(m_batch.end(), m_waiting, m_waiting.begin());
    }
}

void FakeEngine::scheduleStep()
{
    admit();
    m_stepping = !m_batch.empty();
    if (!m_stepping) {
        return;
    }
    double prompt = 0;
    double generating = 0;
    for (const auto &sequence : m_batch) {
        prompt += sequence.promptLeft;
        generating += sequence.promptLeft <= 0 ? 1 : 0;
    }
    prompt = std::min(prompt, m_options.maxPromptTokensPerStep);
    const double time = static_cast<double>(m_options.baseStepTime.count())
        + generating * static_cast<double>(m_options.stepTimePerSequence.count())
        + prompt * static_cast<double>(m_options.stepTimePerPromptToken.count());
    const microseconds duration(static_cast<long long>(time * m_slowness));
    m_loop.after(duration, [this, prompt, duration, generation = m_generation] {
        if (generation == m_generation) {
            finishStep(prompt, duration);
        }
    });
}

void FakeEngine::finishStep(double promptBudget, microseconds duration)
{
    std::list<Sequence> finished;
    for (auto sequence = m_batch.begin(); sequence != m_batch.end();) {
        const auto current = sequence++;
        if (current->promptLeft > 0) {
            const double computed = std::min(current->promptLeft, promptBudget);
            current->promptLeft -= computed;
            promptBudget -= computed;
            if (current->promptLeft > 0) {
                continue;
            }
        }
        if (current->generated == 0) {
            current->firstToken = m_loop.now();
            m_watcher.firstToken(current->job, current->submitted);
        }
        current->generated += 1;
        if (current->generated >= current->job.answerTokens) {
            finished.splice(finished.end(), m_batch, current);
        }
    }
    for (auto &sequence : finished) {
        m_memory -= sequence.job.promptTokens + sequence.job.answerTokens;
    }
    m_watcher.stepped(duration);
    scheduleStep();
    for (const auto &sequence : finished) {
        const auto generating = duration_cast<microseconds>(m_loop.now() - sequence.firstToken);
        sequence.done({.timeToFirstToken = duration_cast<microseconds>(sequence.firstToken - sequence.submitted),
                       .tokenGap = generating / std::max(1L, static_cast<long>(sequence.generated) - 1),
                       .generated = sequence.generated,
                       .hadPrefix = sequence.hadPrefix});
    }
}

void FakeEngine::touchCache(int prefix, double tokens)
{
    if (!isCached(prefix)) {
        m_events.push_back({.prefix = prefix, .stored = true});
    }
    m_cache.remove_if([prefix](const auto &entry) { return entry.first == prefix; });
    m_cache.emplace_front(prefix, tokens);
    double cachedTokens = 0;
    for (const auto &entry : m_cache) {
        cachedTokens += entry.second;
    }
    while (cachedTokens > m_options.cacheTokens && m_cache.size() > 1) {
        cachedTokens -= m_cache.back().second;
        m_events.push_back({.prefix = m_cache.back().first, .stored = false});
        m_cache.pop_back();
    }
}

} // namespace Heatherridge::PolicyModel
