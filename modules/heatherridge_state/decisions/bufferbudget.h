#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** Why a connection holds bytes. Connections end in this order. */
enum class HoldingStage {
    Stalled, ///< its other end has for some time neither sent the rest of its request nor read its response
    Arriving, ///< its request is not complete: it can be refused as not run
    Running, ///< its request is complete
};

/** Returns the name of @p stage, for the log. */
std::string_view toString(HoldingStage stage);

/** What one connection holds. */
struct BufferHolder
{
    std::size_t bytes = 0;
    HoldingStage stage = HoldingStage::Running;
};

/**
 * Bounds the bytes that one process holds for the other ends of all its connections.
 *
 * Load pattern: many callers send large bodies or stop reading at the same time. Each of them stays within the limit of
 * one connection, but together they exceed the memory of the host, and the process would end for all callers. Those
 * that keep others waiting end first, then requests that can be refused as not run. The last part of the memory is for
 * small requests, which are most, so that large ones do not shut them out. Single-threaded.
 */
class BufferBudget
{
public:
    /** Requests that hold as many bytes while they arrive are refused before the budget is exceeded. */
    static constexpr std::size_t LargeArrivalBytes = 64UL << 10U;

    /** Which connections may end. */
    enum class Scope {
        LargeArrivals, ///< stalled and arriving ones that hold LargeArrivalBytes
        All,
    };

    /** @param limit bytes that may be held in total */
    explicit BufferBudget(std::size_t limit);

    /** Records that a connection holds @p now bytes instead of @p before. */
    void change(std::size_t before, std::size_t now);

    /** Returns the bytes held in total. */
    std::size_t held() const;

    /** Returns whether more bytes are held than allowed. */
    bool isExceeded() const;

    /** Returns which connections may have to end now; nothing if there is room for all. */
    std::optional<Scope> scopeToEnd() const;

    /** Returns the index of the connection among @p holders that ends next: the one that holds most of those at the
     * first stage; nothing if none in @p scope holds anything. */
    static std::optional<std::size_t> nextToEnd(std::span<const BufferHolder> holders, Scope scope);

private:
    std::size_t m_limit;
    std::size_t m_held = 0;
};

} // namespace Heatherridge
