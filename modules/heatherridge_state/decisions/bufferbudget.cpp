#include "heatherridge_state/decisions/bufferbudget.h"

#include <algorithm>
#include <cassert>

namespace Heatherridge
{

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

std::optional<std::size_t> BufferBudget::largestHolder(std::span<const std::size_t> held)
{
    const auto largest = std::max_element(held.begin(), held.end());
    if (largest == held.end() || *largest == 0) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(largest - held.begin());
}

} // namespace Heatherridge
