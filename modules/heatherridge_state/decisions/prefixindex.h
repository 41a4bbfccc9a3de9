#pragma once

#include "heatherridge_state/base/clock.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** A small number that the owner of a PrefixIndex gives to a target. */
enum class TargetSlot : std::uint32_t {};

/** How much of a prompt a target is thought to hold. */
struct PrefixMatch
{
    TargetSlot target{};
    std::uint32_t blocks = 0; ///< leading blocks, of PrefixIndex::BlockBytes each

    bool operator==(const PrefixMatch &) const = default;
};

/** Bounds of a PrefixIndex. */
struct PrefixOptions
{
    std::size_t capacity = 1U << 15U; ///< blocks known at a time; 56 bytes each, so about 1.8 MB
    std::chrono::seconds lifetime{300}; ///< an engine's cache turns over within minutes; older knowledge misleads
};

/**
 * Which target likely holds a prompt's beginning in its cache.
 *
 * Load pattern: prompts that share long beginnings (instructions, a conversation so far). Without it each target
 * computes each of them. Knowledge comes from this entry's own placements at once and from the engines' events late
 * and with gaps, so it is a hint: a false match costs a prompt computed anew, nothing else. A gap in a target's events
 * is left alone for that reason: forgetting all that was known of the target costs more false misses than the gap hides
 * evictions. Only a restart, which empties the cache, makes older knowledge void. Memory is fixed: a table by hash, in
 * which a new block takes the place of the one unused for longest among Ways. One thread.
 */
class PrefixIndex
{
public:
    /** About 64 tokens: shorter blocks cost memory, longer ones miss shared beginnings. */
    static constexpr std::size_t BlockBytes = 256;
    /** Blocks of a prompt that are looked at: 8 KB; beyond, the match is long enough to decide. */
    static constexpr std::size_t MaxBlocks = 32;

    explicit PrefixIndex(PrefixOptions options = {});

    /** One hash a whole block of @p prompt, each over all before it too, at most MostBlocks. */
    static std::vector<std::uint64_t> hashChain(std::string_view prompt);

    /** @p target now holds @p chain. */
    void insert(TargetSlot target, std::span<const std::uint64_t> chain, SteadyTime now);

    /** @p target has evicted the block @p hash. */
    void erase(TargetSlot target, std::uint64_t hash);

    /** @p target was restarted or is unreachable: what was known of it counts no more. Walks the whole table. */
    void removeTarget(TargetSlot target);

    /** Every target that holds at least the first block of @p chain, the longest match first. */
    std::vector<PrefixMatch> match(std::span<const std::uint64_t> chain, SteadyTime now) const;

private:
    static constexpr std::size_t Ways = 4;
    static constexpr std::size_t MaxHolders = 8; ///< a hotter block than that is spread enough

    struct Block
    {
        std::uint64_t hash = 0; ///< 0 for a free place
        SteadyTime lastUsed{};
        std::array<std::uint32_t, MaxHolders> holders{}; ///< slot + 1; 0 for none
        std::uint32_t nextHolder = 0; ///< which to replace next
    };

    std::size_t setBegin(std::uint64_t hash) const;
    const Block *find(std::uint64_t hash, SteadyTime now) const;

    PrefixOptions m_options;
    std::vector<Block> m_blocks;
};

} // namespace Heatherridge
