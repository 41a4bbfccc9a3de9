#pragma once

#include "heatherridge_coordination/config/configreplica.h"
#include "heatherridge_coordination/config/imageassembler.h"
#include "heatherridge_coordination/config/logfollower.h"
#include "heatherridge_coordination/config/relaylinks.h"
#include "heatherridge_coordination/config/relayplan.h"

#include <memory>
#include <set>

namespace Heatherridge
{

/** Timing and limits of the relay. */
struct ConfigRelayOptions
{
    std::size_t sourceCount = 2; ///< sources used at a time; with two, one can fail without a gap
    std::size_t maxSubscribers = 64; ///< further ones are refused and try their next candidate
    std::chrono::milliseconds heartbeatInterval{1'000};
    std::chrono::milliseconds silenceTimeout{3'500}; ///< a source that sends nothing for this long is abandoned
    std::chrono::milliseconds avoidancePeriod{15'000}; ///< a failed source is not retried for this long
    std::chrono::milliseconds fetchInterval{250}; ///< between requests for missing records
    std::chrono::milliseconds stateRequestInterval{5'000}; ///< between full-state requests, also those served per peer
    std::chrono::milliseconds staleAfter{8'000}; ///< age of the state from which on the log is read directly
    std::chrono::milliseconds outagePollInterval{60'000}; ///< between direct reads during a log outage
    int maxFetchAttempts = 3; ///< requests without effect before the log is read directly
    /** Peers from the settings, used as sources while no inventory lists any. They are the only origin of a first
     * state for a process that starts during a log outage. */
    std::vector<RelayMember> seeds{};
};

/** Events of the relay, by kind. */
struct ConfigRelayCounters
{
    std::uint64_t relayed = 0; ///< messages with records sent
    std::uint64_t sourcesLost = 0; ///< sources abandoned because they were silent or their connection was lost
    std::uint64_t refusedSubscribers = 0; ///< incoming connections beyond maxSubscribers
    std::uint64_t oldIncarnation = 0; ///< messages from an ended run of a process
    std::uint64_t logFallbacks = 0; ///< times this process began to read the log directly
    std::uint64_t statesServed = 0;
    std::uint64_t statesAdopted = 0;
    std::uint64_t diverged = 0; ///< peers found with a different digest at the same offset
};

/** State of one peer. */
struct RelayPeer
{
    bool isSource = false; ///< this process subscribes to it
    bool isSubscriber = false; ///< it subscribes to this process
    bool isConnected = false; ///< for a source: its connection is up
    Incarnation incarnation{};
    LogOffset offset{}; ///< highest offset that it has folded or been sent
    SteadyTime lastReceivedAt{};
    Heartbeat heartbeat{}; ///< the last one received
};

/**
 * Distributes the records of the control stream to every process without every process reading the log.
 *
 * A process subscribes to a few others (its sources, chosen by RelayPlan) and serves its own subscribers. Records are
 * pushed to subscribers as soon as they are folded; heartbeats carry offsets, so that gaps are detected and fetched.
 * Each process tracks how fresh its state is and reads the log itself when its sources fail, so no process depends
 * permanently on another. A process that starts during a log outage adopts the newest state that its peers offer.
 *
 * The links, replica and listener must outlive the relay. Single-threaded.
 */
class ConfigRelay
{
public:
    ConfigRelay(RelayLinks &links, ConfigReplica &replica, RandomSource &random, ProcessName self, ZoneName zone,
                ConfigRelayOptions options = {});

    /** Sets the listener notified of records and states received through the relay; nullptr removes it. */
    void setListener(ReplicaListener *listener);

    /** Replaces the plan with @p plan, built from a new inventory. */
    void setPlan(std::shared_ptr<const RelayPlan> plan);

    /** Sets the phase and the number of running requests that this process's heartbeats report. */
    void setPhase(ProcessPhase phase, std::uint32_t openRequests);

    /** Called when a connection to or from @p process is up. @returns false when the caller must close it: the process
     * is no longer a source, or there are too many subscribers */
    bool linkUp(const ProcessName &process, LinkDirection direction, SteadyTime now);

    /** Called when the connection was lost or could not be established. */
    void linkDown(const ProcessName &process, LinkDirection direction, SteadyTime now);

    /**
     * Handles a received message.
     * @param from the name under which the connection was reported; a seed's name may differ from the sender's
     * @param envelope the envelope of its frame
     * @param message its decoded payload
     */
    void receive(const ProcessName &from, const Envelope &envelope, const ControlMessage &message, SteadyTime now);

    /** Sends @p records, which this process read from the log itself, to subscribers. */
    void forwardRecords(const std::vector<FoldedRecord> &records);

    /** Records whether the log answered. @p atEnd: the log held nothing beyond this process's offset. */
    void recordLogResult(bool answered, bool atEnd, SteadyTime now);

    /** Performs the work due at @p now. */
    void tick(SteadyTime now);

    /** Returns whether this process should read the log itself. */
    bool shouldReadLog() const;

    /** Returns how long ago the log is known to have held nothing beyond this process's offset; empty if never. */
    std::optional<std::chrono::milliseconds> freshAge(SteadyTime now) const;

    /** Returns all current sources and subscribers. */
    const std::map<ProcessName, RelayPeer> &peers() const;

    /** Returns the counters since the start. */
    const ConfigRelayCounters &counters() const;

private:
    void handle(const ProcessName &from, const RecordsRelay &relay, SteadyTime now);
    void handle(const ProcessName &from, const RecordsRequest &request, SteadyTime now);
    void handle(const ProcessName &from, const StateRequest &request, SteadyTime now);
    void handle(const ProcessName &from, const StateOffer &offer, SteadyTime now);
    void handle(const ProcessName &from, const Heartbeat &heartbeat, SteadyTime now);
    bool isFromEndedIncarnation(RelayPeer &peer, Incarnation incarnation);
    void pushRecords(const std::vector<FoldedRecord> &records, const ProcessName *excludedPeer);
    void dropSilentSources(SteadyTime now);
    void abandonSource(const ProcessName &process, SteadyTime now);
    std::vector<const RelayMember *> candidates() const;
    void chooseSources(SteadyTime now);
    void dropSurplusSources(const std::set<ProcessName> &wanted);
    void sendHeartbeats(SteadyTime now);
    void fetchMissing(SteadyTime now);
    void requestState(SteadyTime now);
    void updateLogReading(SteadyTime now);
    bool evaluateLogReading(SteadyTime now);
    const ProcessName *mostAdvancedPeer() const;
    bool hasConnectedSource() const;
    bool sourcesReportOutage() const;
    void erasePeerIfUnused(const ProcessName &process);

    RelayLinks &m_links;
    ConfigReplica &m_replica;
    RandomSource &m_random;
    ProcessName m_self;
    ZoneName m_zone;
    ConfigRelayOptions m_options;
    ReplicaListener *m_listener = nullptr;
    std::shared_ptr<const RelayPlan> m_plan;
    ImageAssembler m_assembler;
    std::map<ProcessName, RelayPeer> m_peers;
    std::map<ProcessName, SteadyTime> m_avoidedUntil;
    std::set<Incarnation> m_endedIncarnations; ///< bounded in size
    ProcessPhase m_phase = ProcessPhase::Starting;
    std::uint32_t m_openRequests = 0;
    SteadyTime m_nextHeartbeat{};
    SteadyTime m_nextFetch{};
    SteadyTime m_nextStateRequest{};
    SteadyTime m_nextOutagePoll{};
    std::map<ProcessName, SteadyTime> m_stateServedAt;
    std::optional<SteadyTime> m_withoutSourceSince;
    std::optional<SteadyTime> m_freshAt;
    SteadyTime m_startedAt{};
    LogOffset m_fetchedFrom{};
    int m_fetchAttempts = 0; ///< requests for the same offset so far
    bool m_isLogUnreachable = false; ///< as observed by this process itself
    bool m_shouldReadLog = true;
    ConfigRelayCounters m_counters;
};

} // namespace Heatherridge
