#pragma once

#include <cstddef>
#include <vector>

namespace Heatherridge
{

/**
 * Numbers that a random test has drawn, read one by one.
 *
 * After the last number, each further one is 0, which stands for the plainest choice: a shorter list with smaller
 * numbers describes a simpler conversation, so that a counterexample shrinks to what matters.
 */
class Draws
{
public:
    static constexpr int Bound = 240; ///< numbers are below it; divisible by all small counts of choices

    explicit Draws(std::vector<int> numbers)
        : m_numbers(std::move(numbers))
    {
    }

    /** Returns a number below @p count. */
    int below(int count)
    {
        return m_next < m_numbers.size() ? m_numbers[m_next++] % count : 0;
    }

    /** Returns true in one of @p count cases. */
    bool oneIn(int count)
    {
        return below(count) == count - 1;
    }

    /** Returns one of @p choices, the first of which is the plainest. */
    template<typename T, std::size_t Count>
    T choice(const T (&choices)[Count])
    {
        return choices[below(static_cast<int>(Count))];
    }

private:
    std::vector<int> m_numbers;
    std::size_t m_next = 0;
};

} // namespace Heatherridge
