#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Heatherridge
{

/** Which random conversations are held, and for how long. */
struct SearchOptions
{
    std::uint64_t seed = 0; ///< of the first conversation; each further one has the next
    int maxConversations = 0;
    std::chrono::seconds searchTime{0}; ///< no conversation begins after it
    std::chrono::seconds shrinkTime{0}; ///< for simpler forms of a conversation in which a rule was broken
    std::size_t atOnce = 1; ///< conversations held at the same time, most of which wait
};

struct SearchResult
{
    int conversations = 0;
    std::string report{}; ///< the simplest conversation found in which a rule was broken; empty if there was none
};

/** Holds random conversations until a rule is broken, then seeks a simpler conversation that breaks one. */
SearchResult searchConversations(const SearchOptions &options);

} // namespace Heatherridge
