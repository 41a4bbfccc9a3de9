#include "prefixcache.h"

#include <utility>

namespace Heatherridge
{

PrefixCache::PrefixCache(Changed changed)
    : m_changed(std::move(changed))
{
}

std::size_t PrefixCache::store(const std::vector<std::uint64_t> &blocks, std::size_t capacity)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_places.contains(blocks[hits])) {
        ++hits;
    }
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        touch(*block); // backwards, so that the start of a prompt is the last to go
    }
    while (m_byUse.size() > capacity) {
        const auto block = m_byUse.back();
        m_byUse.pop_back();
        m_places.erase(block);
        m_changed(block, false);
    }
    return hits;
}

std::size_t PrefixCache::size() const
{
    return m_byUse.size();
}

void PrefixCache::touch(std::uint64_t block)
{
    if (const auto place = m_places.find(block); place != m_places.end()) {
        m_byUse.splice(m_byUse.begin(), m_byUse, place->second);
        return;
    }
    m_byUse.push_front(block);
    m_places[block] = m_byUse.begin();
    m_changed(block, true);
}

} // namespace Heatherridge
