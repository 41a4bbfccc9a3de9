#include "heatherridge_coordination/groups/demandsampler.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

/** A round is closed after this time with the answers that have arrived. */
constexpr std::chrono::milliseconds RoundTimeout{400};
/**
 * While no demand is known, rounds are this many times as frequent: after a power failure every group uses a map that
 * fits no demand, and its passes take two to three times as long until the first round has a result.
 */
constexpr int InitialRateFactor = 3;

} // namespace

DemandSampler::DemandSampler(RankControl &control, std::chrono::milliseconds period)
    : m_control(control)
    , m_period(period)
{
}

void DemandSampler::setModelShape(int sets, int experts)
{
    if (m_demand && m_shape == std::pair(sets, experts)) {
        return;
    }
    m_shape = {sets, experts};
    m_expertCount = static_cast<std::size_t>(sets) * static_cast<std::size_t>(experts);
    m_demand = std::make_unique<ExpertDemand>(sets, experts);
    m_lastCounts.clear();
    m_isRoundOpen = false;
    m_roundToken.reset();
}

bool DemandSampler::tick(SteadyTime now, const std::function<std::vector<TargetEntry>()> &ranks)
{
    if (!m_demand) {
        return false;
    }
    if (m_isRoundOpen) {
        if (m_pendingAnswers > 0 && now - m_roundStartedAt <= RoundTimeout) {
            return false;
        }
        m_isRoundOpen = false;
        m_roundToken.reset();
        m_demand->addWindow(m_window);
        return !m_demand->bySet().empty();
    }
    if (now < m_nextRoundAt) {
        return false;
    }
    const auto asked = ranks();
    if (!asked.empty()) {
        startRound(now, asked);
    }
    return false;
}

const std::vector<SetDemand> &DemandSampler::demandBySet() const
{
    return m_demand->bySet();
}

double DemandSampler::lastDistance() const
{
    return m_demand->lastDistance();
}

void DemandSampler::startRound(SteadyTime now, const std::vector<TargetEntry> &ranks)
{
    m_nextRoundAt = now + (m_demand->bySet().empty() ? m_period / InitialRateFactor : m_period);
    m_roundStartedAt = now;
    m_window.assign(m_expertCount, 0);
    m_pendingAnswers = ranks.size();
    m_isRoundOpen = true;
    m_roundToken = std::make_shared<int>(0);
    for (const auto &rank : ranks) {
        m_control.fetchCounts(rank,
                              [this, id = rank.id, token = std::weak_ptr(m_roundToken)](Result<RankCounts> counts) {
                                  if (token.expired()) {
                                      return;
                                  }
                                  --m_pendingAnswers;
                                  if (errorIn(counts) == nullptr) {
                                      addCounts(id, std::get<RankCounts>(std::move(counts)));
                                  }
                              });
    }
}

void DemandSampler::addCounts(const TargetName &rank, RankCounts counts)
{
    if (counts.selectionCounts.size() != m_expertCount) {
        return;
    }
    const auto previous = m_lastCounts.find(rank);
    const bool isComparable = previous != m_lastCounts.end() && previous->second.epoch == counts.epoch;
    // The first reading has nothing to compare with: counts since the start of the engine are better than no data.
    const bool isFirst = previous == m_lastCounts.end() && m_demand->bySet().empty();
    for (std::size_t index = 0; (isComparable || isFirst) && index < m_expertCount; ++index) {
        const double baseline = isFirst ? 0 : previous->second.selectionCounts[index];
        m_window[index] += std::max(0.0, counts.selectionCounts[index] - baseline);
    }
    m_lastCounts.insert_or_assign(rank, std::move(counts));
}

} // namespace Heatherridge
