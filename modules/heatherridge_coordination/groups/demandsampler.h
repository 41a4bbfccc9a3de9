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
 * Reads again and again how often the experts of a service were chosen, and averages it.
 *
 * Ranks count from their start on, so a reading is worth its difference to the one before of the same rank and epoch.
 * All ranks that are asked in one round make one window. One thread; moved on by tick().
 */
class DemandSampler
{
public:
    /** Uses @p control, which must outlive it. @param period between rounds */
    DemandSampler(RankControl &control, std::chrono::milliseconds period);

    /** The sizes of the service's model; anything known is forgotten when they change. */
    void setModelShape(int sets, int experts);

    /**
     * Begins a round when it is time, and closes one whose answers are in.
     * @param ranks lists who is asked; called when a round begins
     * @returns whether a round was closed that tells something
     */
    bool tick(SteadyTime now, const std::function<std::vector<TargetEntry>()> &ranks);

    /** The demand by set; empty before the first round. */
    const std::vector<SetDemand> &demandBySet() const;

    /** How far the last round was from the average before it. */
    double lastDistance() const;

private:
    void startRound(SteadyTime now, const std::vector<TargetEntry> &ranks);
    void addCounts(const TargetName &rank, RankCounts counts);

    RankControl &m_control;
    std::chrono::milliseconds m_period;
    std::unique_ptr<ExpertDemand> m_demand;
    std::size_t m_expertCount = 0; ///< experts of all sets
    std::pair<int, int> m_shape{0, 0};
    std::map<TargetName, RankCounts> m_lastCounts; ///< of each rank's last reading
    std::vector<double> m_window; ///< of the round that is open
    std::size_t m_pendingAnswers = 0; ///< answers that it waits for
    bool m_isRoundOpen = false;
    SteadyTime m_roundStartedAt{};
    SteadyTime m_nextRoundAt{};
    std::shared_ptr<int> m_roundToken; ///< answers to a round that is closed find it gone
};

} // namespace Heatherridge
