#include "heatherridge_state/decisions/bufferbudget.h"

#include <array>
#include <cassert>

namespace Heatherridge
{

namespace
{

/** Part of the limit that only small requests may take. */
constexpr std::size_t SmallRequestShare = 16;

bool mayEnd(const BufferHolder &holder, BufferBudget::Scope scope)
{
    return scope == BufferBudget::Scope::All
        ? holder.bytes > 0
        : holder.stage != HoldingStage::Running && holder.bytes >= BufferBudget::LargeArrivalBytes;
}

} // namespace

std::string_view toString(HoldingStage stage)
{
    constexpr std::array<std::string_view, 3> names{"stalled", "arriving", "running"};
    return names.at(static_cast<std::size_t>(stage));
}

BufferBudget::BufferBudget(std::size_t limit)
    : m_limit(limit)
{
}

void BufferBudget::change(std::size_t before, std::size_t now)
{
    assert(m_held >= before);
    m_held = m_held - before + now;
}

std::size_t BufferBudget::held() const
{
    return m_held;
}

bool BufferBudget::isExceeded() const
{
    return m_held > m_limit;
}

std::optional<BufferBudget::Scope> BufferBudget::scopeToEnd() const
{
    if (isExceeded()) {
        return Scope::All;
    }
    return m_held > m_limit - m_limit / SmallRequestShare ? std::optional(Scope::LargeArrivals) : std::nullopt;
}

std::optional<std::size_t> BufferBudget::nextToEnd(std::span<const BufferHolder> holders, Scope scope)
{
    std::optional<std::size_t> next;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const auto &holder = holders[index];
        const bool isEarlier = !next || holder.stage < holders[*next].stage
            || (holder.stage == holders[*next].stage && holder.bytes > holders[*next].bytes);
        if (mayEnd(holder, scope) && isEarlier) {
            next = index;
        }
    }
    return next;
}

} // namespace Heatherridge
