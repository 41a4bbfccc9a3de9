#pragma once

#include <cstdint>
#include <random>

namespace Heatherridge
{

/** Source of random numbers, which tests can replace. Must be used by one thread at a time. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** Returns a number uniformly distributed over all 64-bit values. */
    virtual std::uint64_t draw() = 0;

    /** Returns a number uniformly distributed from 0 to @p bound - 1; @p bound must not be 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return draw() % bound; // the modulo bias is below bound / 2^64, which is negligible for all bounds used
    }

    /** Returns a number uniformly distributed over [0, 1). */
    double fraction()
    {
        return static_cast<double>(draw() >> 11U) * 0x1.0p-53;
    }
};

/** Mersenne twister that produces the same sequence for a given seed on every machine. */
class SeededRandom final : public RandomSource
{
public:
    /** Constructs a generator that starts the sequence for @p seed. */
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t draw() override
    {
        return m_engine();
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace Heatherridge
