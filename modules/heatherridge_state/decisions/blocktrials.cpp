#include "heatherridge_state/decisions/blocktrials.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

BlockTrials::BlockTrials(const Options &options, SteadyTime firstTrial, std::uint32_t claimed)
    : m_options(options)
    , m_claimed(claimed)
    , m_claimedBefore(claimed)
    , m_claimedAtLastFailure(claimed)
    , m_next(firstTrial)
{
}

std::chrono::milliseconds BlockTrials::delay(const Options &options, std::uint32_t trials)
{
    auto delay = options.firstDelay;
    for (std::uint32_t trial = 0; trial < std::min(trials, options.maxFailed); ++trial) {
        delay *= options.delayGrowth;
    }
    return delay;
}

bool BlockTrials::isDue(SteadyTime now) const
{
    return now >= m_next && m_failed < m_options.maxFailed;
}

std::uint32_t BlockTrials::claimed() const
{
    return m_claimed;
}

std::uint32_t BlockTrials::failed() const
{
    return m_failed;
}

void BlockTrials::applyCounts(std::uint32_t claimed, std::uint32_t failed)
{
    m_claimed = std::max(m_claimed, claimed);
    if (failed > m_failed) {
        m_failed = failed;
        m_claimedAtLastFailure = m_claimed;
    }
}

bool BlockTrials::applyClaim(std::uint32_t number, bool isOwn, SteadyTime now)
{
    if (number <= m_claimed) {
        return false;
    }
    const bool mayUse = isOwn && now >= m_next; // else claimed before the block
    m_claimed = number;
    // Also if no target dies: the trial may have reached one.
    m_next = now + delay(m_options, number - m_claimedBefore);
    m_claimedUntil = mayUse ? now + m_options.claimLifetime : SteadyTime{};
    m_mayTryUntil = m_claimedUntil;
    return true;
}

bool BlockTrials::take(SteadyTime now)
{
    return now < std::exchange(m_mayTryUntil, SteadyTime{});
}

void BlockTrials::giveBack()
{
    m_mayTryUntil = m_claimedUntil;
}

bool BlockTrials::awaitsResult() const
{
    return m_claimed > m_claimedAtLastFailure;
}

void BlockTrials::recordFailure(SteadyTime now)
{
    ++m_failed;
    m_claimedAtLastFailure = m_claimed;
    m_next = now + delay(m_options, m_failed);
}

} // namespace Heatherridge
