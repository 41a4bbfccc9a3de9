#pragma once

#include <cstdint>
#include <random>

namespace Heatherridge
{

/** Where a component draws random numbers from, so that tests can fix them. One thread at a time. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** A number drawn evenly from all 64-bit values. */
    virtual std::uint64_t draw() = 0;

    /** A number drawn evenly from 0 to @p bound - 1; @p bound must not be 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return draw() % bound; // the bias is below bound / 2^64, without effect for any bound used here
    }

    /** A number drawn evenly from [0, 1). */
    double fraction()
    {
        return static_cast<double>(draw() >> 11U) * 0x1.0p-53;
    }
};

/** Numbers from a Mersenne twister: the same for the same seed on every machine. */
class SeededRandom final : public RandomSource
{
public:
    /** Starts the sequence that belongs to @p seed. */
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
