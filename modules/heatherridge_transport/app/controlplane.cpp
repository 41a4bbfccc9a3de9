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

constexpr std::chrono::milliseconds CounterPeriod{1'000};
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
                                                                   .relay = {.seeds = seedsFrom(options.peers)}});
        m_agent->setListener(this);
        if (options.hostList.port != 0) {
            m_hostList = std::make_unique<HostListReader>(
                *m_client, HostListReader::Options{.endpoint = options.hostList},
                [this](const auto &hosts) { m_membership.updateHostList(hosts, std::chrono::steady_clock::now()); });
        }
        m_links->setRelay(&m_agent->relay());
        loop.every(options.tick, [this] { tick(); });
        loop.every(CounterPeriod, [this] { showCounters(); });
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

    void takeIncoming(IncomingControlLink connection, Envelope envelope)
    {
        loop.post([this, connection = std::move(connection), envelope = std::move(envelope)] {
            m_links->onIncomingFrame(connection, envelope);
        });
    }

    void incomingGone(const std::shared_ptr<PeerSocket> &socket)
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
        loop.run([this, &status] { status = statusNow(); });
        return status;
    }

    Options options;
    EventLoop loop;
    std::vector<Changed> listeners;

private:
    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        m_agent->tick(now);
        if (m_hostList) {
            m_hostList->tick(now);
        }
        m_logReachable.set(m_agent->isLogReachable().value_or(false) ? 1 : 0);
        if (m_agent->replica().isConfirmed() != view()->confirmed || hostsChanged(now)) {
            publish();
        }
    }

    /** Whether other targets than before stand on leaving hosts; looked at now and then, a list lags anyway. */
    bool hostsChanged(SteadyTime now)
    {
        if (!m_hostList || now < m_nextHostCheck) {
            return false;
        }
        m_nextHostCheck = now + HostCheckPeriod;
        return m_membership.targetsWithReason(EligibilityReason::HostLeaving, now) != view()->leaving;
    }

    static std::vector<RelayMember> seedsFrom(const std::vector<Endpoint> &peers)
    {
        std::vector<RelayMember> seeds;
        seeds.reserve(peers.size());
        for (const auto &peer : peers) {
            seeds.push_back({.process = ProcessName("peer " + toString(peer)), .endpoint = peer});
        }
        return seeds;
    }

    ControlStatus statusNow() const
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
            status.peers.push_back(
                {.process = process,
                 .isSource = peer.isSource,
                 .offset = peer.offset,
                 .silentFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.lastReceivedAt)});
        }
        return status;
    }

    /** Shows the fold's and the relay's counters, one for each reason. */
    void showCounters()
    {
        const auto &state = m_agent->replica().state();
        for (std::size_t i = 0; i < SkipReasonCount; ++i) {
            const auto reason = static_cast<SkipReason>(i);
            show("heatherridge_config_skipped_records", toString(reason), state.skipped(reason));
        }
        for (std::size_t i = 0; i < RefusalReasonCount; ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            show("heatherridge_config_refused_records", toString(reason), state.refused(reason));
        }
        const auto &replica = m_agent->replica().counters();
        show("heatherridge_config_received_records", "old", replica.outdated);
        show("heatherridge_config_received_records", "early", replica.outOfOrder);
        show("heatherridge_config_received_records", "dropped", replica.dropped);
        const auto &relay = m_agent->relay().counters();
        show("heatherridge_relay_events", "relayed", relay.relayed);
        show("heatherridge_relay_events", "source-lost", relay.sourcesLost);
        show("heatherridge_relay_events", "turned-away", relay.refusedSubscribers);
        show("heatherridge_relay_events", "old-incarnation", relay.oldIncarnation);
        show("heatherridge_relay_events", "fallback", relay.logFallbacks);
        show("heatherridge_relay_events", "state-served", relay.statesServed);
        show("heatherridge_relay_events", "state-adopted", relay.statesAdopted);
        show("heatherridge_relay_events", "diverged", relay.diverged);
        show("heatherridge_relay_events", "malformed", m_links->malformedFrames());
        if (m_hostList) {
            show("heatherridge_host_list_events", "failed-read", m_hostList->failures());
        }
        const auto reasons = m_membership.countByReason(std::chrono::steady_clock::now());
        show("heatherridge_targets", toString(EligibilityReason::HostLeaving),
             reasons.at(static_cast<std::size_t>(EligibilityReason::HostLeaving)));
        show("heatherridge_targets", toString(EligibilityReason::Withdrawn),
             reasons.at(static_cast<std::size_t>(EligibilityReason::Withdrawn)));
        show("heatherridge_targets", toString(EligibilityReason::PlannedStop),
             reasons.at(static_cast<std::size_t>(EligibilityReason::PlannedStop)));
    }

    void show(const std::string &name, std::string_view reason, std::uint64_t value)
    {
        m_metrics.gauge(name, "reason=\"" + std::string(reason) + "\"").set(static_cast<std::int64_t>(value));
    }

    void publish()
    {
        const auto &replica = m_agent->replica();
        const auto &state = replica.state();
        const auto now = std::chrono::steady_clock::now();
        m_membership.updateConfiguration(state.inventory(), state.rules(), now);
        const auto fresh = std::make_shared<const ConfigView>(
            ConfigView{.offset = state.offset(),
                       .digest = state.digest(),
                       .confirmed = replica.isConfirmed(),
                       .inventory = state.inventory(),
                       .rules = state.rules(),
                       .leaving = m_membership.targetsWithReason(EligibilityReason::HostLeaving, now)});
        std::atomic_store(&m_view, fresh);
        m_offset.set(static_cast<std::int64_t>(toNumber(fresh->offset)));
        m_confirmed.set(fresh->confirmed ? 1 : 0);
        logEvent(Severity::Info, "config-in-force",
                 {{"offset", std::to_string(toNumber(fresh->offset))},
                  {"digest", std::to_string(toNumber(fresh->digest))},
                  {"confirmed", fresh->confirmed ? "yes" : "no"},
                  {"leaving", std::to_string(fresh->leaving.size())}});
        for (const auto &listener : listeners) {
            listener(fresh);
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

void ControlPlane::takeIncoming(IncomingControlLink connection, Envelope envelope)
{
    m_implementation->takeIncoming(std::move(connection), std::move(envelope));
}

void ControlPlane::incomingGone(const std::shared_ptr<PeerSocket> &socket)
{
    m_implementation->incomingGone(socket);
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
