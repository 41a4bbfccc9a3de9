#include "heatherridge_coordination/config/configrelay.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxEndedIncarnations = 256;
constexpr std::size_t MaxAvoidedSources = 256;

} // namespace

ConfigRelay::ConfigRelay(RelayLinks &links, ConfigReplica &replica, RandomSource &random, ProcessName self,
                         ZoneName zone, ConfigRelayOptions options)
    : m_links(links)
    , m_replica(replica)
    , m_random(random)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_options(std::move(options))
{
}

void ConfigRelay::setListener(ReplicaListener *listener)
{
    m_listener = listener;
}

void ConfigRelay::setPlan(std::shared_ptr<const RelayPlan> plan)
{
    m_plan = std::move(plan);
}

void ConfigRelay::setPhase(ProcessPhase phase, std::uint32_t openRequests)
{
    m_phase = phase;
    m_openRequests = openRequests;
}

bool ConfigRelay::linkUp(const ProcessName &process, LinkDirection direction, SteadyTime now)
{
    if (direction == LinkDirection::Outgoing) {
        const auto source = m_peers.find(process);
        if (source == m_peers.end() || !source->second.isSource) {
            return false;
        }
        source->second.isConnected = true;
        source->second.lastReceivedAt = now;
        m_nextHeartbeat = std::min(m_nextHeartbeat, now); // reports this process's offset to the new source at once
        return true;
    }
    const auto subscribers =
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isSubscriber; });
    if (static_cast<std::size_t>(subscribers) >= m_options.maxSubscribers) {
        ++m_counters.refusedSubscribers;
        return false;
    }
    auto &peer = m_peers[process];
    peer.isSubscriber = true;
    peer.lastReceivedAt = now;
    return true;
}

void ConfigRelay::linkDown(const ProcessName &process, LinkDirection direction, SteadyTime now)
{
    const auto peer = m_peers.find(process);
    if (peer == m_peers.end()) {
        return;
    }
    if (direction == LinkDirection::Incoming) {
        peer->second.isSubscriber = false;
        erasePeerIfUnused(process);
    } else if (peer->second.isSource) {
        abandonSource(process, now);
    }
}

void ConfigRelay::receive(const ProcessName &from, const Envelope &envelope, const ControlMessage &message,
                          SteadyTime now)
{
    const auto peer = m_peers.find(from);
    if (peer == m_peers.end() || isFromEndedIncarnation(peer->second, envelope.incarnation)) {
        m_counters.oldIncarnation += peer == m_peers.end() ? 0 : 1;
        return;
    }
    peer->second.lastReceivedAt = now;
    peer->second.offset = std::max(peer->second.offset, envelope.offset);
    m_replica.notePeerOffset(envelope.offset);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        // Digests are comparable only at the offset that the sender had when it wrote the message.
        if (!m_replica.checkDigest(envelope.offset, heartbeat->digest)) {
            ++m_counters.diverged;
        }
    }
    std::visit([&](const auto &typed) { handle(from, typed, now); }, message);
}

bool ConfigRelay::isFromEndedIncarnation(RelayPeer &peer, Incarnation incarnation)
{
    // A frame from before a peer's restart may arrive late, over the old connection. Neither its offset nor its arrival
    // says anything about the peer's current run.
    if (m_endedIncarnations.contains(incarnation)) {
        return true;
    }
    if (peer.incarnation != incarnation) {
        if (peer.incarnation != Incarnation{}) {
            if (m_endedIncarnations.size() >= MaxEndedIncarnations) {
                m_endedIncarnations.erase(m_endedIncarnations.begin());
            }
            m_endedIncarnations.insert(peer.incarnation);
        }
        peer.incarnation = incarnation;
        peer.offset = {};
    }
    return false;
}

void ConfigRelay::handle(const ProcessName &from, const RecordsRelay &relay, SteadyTime /*now*/)
{
    std::vector<FoldedRecord> folded;
    for (const auto &record : relay.records) {
        auto newlyFolded = m_replica.receive(record);
        folded.insert(folded.end(), std::make_move_iterator(newlyFolded.begin()),
                      std::make_move_iterator(newlyFolded.end()));
    }
    if (folded.empty()) {
        return;
    }
    m_fetchAttempts = 0;
    pushRecords(folded, &from);
    if (m_listener != nullptr) {
        m_listener->recordsFolded(folded);
    }
}

void ConfigRelay::handle(const ProcessName &from, const RecordsRequest &request, SteadyTime /*now*/)
{
    auto records = m_replica.recentRecordsFrom(request.from);
    if (!records.empty()) {
        ++m_counters.relayed;
        m_links.send(from, RecordsRelay{.records = std::move(records)});
    }
}

void ConfigRelay::handle(const ProcessName &from, const StateRequest &request, SteadyTime now)
{
    auto &servedAt = m_stateServedAt[from];
    // A full state is large; repeated requests of one peer must not saturate the link.
    const bool tooSoon = servedAt != SteadyTime{} && now - servedAt < m_options.stateRequestInterval;
    if (tooSoon || m_replica.state().offset() <= request.newerThan) {
        return;
    }
    servedAt = now;
    ++m_counters.statesServed;
    for (auto &part : splitImage(m_replica.state().image())) {
        m_links.send(from, StateOffer{.part = std::move(part)});
    }
}

void ConfigRelay::handle(const ProcessName & /*from*/, const StateOffer &offer, SteadyTime /*now*/)
{
    const auto assembled = m_assembler.addPart(offer.part);
    if (!assembled || !m_replica.adopt(assembled->image, assembled->claimedDigest)) {
        return;
    }
    ++m_counters.statesAdopted;
    m_fetchAttempts = 0;
    if (m_listener != nullptr) {
        m_listener->stateReplaced();
    }
}

void ConfigRelay::handle(const ProcessName &from, const Heartbeat &heartbeat, SteadyTime now)
{
    auto &peer = m_peers.at(from);
    peer.heartbeat = heartbeat;
    if (heartbeat.caughtUpAge && m_replica.state().offset() >= peer.offset) {
        const auto freshAt = now - *heartbeat.caughtUpAge;
        m_freshAt = m_freshAt ? std::max(*m_freshAt, freshAt) : freshAt;
    }
}

void ConfigRelay::forwardRecords(const std::vector<FoldedRecord> &records)
{
    m_fetchAttempts = 0;
    pushRecords(records, nullptr);
}

void ConfigRelay::pushRecords(const std::vector<FoldedRecord> &records, const ProcessName *excludedPeer)
{
    // A process that reads the log without being a designated reader does so because its sources are behind, so it
    // sends the records to its sources as well.
    const bool includesSources = excludedPeer == nullptr && m_plan != nullptr && !m_plan->isReader(m_self);
    for (auto &[process, peer] : m_peers) {
        if ((excludedPeer != nullptr && process == *excludedPeer)
            || !(peer.isSubscriber || (includesSources && peer.isConnected))) {
            continue;
        }
        RecordsRelay relay;
        std::size_t bytes = 0;
        for (const auto &folded : records) {
            if (folded.record.offset <= peer.offset) {
                continue;
            }
            bytes += folded.record.payload.size();
            if (!relay.records.empty() && bytes > MaxRelayBytes) {
                break; // the peer detects the gap and requests the rest
            }
            relay.records.push_back(folded.record);
        }
        if (!relay.records.empty()) {
            peer.offset = relay.records.back().offset;
            ++m_counters.relayed;
            m_links.send(process, relay);
        }
    }
}

void ConfigRelay::recordLogResult(bool answered, bool atEnd, SteadyTime now)
{
    m_isLogUnreachable = !answered;
    if (answered && atEnd) {
        m_freshAt = now;
    }
}

void ConfigRelay::tick(SteadyTime now)
{
    if (m_startedAt == SteadyTime{}) {
        m_startedAt = now;
        m_nextHeartbeat = now
            + std::chrono::milliseconds(
                              m_random.below(static_cast<std::uint64_t>(m_options.heartbeatInterval.count())));
    }
    dropSilentSources(now);
    chooseSources(now);
    sendHeartbeats(now);
    fetchMissing(now);
    requestState(now);
    updateLogReading(now);
}

void ConfigRelay::dropSilentSources(SteadyTime now)
{
    std::vector<ProcessName> silent;
    for (const auto &[process, peer] : m_peers) {
        // A paused process keeps its connections open, so it can be detected only by its silence.
        if (peer.isSource && now - peer.lastReceivedAt > m_options.silenceTimeout) {
            silent.push_back(process);
        }
    }
    for (const auto &process : silent) {
        m_links.disconnect(process);
        abandonSource(process, now);
    }
}

void ConfigRelay::abandonSource(const ProcessName &process, SteadyTime now)
{
    ++m_counters.sourcesLost;
    if (m_avoidedUntil.size() >= MaxAvoidedSources) {
        m_avoidedUntil.clear();
    }
    m_avoidedUntil[process] = now + m_options.avoidancePeriod;
    auto &peer = m_peers.at(process);
    peer.isSource = false;
    peer.isConnected = false;
    erasePeerIfUnused(process);
}

std::vector<const RelayMember *> ConfigRelay::candidates() const
{
    auto found = m_plan != nullptr ? m_plan->sourcesOf(m_self, m_zone) : std::vector<const RelayMember *>();
    if (found.empty()) {
        for (const auto &seed : m_options.seeds) {
            found.push_back(&seed);
        }
    }
    return found;
}

void ConfigRelay::chooseSources(SteadyTime now)
{
    std::set<ProcessName> wanted;
    // A reader subscribes to the other readers of its zone, and to those of other zones only while it cannot reach the
    // log.
    const bool isReader = m_plan != nullptr && m_plan->isReader(m_self);
    for (const auto *candidate : candidates()) {
        const auto avoided = m_avoidedUntil.find(candidate->process);
        const bool usable = avoided == m_avoidedUntil.end() || avoided->second <= now;
        if (wanted.size() == m_options.sourceCount || !usable
            || (isReader && !m_isLogUnreachable && candidate->zone != m_zone)) {
            continue;
        }
        wanted.insert(candidate->process);
        auto &peer = m_peers[candidate->process];
        if (!peer.isSource) {
            peer.isSource = true;
            peer.isConnected = false;
            peer.lastReceivedAt = now;
            m_links.connect(candidate->process, candidate->endpoint);
        }
    }
    dropSurplusSources(wanted);
}

void ConfigRelay::dropSurplusSources(const std::set<ProcessName> &wanted)
{
    const bool replaced = std::any_of(wanted.begin(), wanted.end(),
                                      [this](const auto &process) { return m_peers.at(process).isConnected; });
    if (!replaced) {
        return; // keeps the present sources until a preferred one is connected
    }
    std::vector<ProcessName> surplus;
    for (const auto &[process, peer] : m_peers) {
        if (peer.isSource && !wanted.contains(process)) {
            surplus.push_back(process);
        }
    }
    for (const auto &process : surplus) {
        m_links.disconnect(process);
        m_peers.at(process).isSource = false;
        m_peers.at(process).isConnected = false;
        erasePeerIfUnused(process);
    }
}

void ConfigRelay::sendHeartbeats(SteadyTime now)
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    const Heartbeat heartbeat{.digest = m_replica.state().digest(),
                              .phase = m_phase,
                              .open = m_openRequests,
                              .caughtUpAge = freshAge(now),
                              .logUnreachable = m_isLogUnreachable || (!m_shouldReadLog && sourcesReportOutage())};
    for (const auto &[process, peer] : m_peers) {
        if (peer.isSubscriber || peer.isConnected) {
            m_links.send(process, heartbeat);
        }
    }
}

void ConfigRelay::fetchMissing(SteadyTime now)
{
    const auto missing = m_replica.firstMissingOffset();
    const auto *peer = mostAdvancedPeer();
    if (!missing || peer == nullptr || now < m_nextFetch) {
        return;
    }
    m_nextFetch = now + m_options.fetchInterval;
    m_fetchAttempts = *missing == m_fetchedFrom ? m_fetchAttempts + 1 : 1;
    m_fetchedFrom = *missing;
    m_links.send(*peer, RecordsRequest{.from = *missing});
}

void ConfigRelay::requestState(SteadyTime now)
{
    // Single records are not enough: this process has no state, or the records that it lacks are no longer kept
    // anywhere.
    const bool needsState =
        (m_isLogUnreachable || m_replica.isCutOff()) && m_fetchAttempts >= m_options.maxFetchAttempts;
    const auto *peer = mostAdvancedPeer();
    if (!needsState || peer == nullptr || now < m_nextStateRequest) {
        return;
    }
    m_nextStateRequest = now + m_options.stateRequestInterval;
    m_links.send(*peer, StateRequest{.newerThan = m_replica.state().offset()});
}

void ConfigRelay::updateLogReading(SteadyTime now)
{
    if (hasConnectedSource()) {
        m_withoutSourceSince.reset();
    } else if (!m_withoutSourceSince) {
        m_withoutSourceSince = now;
    }
    const bool didReadLog = m_shouldReadLog;
    m_shouldReadLog = evaluateLogReading(now);
    m_isLogUnreachable = m_isLogUnreachable && m_shouldReadLog; // outdated once the log is no longer read
    m_counters.logFallbacks += m_shouldReadLog && !didReadLog ? 1 : 0;
}

bool ConfigRelay::evaluateLogReading(SteadyTime now)
{
    const bool hasNoSources =
        std::none_of(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isSource; });
    const bool fetchFails = m_replica.firstMissingOffset() && m_fetchAttempts > m_options.maxFetchAttempts;
    if (m_plan == nullptr || m_plan->isReader(m_self) || !m_replica.isConfirmed() || fetchFails || hasNoSources) {
        return true;
    }
    if (m_withoutSourceSince) {
        return now - *m_withoutSourceSince > m_options.heartbeatInterval;
    }
    const bool stale = now - m_freshAt.value_or(m_startedAt) > m_options.staleAfter;
    if (!stale || !sourcesReportOutage()) {
        return stale;
    }
    // During an outage the state of every process becomes stale. If all of them polled the log, they would all hit it
    // at once on its return, so each polls rarely, at a randomized time.
    if (now < m_nextOutagePoll) {
        return false;
    }
    const bool isFirstPoll = m_nextOutagePoll == SteadyTime{};
    const auto pause = static_cast<std::uint64_t>(m_options.outagePollInterval.count());
    m_nextOutagePoll = now + std::chrono::milliseconds(pause / 2 + m_random.below(pause));
    return !isFirstPoll;
}

bool ConfigRelay::shouldReadLog() const
{
    return m_shouldReadLog;
}

std::optional<std::chrono::milliseconds> ConfigRelay::freshAge(SteadyTime now) const
{
    if (!m_freshAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_freshAt);
}

const ProcessName *ConfigRelay::mostAdvancedPeer() const
{
    const ProcessName *best = nullptr;
    LogOffset highest = m_replica.state().offset();
    for (const auto &[process, peer] : m_peers) {
        if ((peer.isConnected || peer.isSubscriber) && peer.offset > highest) {
            highest = peer.offset;
            best = &process;
        }
    }
    return best;
}

bool ConfigRelay::hasConnectedSource() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isConnected; });
}

bool ConfigRelay::sourcesReportOutage() const
{
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [](const auto &entry) { return !entry.second.isConnected || entry.second.heartbeat.logUnreachable; });
}

void ConfigRelay::erasePeerIfUnused(const ProcessName &process)
{
    const auto peer = m_peers.find(process);
    if (peer != m_peers.end() && !peer->second.isSource && !peer->second.isSubscriber) {
        m_stateServedAt.erase(process);
        m_peers.erase(peer);
    }
}

const std::map<ProcessName, RelayPeer> &ConfigRelay::peers() const
{
    return m_peers;
}

const ConfigRelayCounters &ConfigRelay::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
