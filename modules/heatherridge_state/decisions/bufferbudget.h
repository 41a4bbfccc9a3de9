#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Bounds the bytes that one process holds for the other ends of all its connections.
 *
 * Load pattern: many callers send large bodies or stop reading at the same time. Each of them stays within the limit of
 * one connection, but together they exceed the memory of the host, and the process would end for all callers.
 * Single-threaded.
 */
class BufferBudget
{
public:
    /** @param limit bytes that may be held in total */
    explicit BufferBudget(std::size_t limit);

    /** Records that a connection holds @p now bytes instead of @p before. */
    void change(std::size_t before, std::size_t now);

    /** Returns the bytes held in total. */
    std::size_t held() const;

    /** Returns whether a connection has to end. */
    bool isExceeded() const;

    /** Returns the index of the connection that has to end: the one that holds most of @p held; nothing if none holds
     * anything. */
    static std::optional<std::size_t> largestHolder(std::span<const std::size_t> held);

private:
    std::size_t m_limit;
    std::size_t m_held = 0;
};

} // namespace Heatherridge
