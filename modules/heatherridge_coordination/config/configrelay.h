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

/** Times and bounds of the relay. */
struct ConfigRelayOptions
{
    std::size_t sourceCount = 2; ///< processes asked at a time; with two, one may fail without a gap
    std::size_t maxSubscribers = 64; ///< processes served at a time; more are turned away to the next candidate
    std::chrono::milliseconds heartbeatInterval{1'000};
    std::chrono::milliseconds silenceTimeout{3'500}; ///< a source that is not heard for so long is given up
    std::chrono::milliseconds avoidancePeriod{15'000}; ///< how long a source that failed is not tried again
    std::chrono::milliseconds fetchInterval{250}; ///< between requests for missing records
    std::chrono::milliseconds stateRequestInterval{5'000}; ///< between requests for a whole state
    std::chrono::milliseconds staleAfter{8'000}; ///< without news of the log, the log is read directly
    std::chrono::milliseconds outagePollInterval{60'000}; ///< the same while the sources report that the log is out
    int maxFetchAttempts = 3; ///< requests without effect after which the log is read directly
    /** Peers from the settings, asked while there is no inventory that names any: a process that starts in an outage
     * of the log has nowhere else to get its first state from. */
    std::vector<RelayMember> seeds{};
};

/** What the relay has done and refused, by reason. */
struct ConfigRelayCounters
{
    std::uint64_t relayed = 0; ///< messages with records sent
    std::uint64_t sourcesLost = 0; ///< sources given up: silent, or their connection gone
    std::uint64_t refusedSubscribers = 0; ///< subscribers beyond the bound
    std::uint64_t oldIncarnation = 0; ///< messages from a run of a process that has ended
    std::uint64_t logFallbacks = 0; ///< times that the log was read directly for lack of a source
    std::uint64_t statesServed = 0;
    std::uint64_t statesAdopted = 0;
    std::uint64_t diverged = 0; ///< peers found with another digest at the same offset
};

/** What is known of one peer. */
struct RelayPeer
{
    bool isSource = false; ///< this process asks it
    bool isSubscriber = false; ///< it asks this process
    bool isConnected = false; ///< for a source: connected
    Incarnation incarnation{};
    LogOffset offset{}; ///< what it has folded, or has been sent
    SteadyTime lastReceivedAt{};
    Heartbeat heartbeat{}; ///< the last one
};

/**
 * Brings the records of the control stream to every process without every process reading the log.
 *
 * A process asks a few others (its sources, as RelayPlan gives them) and serves those that ask it. Records are pushed
 * to subscribers as soon as they are folded; heartbeats tell offsets, so that a gap is seen and fetched. Each process
 * knows how fresh its state is, and reads the log itself when its sources fail it, so nobody depends on any other for
 * good. In an outage of the log a process that starts takes the highest state that its peers offer.
 *
 * Links, replica and listener must outlive it. One thread.
 */
class ConfigRelay
{
public:
    ConfigRelay(RelayLinks &links, ConfigReplica &replica, RandomSource &random, ProcessName self, ZoneName zone,
                ConfigRelayOptions options = {});

    /** Who is told what came in through the relay; nullptr for nobody. */
    void setListener(FollowerListener *listener);

    /** Takes up @p plan, made from a new inventory. */
    void setPlan(std::shared_ptr<const RelayPlan> plan);

    /** What the own heartbeats say beside offset and digest. */
    void setPhase(ProcessPhase phase, std::uint32_t openRequests);

    /** A connection to or from @p process is up. @returns false when it should be closed again: too many. */
    bool linkUp(const ProcessName &process, LinkDirection direction, SteadyTime now);

    /** The connection is gone, or could not be made. */
    void linkDown(const ProcessName &process, LinkDirection direction, SteadyTime now);

    /**
     * Takes a message.
     * @param from the peer under whose name the connection was reported; a seed's name may differ from its sender's
     * @param envelope the frame it came in
     * @param message its decoded payload
     */
    void receive(const ProcessName &from, const Envelope &envelope, const ControlMessage &message, SteadyTime now);

    /** Records that this process read from the log itself, to be handed on. */
    void forwardRecords(const std::vector<FoldedRecord> &records);

    /** The log has answered, or not. @p atEnd: nothing lies beyond the own offset. */
    void recordLogResult(bool answered, bool atEnd, SteadyTime now);

    /** Does what is due at @p now. */
    void tick(SteadyTime now);

    /** Whether this process should read the log itself. */
    bool shouldReadLog() const;

    /** How long ago the log is known to have held nothing beyond the own offset; nothing when never. */
    std::optional<std::chrono::milliseconds> freshAge(SteadyTime now) const;

    /** All peers. */
    const std::map<ProcessName, RelayPeer> &peers() const;

    /** Counters since the start. */
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
    FollowerListener *m_listener = nullptr;
    std::shared_ptr<const RelayPlan> m_plan;
    ImageAssembler m_assembler;
    std::map<ProcessName, RelayPeer> m_peers;
    std::map<ProcessName, SteadyTime> m_avoidedUntil;
    std::set<Incarnation> m_endedIncarnations; ///< bounded
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
    bool m_isLogUnreachable = false; ///< as this process itself has seen
    bool m_shouldReadLog = true;
    ConfigRelayCounters m_counters;
};

} // namespace Heatherridge
