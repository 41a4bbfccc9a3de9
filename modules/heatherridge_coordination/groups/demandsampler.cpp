#include "heatherridge_coordination/groups/demandsampler.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

/** A round is closed with what has come by then. */
constexpr std::chrono::milliseconds RoundPatience{400};
/** While nothing is known rounds come so many times as often: after a loss of power every group works with the map that
 * fits no demand, and its passes take two to three times as long until the first round tells something. */
constexpr int FirstRoundsFactor = 3;

} // namespace

DemandSampler::DemandSampler(RankControl &control, std::chrono::milliseconds period)
    : m_control(control)
    , m_period(period)
{
}

void DemandSampler::setShape(int sets, int experts)
{
    if (m_demand && m_shape == std::pair(sets, experts)) {
        return;
    }
    m_shape = {sets, experts};
    m_size = static_cast<std::size_t>(sets) * static_cast<std::size_t>(experts);
    m_demand = std::make_unique<ExpertDemand>(sets, experts);
    m_last.clear();
    m_isOpen = false;
    m_round.reset();
}

bool DemandSampler::tick(SteadyTime now, const std::function<std::vector<TargetEntry>()> &ranks)
{
    if (!m_demand) {
        return false;
    }
    if (m_isOpen) {
        if (m_missing > 0 && now - m_began <= RoundPatience) {
            return false;
        }
        m_isOpen = false;
        m_round.reset();
        m_demand->add(m_window);
        return !m_demand->bySet().empty();
    }
    if (now < m_due) {
        return false;
    }
    const auto asked = ranks();
    if (!asked.empty()) {
        begin(now, asked);
    }
    return false;
}

const std::vector<SetDemand> &DemandSampler::bySet() const
{
    return m_demand->bySet();
}

double DemandSampler::lastDistance() const
{
    return m_demand->lastDistance();
}

void DemandSampler::begin(SteadyTime now, const std::vector<TargetEntry> &ranks)
{
    m_due = now + (m_demand->bySet().empty() ? m_period / FirstRoundsFactor : m_period);
    m_began = now;
    m_window.assign(m_size, 0);
    m_missing = ranks.size();
    m_isOpen = true;
    m_round = std::make_shared<int>(0);
    for (const auto &rank : ranks) {
        m_control.counts(rank, [this, id = rank.id, round = std::weak_ptr(m_round)](Result<RankCounts> counts) {
            if (round.expired()) {
                return;
            }
            --m_missing;
            if (errorIn(counts) == nullptr) {
                take(id, std::get<RankCounts>(std::move(counts)));
            }
        });
    }
}

void DemandSampler::take(const TargetName &rank, RankCounts counts)
{
    if (counts.chosen.size() != m_size) {
        return;
    }
    const auto before = m_last.find(rank);
    const bool isComparable = before != m_last.end() && before->second.epoch == counts.epoch;
    // Who knows nothing yet takes what was chosen since the engine's start: better than nothing.
    const bool isFirst = before == m_last.end() && m_demand->bySet().empty();
    for (std::size_t index = 0; (isComparable || isFirst) && index < m_size; ++index) {
        const double earlier = isFirst ? 0 : before->second.chosen[index];
        m_window[index] += std::max(0.0, counts.chosen[index] - earlier);
    }
    m_last.insert_or_assign(rank, std::move(counts));
}

} // namespace Heatherridge
