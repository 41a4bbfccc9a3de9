#include "heatherridge_state/decisions/prefixindex.h"

#include <xxhash.h>

#include <algorithm>

namespace Heatherridge
{

PrefixIndex::PrefixIndex(PrefixOptions options)
    : m_options(options)
    , m_blocks(std::max<std::size_t>(options.capacity / Ways, 1) * Ways)
{
}

std::vector<std::uint64_t> PrefixIndex::hashChain(std::string_view prompt)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = 0;
    while (prompt.size() >= BlockBytes && chain.size() < MaxBlocks) {
        hash = XXH3_64bits_withSeed(prompt.data(), BlockBytes, hash);
        chain.push_back(std::max<std::uint64_t>(hash, 1));
        prompt.remove_prefix(BlockBytes);
    }
    return chain;
}

void PrefixIndex::insert(TargetSlot target, std::span<const std::uint64_t> chain, SteadyTime now)
{
    const auto holder = static_cast<std::uint32_t>(target) + 1;
    for (const auto hash : chain) {
        const auto first = m_blocks.begin() + static_cast<std::ptrdiff_t>(setBegin(hash));
        const auto last = first + Ways;
        auto position = std::find_if(first, last, [hash](const Block &block) { return block.hash == hash; });
        if (position == last) {
            position =
                std::min_element(first, last, [](const Block &a, const Block &b) { return a.lastUsed < b.lastUsed; });
            *position = Block{.hash = hash};
        }
        position->lastUsed = now;
        auto &holders = position->holders;
        if (std::find(holders.begin(), holders.end(), holder) == holders.end()) {
            holders[position->nextHolder++ % MaxHolders] = holder;
        }
    }
}

void PrefixIndex::erase(TargetSlot target, std::uint64_t hash)
{
    const auto first = m_blocks.begin() + static_cast<std::ptrdiff_t>(setBegin(hash));
    const auto position = std::find_if(first, first + Ways, [hash](const Block &block) { return block.hash == hash; });
    if (position != first + Ways) {
        std::replace(position->holders.begin(), position->holders.end(), static_cast<std::uint32_t>(target) + 1, 0U);
    }
}

void PrefixIndex::removeTarget(TargetSlot target)
{
    for (auto &block : m_blocks) {
        std::replace(block.holders.begin(), block.holders.end(), static_cast<std::uint32_t>(target) + 1, 0U);
    }
}

std::vector<PrefixMatch> PrefixIndex::match(std::span<const std::uint64_t> chain, SteadyTime now) const
{
    std::vector<PrefixMatch> matches;
    std::uint32_t depth = 0;
    for (const auto hash : chain) {
        const Block *block = find(hash, now);
        if (block == nullptr) {
            break;
        }
        for (const auto holder : block->holders) {
            if (holder == 0) {
                continue;
            }
            const auto target = static_cast<TargetSlot>(holder - 1);
            const auto known = std::find_if(matches.begin(), matches.end(),
                                            [target](const PrefixMatch &match) { return match.target == target; });
            if (known == matches.end() && depth == 0) {
                matches.push_back({.target = target, .blocks = 1});
            } else if (known != matches.end() && known->blocks == depth) {
                ++known->blocks; // a block after a missing one is useless to the engine
            }
        }
        ++depth;
    }
    std::stable_sort(matches.begin(), matches.end(),
                     [](const PrefixMatch &a, const PrefixMatch &b) { return a.blocks > b.blocks; });
    return matches;
}

std::size_t PrefixIndex::setBegin(std::uint64_t hash) const
{
    return (hash % (m_blocks.size() / Ways)) * Ways;
}

const PrefixIndex::Block *PrefixIndex::find(std::uint64_t hash, SteadyTime now) const
{
    const auto first = m_blocks.begin() + static_cast<std::ptrdiff_t>(setBegin(hash));
    const auto position = std::find_if(first, first + Ways, [hash](const Block &block) { return block.hash == hash; });
    const bool isKnown = position != first + Ways && now - position->lastUsed <= m_options.lifetime;
    return isKnown ? &*position : nullptr;
}

} // namespace Heatherridge
