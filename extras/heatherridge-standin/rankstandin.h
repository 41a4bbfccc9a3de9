#pragma once

#include "standin.h"

#include "heatherridge_coordination/groups/lockstepengine.h"

#include "heatherridge_transport/http/httpclient.h"

namespace Heatherridge
{

/**
 * One rank's engine of a lock-step group.
 *
 * `POST /group/orders` takes a gate's order in CBOR and answers with the engine's state; `POST /group/ranks` takes a
 * JSON list of the ranks' addresses, and `POST /group/started` another rank's progress: a step begins only when all
 * ranks of the epoch have started the one before. `GET /group/steps` lists where the map changed.
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
    nlohmann::json m_mapChanges = nlohmann::json::array(); ///< [epoch, step, map] where the map differs from before
    std::optional<RankReport> m_report;
    MapNumber m_windowMap{};
    bool m_isStarted = false;
};

} // namespace Heatherridge
