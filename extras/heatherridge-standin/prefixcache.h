#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace Heatherridge
{

/** The blocks of prompt prefixes that an engine keeps, least recently used out first. One thread. */
class PrefixCache
{
public:
    /** Told of each block that is stored (true) or removed (false). */
    using ChangeCallback = std::function<void(std::uint64_t block, bool stored)>;

    /** An empty cache that reports to @p changed. */
    explicit PrefixCache(ChangeCallback onChange);

    /** Stores @p blocks and keeps at most @p capacity blocks. @returns how many leading ones were there before. */
    std::size_t store(const std::vector<std::uint64_t> &blocks, std::size_t capacity);

    /** How many blocks are kept. */
    std::size_t size() const;

private:
    void touch(std::uint64_t block);

    ChangeCallback m_onChange;
    std::list<std::uint64_t> m_lruOrder; // most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
};

} // namespace Heatherridge
