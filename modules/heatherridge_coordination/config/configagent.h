#pragma once

#include "heatherridge_coordination/config/configrelay.h"
#include "heatherridge_coordination/config/snapshotwriter.h"

#include <functional>

namespace Heatherridge
{

/** What a ConfigAgent is made of. */
struct ConfigAgentOptions
{
    ProcessName process{};
    ZoneName zone{};
    ReplicaOptions replica{};
    LogFollowerOptions follower{};
    ConfigRelayOptions relay{};
    SnapshotWriterOptions snapshots{};
    /** Makes the relay's plan from a new inventory; by default from all its targets. */
    std::function<std::shared_ptr<const RelayPlan>(const Inventory &)> buildPlan{};
};

/**
 * All of one process's part in the agreement on the configuration: replica, log follower, relay and snapshot writer,
 * wired together. The daemons own one each on their control thread.
 *
 * Service, links, random source and listener must outlive it. One thread.
 */
class ConfigAgent final : private FollowerListener
{
public:
    ConfigAgent(LogService &service, RelayLinks &links, RandomSource &random, ConfigAgentOptions options);

    ConfigAgent(const ConfigAgent &) = delete;
    ConfigAgent &operator=(const ConfigAgent &) = delete;

    /** Who is told of each change; nullptr for nobody. */
    void setListener(FollowerListener *listener);

    /** Does what is due at @p now. Called every few tens of milliseconds. */
    void tick(SteadyTime now);

    /** The relay, for the events of connections and for messages. */
    ConfigRelay &relay();

    /** The relay, to look at. */
    const ConfigRelay &relay() const;

    /** The replica, to look at. */
    const ConfigReplica &replica() const;

    /** How far this process is: starting without any state, on a state that the log has not confirmed, or ready. */
    ProcessPhase phase() const;

    /** From now on the phase is "draining". */
    void beginDrain();

    /** Requests and streams that are running, for the heartbeats. */
    void setOpenRequests(std::uint32_t openRequests);

    /** Whether the log answered the last time it was asked; nothing before the first time. */
    std::optional<bool> isLogReachable() const;

    /** Snapshots written and abandoned. */
    const SnapshotWriterCounters &snapshotCounters() const;

private:
    void recordsFolded(const std::vector<FoldedRecord> &records) override;
    void stateReplaced() override;
    void logAnswered(bool atEnd) override;
    void rebuildPlan();

    /** Passes on what came in through the relay, which must not be handed to the relay again. */
    class RelayListener final : public FollowerListener
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
    FollowerListener *m_listener = nullptr;
    std::shared_ptr<const RelayPlan> m_plan;
    SteadyTime m_now{}; ///< of the last tick
    std::uint32_t m_openRequests = 0;
    bool m_isDraining = false;
};

} // namespace Heatherridge
