#include "heatherridge_transport/app/controlplane.h"

#include "heatherridge_coordination/config/logfollower.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/platform/httplogservice.h"

#include <atomic>
#include <vector>

namespace Heatherridge
{

class ControlPlane::Implementation : public FollowerListener
{
public:
    Implementation(Options newOptions, Metrics &metrics)
        : options(std::move(newOptions))
        , m_random(toNumber(options.incarnation))
        , m_offset(metrics.gauge("heatherridge_config_offset"))
        , m_confirmed(metrics.gauge("heatherridge_config_confirmed"))
        , m_logReachable(metrics.gauge("heatherridge_log_reachable"))
    {
        std::atomic_store(&m_view, std::make_shared<const ConfigView>());
    }

    void start()
    {
        m_client = std::make_unique<HttpClient>(loop.context(), HttpClient::Options{});
        m_log = std::make_unique<HttpLogService>(*m_client, HttpLogService::Options{.endpoint = options.logService});
        m_follower = std::make_unique<LogFollower>(*m_log, m_replica, m_random);
        m_follower->setListener(this);
        loop.every(options.tick, [this] { tick(); });
        loop.start();
    }

    void stop()
    {
        loop.stop();
        m_follower.reset();
        m_log.reset();
        m_client.reset();
    }

    std::shared_ptr<const ConfigView> view() const
    {
        return std::atomic_load(&m_view);
    }

    void recordsFolded(const std::vector<FoldedRecord> & /*records*/) override
    {
        publish();
    }

    void stateReplaced() override
    {
        publish();
    }

    Options options;
    EventLoop loop;
    std::vector<Changed> listeners;

private:
    void tick()
    {
        m_follower->tick(std::chrono::steady_clock::now());
        m_logReachable.set(m_follower->isReachable().value_or(false) ? 1 : 0);
        if (m_replica.isConfirmed() != view()->confirmed) {
            publish();
        }
    }

    void publish()
    {
        const auto &state = m_replica.state();
        const auto fresh = std::make_shared<const ConfigView>(ConfigView{.offset = state.offset(),
                                                                         .digest = state.digest(),
                                                                         .confirmed = m_replica.isConfirmed(),
                                                                         .inventory = state.inventory(),
                                                                         .rules = state.rules()});
        std::atomic_store(&m_view, fresh);
        m_offset.set(static_cast<std::int64_t>(toNumber(fresh->offset)));
        m_confirmed.set(fresh->confirmed ? 1 : 0);
        logEvent(Severity::Info, "config-in-force",
                 {{"offset", std::to_string(toNumber(fresh->offset))},
                  {"digest", std::to_string(toNumber(fresh->digest))},
                  {"confirmed", fresh->confirmed ? "yes" : "no"}});
        for (const auto &listener : listeners) {
            listener(fresh);
        }
    }

    SeededRandom m_random;
    ConfigReplica m_replica;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpLogService> m_log;
    std::unique_ptr<LogFollower> m_follower;
    std::shared_ptr<const ConfigView> m_view;
    Gauge &m_offset;
    Gauge &m_confirmed;
    Gauge &m_logReachable;
};

ControlPlane::ControlPlane(Options options, Metrics &metrics)
    : m_implementation(std::make_unique<Implementation>(std::move(options), metrics))
{
}

ControlPlane::~ControlPlane()
{
    m_implementation->stop();
}

void ControlPlane::addListener(Changed changed)
{
    m_implementation->listeners.push_back(std::move(changed));
}

void ControlPlane::start()
{
    m_implementation->start();
}

void ControlPlane::stop()
{
    m_implementation->stop();
}

std::shared_ptr<const ConfigView> ControlPlane::view() const
{
    return m_implementation->view();
}

EventLoop &ControlPlane::loop()
{
    return m_implementation->loop;
}

const ControlPlane::Options &ControlPlane::options() const
{
    return m_implementation->options;
}

} // namespace Heatherridge
