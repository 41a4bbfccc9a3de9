#include "heatherridge_coordination/config/configagent.h"

#include <algorithm>

namespace Heatherridge
{

ConfigAgent::RelayListener::RelayListener(ConfigAgent &agent)
    : m_agent(agent)
{
}

void ConfigAgent::RelayListener::recordsFolded(const std::vector<FoldedRecord> &records)
{
    m_agent.notifyListener(records);
}

void ConfigAgent::RelayListener::stateReplaced()
{
    m_agent.stateReplaced();
}

ConfigAgent::ConfigAgent(LogService &service, RelayLinks &links, RandomSource &random, ConfigAgentOptions options)
    : m_options(std::move(options))
    , m_replica(m_options.replica)
    , m_logFollower(service, m_replica, random, m_options.follower)
    , m_relay(links, m_replica, random, m_options.process, m_options.zone, m_options.relay)
    , m_snapshotWriter(service, random, m_options.snapshots)
    , m_relayListener(*this)
{
    m_logFollower.setListener(this);
    m_relay.setListener(&m_relayListener);
    if (!m_options.buildPlan) {
        m_options.buildPlan = [](const Inventory &inventory) {
            return std::make_shared<const RelayPlan>(relayMembersOf(inventory));
        };
    }
    rebuildPlan();
}

void ConfigAgent::setListener(ReplicaListener *listener)
{
    m_listener = listener;
}

void ConfigAgent::tick(SteadyTime now)
{
    m_now = now;
    if (m_relay.shouldReadLog() && m_logFollower.isReachable() == false) {
        m_relay.recordLogResult(false, false, now);
    }
    m_relay.setPhase(phase(), m_openRequests);
    m_relay.tick(now);
    m_logFollower.setActive(m_relay.shouldReadLog());
    m_logFollower.tick(now);
    // Only processes that read the log know its bounds. In a deployment without designated readers, such as one of
    // entry processes only, any process that reads the log writes snapshots.
    if (m_relay.shouldReadLog() && m_logFollower.isReachable() == true) {
        m_snapshotWriter.tick(now, m_replica, m_plan->readerRank(m_options.process));
    }
}

ConfigRelay &ConfigAgent::relay()
{
    return m_relay;
}

const ConfigRelay &ConfigAgent::relay() const
{
    return m_relay;
}

const ConfigReplica &ConfigAgent::replica() const
{
    return m_replica;
}

ProcessPhase ConfigAgent::phase() const
{
    if (m_isDraining) {
        return ProcessPhase::Draining;
    }
    if (m_replica.isConfirmed()) {
        return ProcessPhase::Ready;
    }
    return m_replica.state().offset() == LogOffset{} ? ProcessPhase::Starting : ProcessPhase::Unconfirmed;
}

void ConfigAgent::beginDrain()
{
    m_isDraining = true;
}

void ConfigAgent::setOpenRequests(std::uint32_t openRequests)
{
    m_openRequests = openRequests;
}

std::optional<bool> ConfigAgent::isLogReachable() const
{
    return m_logFollower.isReachable();
}

const SnapshotWriterCounters &ConfigAgent::snapshotCounters() const
{
    return m_snapshotWriter.counters();
}

void ConfigAgent::recordsFolded(const std::vector<FoldedRecord> &records)
{
    m_relay.forwardRecords(records);
    notifyListener(records);
}

void ConfigAgent::notifyListener(const std::vector<FoldedRecord> &records)
{
    const bool inventoryChanged = std::any_of(records.begin(), records.end(), [](const auto &folded) {
        return folded.effect == FoldEffect::InventoryChanged || folded.effect == FoldEffect::Reset;
    });
    if (inventoryChanged) {
        rebuildPlan();
    }
    if (m_listener != nullptr) {
        m_listener->recordsFolded(records);
    }
}

void ConfigAgent::stateReplaced()
{
    rebuildPlan();
    if (m_listener != nullptr) {
        m_listener->stateReplaced();
    }
}

void ConfigAgent::logAnswered(bool atEnd)
{
    m_relay.recordLogResult(true, atEnd, m_now);
    if (m_listener != nullptr) {
        m_listener->logAnswered(atEnd);
    }
}

void ConfigAgent::rebuildPlan()
{
    m_plan = m_options.buildPlan(*m_replica.state().inventory());
    m_relay.setPlan(m_plan);
}

} // namespace Heatherridge
