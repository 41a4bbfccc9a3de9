#pragma once

#include "heatherridge_coordination/config/configrelay.h"
#include "heatherridge_coordination/config/snapshotwriter.h"

#include <functional>

namespace Heatherridge
{

/** Identity of a ConfigAgent's process and the options of its components. */
struct ConfigAgentOptions
{
    ProcessName process{};
    ZoneName zone{};
    ReplicaOptions replica{};
    LogFollowerOptions follower{};
    ConfigRelayOptions relay{};
    SnapshotWriterOptions snapshots{};
    /** Builds the relay plan from a new inventory; the default uses all its targets. */
    std::function<std::shared_ptr<const RelayPlan>(const Inventory &)> buildPlan{};
};

/**
 * Connects the components with which one process takes part in the agreement on the configuration: replica, log
 * follower, relay and snapshot writer. Each daemon owns one instance on its control thread.
 *
 * The service, links, random source and listener must outlive the agent. Single-threaded.
 */
class ConfigAgent final : private ReplicaListener
{
public:
    ConfigAgent(LogService &service, RelayLinks &links, RandomSource &random, ConfigAgentOptions options);

    ConfigAgent(const ConfigAgent &) = delete;
    ConfigAgent &operator=(const ConfigAgent &) = delete;

    /** Sets the listener that is notified of each change; nullptr removes it. */
    void setListener(ReplicaListener *listener);

    /** Performs the work due at @p now. Must be called every few tens of milliseconds. */
    void tick(SteadyTime now);

    /** Returns the relay, to which connection events and messages are delivered. */
    ConfigRelay &relay();

    const ConfigRelay &relay() const;

    const ConfigReplica &replica() const;

    /** Returns whether this process has no state yet, has one that the log has not confirmed, is ready, or is draining.
     */
    ProcessPhase phase() const;

    /** Sets the phase to "draining" for the rest of the run. */
    void beginDrain();

    /** Sets the number of running requests and streams reported in heartbeats. */
    void setOpenRequests(std::uint32_t openRequests);

    /** Returns whether the last call to the log was answered; empty before the first call has ended. */
    std::optional<bool> isLogReachable() const;

    /** Returns the numbers of snapshots written and abandoned. */
    const SnapshotWriterCounters &snapshotCounters() const;

private:
    void recordsFolded(const std::vector<FoldedRecord> &records) override;
    void stateReplaced() override;
    void logAnswered(bool atEnd) override;
    void rebuildPlan();

    /** Notifies the agent of changes received through the relay, which must not be forwarded to the relay again. */
    class RelayListener final : public ReplicaListener
    {
    public:
        explicit RelayListener(ConfigAgent &agent);
        void recordsFolded(const std::vector<FoldedRecord> &records) override;
        void stateReplaced() override;

    private:
        ConfigAgent &m_agent;
    };

    void notifyListener(const std::vector<FoldedRecord> &records);

    ConfigAgentOptions m_options;
    ConfigReplica m_replica;
    LogFollower m_logFollower;
    ConfigRelay m_relay;
    SnapshotWriter m_snapshotWriter;
    RelayListener m_relayListener;
    ReplicaListener *m_listener = nullptr;
    std::shared_ptr<const RelayPlan> m_plan;
    SteadyTime m_now{}; ///< time of the last tick
    std::uint32_t m_openRequests = 0;
    bool m_isDraining = false;
};

} // namespace Heatherridge
