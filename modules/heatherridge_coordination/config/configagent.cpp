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
    m_agent.tell(records);
}

void ConfigAgent::RelayListener::stateReplaced()
{
    m_agent.stateReplaced();
}

ConfigAgent::ConfigAgent(LogService &service, RelayLinks &links, RandomSource &random, ConfigAgentOptions options)
    : m_options(std::move(options))
    , m_replica(m_options.replica)
    , m_follower(service, m_replica, random, m_options.follower)
    , m_relay(links, m_replica, random, m_options.process, m_options.zone, m_options.relay)
    , m_writer(service, random, m_options.snapshots)
    , m_relayListener(*this)
{
    m_follower.setListener(this);
    m_relay.setListener(&m_relayListener);
    if (!m_options.planFor) {
        m_options.planFor = [](const Inventory &inventory) {
            return std::make_shared<const RelayPlan>(relayMembersOf(inventory));
        };
    }
    renewPlan();
}

void ConfigAgent::setListener(FollowerListener *listener)
{
    m_listener = listener;
}

void ConfigAgent::tick(SteadyTime now)
{
    m_now = now;
    if (m_relay.wantsLog() && m_follower.isReachable() == false) {
        m_relay.noteLog(false, false, now);
    }
    m_relay.setPhase(phase(), m_open);
    m_relay.tick(now);
    m_follower.setActive(m_relay.wantsLog());
    m_follower.tick(now);
    // Only readers know the log's bounds; without any, as in a deployment of entries alone, whoever reads writes.
    if (m_relay.wantsLog() && m_follower.isReachable() == true) {
        m_writer.tick(now, m_replica, m_plan->readerRank(m_options.process));
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
    if (m_draining) {
        return ProcessPhase::Draining;
    }
    if (m_replica.isConfirmed()) {
        return ProcessPhase::Ready;
    }
    return m_replica.state().offset() == LogOffset{} ? ProcessPhase::Starting : ProcessPhase::Unconfirmed;
}

void ConfigAgent::beginDrain()
{
    m_draining = true;
}

void ConfigAgent::setOpen(std::uint32_t open)
{
    m_open = open;
}

std::optional<bool> ConfigAgent::isLogReachable() const
{
    return m_follower.isReachable();
}

const SnapshotWriterCounters &ConfigAgent::snapshotCounters() const
{
    return m_writer.counters();
}

void ConfigAgent::recordsFolded(const std::vector<FoldedRecord> &records)
{
    m_relay.handOn(records);
    tell(records);
}

void ConfigAgent::tell(const std::vector<FoldedRecord> &records)
{
    const bool newInventory = std::any_of(records.begin(), records.end(), [](const auto &folded) {
        return folded.effect == FoldEffect::InventoryChanged || folded.effect == FoldEffect::Reset;
    });
    if (newInventory) {
        renewPlan();
    }
    if (m_listener != nullptr) {
        m_listener->recordsFolded(records);
    }
}

void ConfigAgent::stateReplaced()
{
    renewPlan();
    if (m_listener != nullptr) {
        m_listener->stateReplaced();
    }
}

void ConfigAgent::logAnswered(bool atEnd)
{
    m_relay.noteLog(true, atEnd, m_now);
    if (m_listener != nullptr) {
        m_listener->logAnswered(atEnd);
    }
}

void ConfigAgent::renewPlan()
{
    m_plan = m_options.planFor(*m_replica.state().inventory());
    m_relay.follow(m_plan);
}

} // namespace Heatherridge
