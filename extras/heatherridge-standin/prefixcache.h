#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace Heatherridge
{

/** Least-recently-used cache of an engine's prompt prefix blocks. Not thread-safe. */
class PrefixCache
{
public:
    /** Called for each block that is stored (true) or removed (false). */
    using ChangeCallback = std::function<void(std::uint64_t block, bool stored)>;

    /** Creates an empty cache that calls @p onChange for each change. */
    explicit PrefixCache(ChangeCallback onChange);

    /** Stores @p blocks, then evicts down to @p capacity blocks. @returns how many leading ones were cached before. */
    std::size_t store(const std::vector<std::uint64_t> &blocks, std::size_t capacity);

    /** Returns the number of cached blocks. */
    std::size_t size() const;

private:
    void touch(std::uint64_t block);

    ChangeCallback m_onChange;
    std::list<std::uint64_t> m_lruOrder; // most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
};

} // namespace Heatherridge
