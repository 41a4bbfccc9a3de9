#include "prefixcache.h"

#include <utility>

namespace Heatherridge
{

PrefixCache::PrefixCache(ChangeCallback onChange)
    : m_onChange(std::move(onChange))
{
}

std::size_t PrefixCache::store(const std::vector<std::uint64_t> &blocks, std::size_t capacity)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_entries.contains(blocks[hits])) {
        ++hits;
    }
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        touch(*block); // in reverse, so that the start of a prompt is evicted last
    }
    while (m_lruOrder.size() > capacity) {
        const auto block = m_lruOrder.back();
        m_lruOrder.pop_back();
        m_entries.erase(block);
        m_onChange(block, false);
    }
    return hits;
}

std::size_t PrefixCache::size() const
{
    return m_lruOrder.size();
}

void PrefixCache::touch(std::uint64_t block)
{
    if (const auto entry = m_entries.find(block); entry != m_entries.end()) {
        m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, entry->second);
        return;
    }
    m_lruOrder.push_front(block);
    m_entries[block] = m_lruOrder.begin();
    m_onChange(block, true);
}

} // namespace Heatherridge
