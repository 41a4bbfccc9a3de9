#pragma once

#include "standin.h"

#include "heatherridge_coordination/groups/lockstepengine.h"

#include "heatherridge_transport/http/httpclient.h"

namespace Heatherridge
{

/**
 * The engine of one rank of a lock-step group.
 *
 * `POST /group/orders` accepts a gate's order in CBOR and returns the engine's state; `POST /group/ranks` accepts a
 * JSON list of the ranks' addresses; `POST /group/started` accepts another rank's progress. A step starts only after
 * all ranks of the epoch have started the previous one. `GET /group/steps` lists the steps at which the map changed.
 */
class RankStandIn final : public StandIn
{
public:
    explicit RankStandIn(EventLoop &loop);
    ~RankStandIn() override;

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    struct Progress
    {
        std::map<EpochNumber, StepNumber> nextSteps{};
    };

    void startTicking();
    void handleOrder(const std::shared_ptr<HttpExchange> &exchange);
    void handleRanks(const std::shared_ptr<HttpExchange> &exchange);
    void handleProgress(const std::shared_ptr<HttpExchange> &exchange);
    void tick();
    void broadcastProgress();
    void recordStep(const StartedStep &step);
    std::vector<std::uint32_t> tokensForMap(const ExpertMap &map) const;
    void closeWindow();
    EngineState stateWithLoad() const;

    LockStepEngine m_engine;
    int m_rank = 0;
    std::map<int, Endpoint> m_ranks;
    std::map<int, Progress> m_progress;
    std::map<MapNumber, ExpertMap> m_maps;
    std::unique_ptr<HttpClient> m_client;
    nlohmann::json m_mapChanges = nlohmann::json::array(); ///< [epoch, step, map] of each step with a new map
    std::optional<RankReport> m_report;
    MapNumber m_windowMap{};
    bool m_isStarted = false;
};

} // namespace Heatherridge
