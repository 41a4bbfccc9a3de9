#include "heatherridge_transport/app/controlplane.h"

#include "heatherridge_coordination/config/logfollower.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/platform/hostlistreader.h"
#include "heatherridge_transport/platform/httplogservice.h"

#include <atomic>
#include <vector>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds CounterExportPeriod{1'000};
constexpr std::chrono::milliseconds HostCheckPeriod{200};

} // namespace

class ControlPlane::Implementation : public ReplicaListener
{
public:
    Implementation(Options newOptions, Metrics &metrics)
        : options(std::move(newOptions))
        , m_random(toNumber(options.incarnation))
        , m_encoder(options.process, options.incarnation, [this] { return view(); })
        , m_metrics(metrics)
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
        m_links = std::make_unique<ControlLinks>(loop, m_encoder);
        m_agent = std::make_unique<ConfigAgent>(*m_log, *m_links, m_random,
                                                ConfigAgentOptions{.process = options.process,
                                                                   .zone = options.zone,
                                                                   .relay = {.seeds = relaySeeds(options.peers)}});
        m_agent->setListener(this);
        if (options.hostList.port != 0) {
            m_hostList = std::make_unique<HostListReader>(
                *m_client, HostListReader::Options{.endpoint = options.hostList},
                [this](const auto &hosts) { m_membership.updateHostList(hosts, std::chrono::steady_clock::now()); });
        }
        m_links->setRelay(&m_agent->relay());
        loop.every(options.tickPeriod, [this] { tick(); });
        loop.every(CounterExportPeriod, [this] { exportCounters(); });
        loop.start();
    }

    void stop()
    {
        loop.stop();
        if (m_links) {
            m_links->close();
        }
        m_agent.reset();
        m_links.reset();
        m_hostList.reset();
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

    void onIncomingFrame(IncomingControlLink connection, Envelope envelope)
    {
        loop.post([this, connection = std::move(connection), envelope = std::move(envelope)] {
            m_links->onIncomingFrame(connection, envelope);
        });
    }

    void onIncomingClosed(const std::shared_ptr<PeerSocket> &socket)
    {
        loop.post([this, socket] { m_links->onIncomingClosed(socket.get()); });
    }

    void beginDrain()
    {
        loop.post([this] { m_agent->beginDrain(); });
    }

    ControlStatus status()
    {
        ControlStatus status;
        loop.runAndWait([this, &status] { status = currentStatus(); });
        return status;
    }

    Options options;
    EventLoop loop;
    std::vector<ViewListener> listeners;

private:
    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        m_agent->tick(now);
        if (m_hostList) {
            m_hostList->tick(now);
        }
        m_logReachable.set(m_agent->isLogReachable().value_or(false) ? 1 : 0);
        if (m_agent->replica().isConfirmed() != view()->confirmed || haveLeavingTargetsChanged(now)) {
            publish();
        }
    }

    /** Returns whether the set of targets on leaving hosts has changed. Checks at most once per HostCheckPeriod, since
     * the platform's list lags anyway. */
    bool haveLeavingTargetsChanged(SteadyTime now)
    {
        if (!m_hostList || now < m_nextHostCheck) {
            return false;
        }
        m_nextHostCheck = now + HostCheckPeriod;
        return m_membership.targetsWithReason(EligibilityReason::HostLeaving, now) != view()->leaving;
    }

    static std::vector<RelayMember> relaySeeds(const std::vector<Endpoint> &peers)
    {
        std::vector<RelayMember> seeds;
        seeds.reserve(peers.size());
        for (const auto &peer : peers) {
            seeds.push_back({.process = ProcessName("peer " + toString(peer)), .endpoint = peer});
        }
        return seeds;
    }

    ControlStatus currentStatus() const
    {
        const auto now = std::chrono::steady_clock::now();
        const auto &replica = m_agent->replica();
        const auto &state = replica.state();
        const auto &relay = m_agent->relay();
        ControlStatus status{.phase = toString(m_agent->phase()),
                             .log = relay.shouldReadLog() ? "following" : "relayed",
                             .freshAge = relay.freshAge(now),
                             .offset = state.offset(),
                             .inventoryOffset = state.inventoryOffset(),
                             .rulesOffset = state.rulesOffset(),
                             .digest = state.digest(),
                             .isCutOff = replica.isCutOff(),
                             .diverged = relay.counters().diverged,
                             .missingTargets = state.missingTargets()};
        if (relay.shouldReadLog() && m_agent->isLogReachable() == false) {
            status.log = "out";
        }
        for (const auto &[process, peer] : relay.peers()) {
            status.peers.push_back({.process = process,
                                    .isSource = peer.isSource,
                                    .offset = peer.offset,
                                    .timeSinceLastMessage = std::chrono::duration_cast<std::chrono::milliseconds>(
                                        now - peer.lastReceivedAt)});
        }
        return status;
    }

    /** Exports the counters of the configuration state and the relay as gauges, one per reason. */
    void exportCounters()
    {
        const auto &state = m_agent->replica().state();
        for (std::size_t i = 0; i < SkipReasonCount; ++i) {
            const auto reason = static_cast<SkipReason>(i);
            exportCount("heatherridge_config_skipped_records", toString(reason), state.skipped(reason));
        }
        for (std::size_t i = 0; i < RefusalReasonCount; ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            exportCount("heatherridge_config_refused_records", toString(reason), state.refused(reason));
        }
        const auto &replica = m_agent->replica().counters();
        exportCount("heatherridge_config_received_records", "old", replica.outdated);
        exportCount("heatherridge_config_received_records", "early", replica.outOfOrder);
        exportCount("heatherridge_config_received_records", "dropped", replica.dropped);
        const auto &relay = m_agent->relay().counters();
        exportCount("heatherridge_relay_events", "relayed", relay.relayed);
        exportCount("heatherridge_relay_events", "source-lost", relay.sourcesLost);
        exportCount("heatherridge_relay_events", "turned-away", relay.refusedSubscribers);
        exportCount("heatherridge_relay_events", "old-incarnation", relay.oldIncarnation);
        exportCount("heatherridge_relay_events", "fallback", relay.logFallbacks);
        exportCount("heatherridge_relay_events", "state-served", relay.statesServed);
        exportCount("heatherridge_relay_events", "state-adopted", relay.statesAdopted);
        exportCount("heatherridge_relay_events", "diverged", relay.diverged);
        exportCount("heatherridge_relay_events", "malformed", m_links->malformedFrames());
        if (m_hostList) {
            exportCount("heatherridge_host_list_events", "failed-read", m_hostList->failures());
        }
        const auto targetCounts = m_membership.countByReason(std::chrono::steady_clock::now());
        exportCount("heatherridge_targets", toString(EligibilityReason::HostLeaving),
                    targetCounts.at(static_cast<std::size_t>(EligibilityReason::HostLeaving)));
        exportCount("heatherridge_targets", toString(EligibilityReason::Withdrawn),
                    targetCounts.at(static_cast<std::size_t>(EligibilityReason::Withdrawn)));
        exportCount("heatherridge_targets", toString(EligibilityReason::PlannedStop),
                    targetCounts.at(static_cast<std::size_t>(EligibilityReason::PlannedStop)));
    }

    void exportCount(const std::string &name, std::string_view reason, std::uint64_t value)
    {
        m_metrics.gauge(name, "reason=\"" + std::string(reason) + "\"").set(static_cast<std::int64_t>(value));
    }

    void publish()
    {
        const auto &replica = m_agent->replica();
        const auto &state = replica.state();
        const auto now = std::chrono::steady_clock::now();
        m_membership.updateConfiguration(state.inventory(), state.rules(), now);
        const auto newView = std::make_shared<const ConfigView>(
            ConfigView{.offset = state.offset(),
                       .digest = state.digest(),
                       .confirmed = replica.isConfirmed(),
                       .inventory = state.inventory(),
                       .rules = state.rules(),
                       .leaving = m_membership.targetsWithReason(EligibilityReason::HostLeaving, now)});
        std::atomic_store(&m_view, newView);
        m_offset.set(static_cast<std::int64_t>(toNumber(newView->offset)));
        m_confirmed.set(newView->confirmed ? 1 : 0);
        logEvent(Severity::Info, "config-in-force",
                 {{"offset", std::to_string(toNumber(newView->offset))},
                  {"digest", std::to_string(toNumber(newView->digest))},
                  {"confirmed", newView->confirmed ? "yes" : "no"},
                  {"leaving", std::to_string(newView->leaving.size())}});
        for (const auto &listener : listeners) {
            listener(newView);
        }
    }

    SeededRandom m_random;
    FrameEncoder m_encoder;
    Metrics &m_metrics;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpLogService> m_log;
    std::unique_ptr<HostListReader> m_hostList;
    Membership m_membership;
    SteadyTime m_nextHostCheck{};
    std::unique_ptr<ControlLinks> m_links;
    std::unique_ptr<ConfigAgent> m_agent;
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

void ControlPlane::addListener(ViewListener listener)
{
    m_implementation->listeners.push_back(std::move(listener));
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

void ControlPlane::onIncomingFrame(IncomingControlLink connection, Envelope envelope)
{
    m_implementation->onIncomingFrame(std::move(connection), std::move(envelope));
}

void ControlPlane::onIncomingClosed(const std::shared_ptr<PeerSocket> &socket)
{
    m_implementation->onIncomingClosed(socket);
}

void ControlPlane::beginDrain()
{
    m_implementation->beginDrain();
}

ControlStatus ControlPlane::status()
{
    return m_implementation->status();
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
