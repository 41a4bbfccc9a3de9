#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/promptpartrecord.h"

#include <chrono>
#include <cstddef>
#include <list>
#include <unordered_map>

namespace Heatherridge
{

/**
 * Bounded memory of the prompt parts that were answered, with the time of the last answer.
 *
 * Load pattern: some tens of parts are in most prompts; thousands of others come once or twice, and a caller may send
 * nothing but new ones. The least recently answered part is dropped first, so the popular ones stay. Single-threaded.
 */
class AnsweredParts
{
public:
    struct Options
    {
        std::size_t maxParts = 8'192;
        std::chrono::milliseconds retention{600'000}; ///< since the last answer
    };

    explicit AnsweredParts(Options options)
        : m_options(options)
    {
    }

    /** Records an answer to a request with @p part. Times must not decrease. */
    void add(PromptPart part, SteadyTime now);

    /** Returns whether an answer to @p part is remembered. */
    bool contains(PromptPart part) const;

    /** Drops parts without an answer within the retention time. */
    void evictExpired(SteadyTime now);

private:
    struct Entry
    {
        PromptPart part{};
        SteadyTime lastAnswer{};
    };

    void dropOldest();

    Options m_options;
    std::list<Entry> m_entries; ///< least recently answered first
    std::unordered_map<PromptPart, std::list<Entry>::iterator> m_positions;
};

} // namespace Heatherridge
