#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/groups/expertdemand.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * Periodically reads how often the experts of a service were chosen, and averages it.
 *
 * Ranks count from their start, so the value of a reading is its difference to the previous one of the same rank and
 * epoch. The answers of all ranks that are asked in one round form one window. One thread; driven by tick().
 */
class DemandSampler
{
public:
    /** Uses @p control, which must outlive it. @param period between rounds */
    DemandSampler(RankControl &control, std::chrono::milliseconds period);

    /** Sets the dimensions of the service's model; all measurements are discarded when they change. */
    void setModelShape(int sets, int experts);

    /**
     * Starts a round when one is due, and closes it when all answers have arrived or the round has timed out.
     * @param ranks returns the ranks to ask; called when a round starts
     * @returns whether a round was closed and the demand is known
     */
    bool tick(SteadyTime now, const std::function<std::vector<TargetEntry>()> &ranks);

    /** Returns the demand by set; empty before the first round. */
    const std::vector<SetDemand> &demandBySet() const;

    /** Returns how far the last round was from the average before it. */
    double lastDistance() const;

private:
    void startRound(SteadyTime now, const std::vector<TargetEntry> &ranks);
    void addCounts(const TargetName &rank, RankCounts counts);

    RankControl &m_control;
    std::chrono::milliseconds m_period;
    std::unique_ptr<ExpertDemand> m_demand;
    std::size_t m_expertCount = 0; ///< in all sets
    std::pair<int, int> m_shape{0, 0};
    std::map<TargetName, RankCounts> m_lastCounts; ///< the last reading of each rank
    std::vector<double> m_window; ///< of the open round
    std::size_t m_pendingAnswers = 0; ///< answers that have not arrived yet
    bool m_isRoundOpen = false;
    SteadyTime m_roundStartedAt{};
    SteadyTime m_nextRoundAt{};
    std::shared_ptr<int> m_roundToken; ///< expired for answers to a round that is closed
};

} // namespace Heatherridge
