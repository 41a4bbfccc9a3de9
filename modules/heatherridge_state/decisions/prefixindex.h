#pragma once

#include "heatherridge_state/base/clock.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** Small integer that the owner of a PrefixIndex assigns to a target. */
enum class TargetSlot : std::uint32_t {};

/** Length of a prompt's prefix that a target probably has cached. */
struct PrefixMatch
{
    TargetSlot target{};
    std::uint32_t blocks = 0; ///< leading blocks of PrefixIndex::BlockBytes each

    bool operator==(const PrefixMatch &) const = default;
};

/** Limits of a PrefixIndex. */
struct PrefixOptions
{
    std::size_t capacity = 1U << 15U; ///< number of blocks in the table; 56 bytes each, so about 1.8 MB
    std::chrono::seconds lifetime{300}; ///< an engine's cache turns over within minutes; older entries mislead
};

/**
 * Predicts which targets hold the beginning of a prompt in their cache.
 *
 * Load pattern: prompts that share long beginnings (instructions, a conversation so far). Without the index, each
 * target computes each of them. Entries come from this entry's own placements immediately, and from the engines' events
 * with delay and gaps, so the index is a hint: a false match costs one prompt computed anew and nothing else. A gap in
 * a target's events is therefore ignored: discarding everything known of the target would cost more false misses than
 * the gap hides evictions. Only a restart, which empties the cache, invalidates older entries. Memory is fixed: a
 * set-associative hash table in which a new block replaces the least recently used of the Ways blocks in its set.
 * Single-threaded.
 */
class PrefixIndex
{
public:
    /** About 64 tokens: shorter blocks cost memory, longer ones miss shared beginnings. */
    static constexpr std::size_t BlockBytes = 256;
    /** Number of blocks of a prompt that are considered: 8 KB; a longer match would not change the decision. */
    static constexpr std::size_t MaxBlocks = 32;

    explicit PrefixIndex(PrefixOptions options = {});

    /**
     * Returns one hash per complete block of @p prompt, at most MaxBlocks. Each hash also covers all preceding blocks.
     */
    static std::vector<std::uint64_t> hashChain(std::string_view prompt);

    /** Records that @p target now holds the blocks of @p chain. */
    void insert(TargetSlot target, std::span<const std::uint64_t> chain, SteadyTime now);

    /** Records that @p target has evicted the block @p hash. */
    void erase(TargetSlot target, std::uint64_t hash);

    /** Discards everything known of @p target, because it was restarted or is unreachable. Scans the whole table. */
    void removeTarget(TargetSlot target);

    /** Returns every target that holds at least the first block of @p chain, the longest match first. */
    std::vector<PrefixMatch> match(std::span<const std::uint64_t> chain, SteadyTime now) const;

private:
    static constexpr std::size_t Ways = 4;
    static constexpr std::size_t MaxHolders = 8; ///< a block held by more targets is already spread widely enough

    struct Block
    {
        std::uint64_t hash = 0; ///< 0 for an unused element
        SteadyTime lastUsed{};
        std::array<std::uint32_t, MaxHolders> holders{}; ///< slot + 1; 0 for none
        std::uint32_t nextHolder = 0; ///< index of the holder to replace next
    };

    std::size_t setBegin(std::uint64_t hash) const;
    const Block *find(std::uint64_t hash, SteadyTime now) const;

    PrefixOptions m_options;
    std::vector<Block> m_blocks;
};

} // namespace Heatherridge
