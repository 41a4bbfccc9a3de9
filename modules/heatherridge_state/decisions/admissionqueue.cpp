#include "heatherridge_state/decisions/admissionqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Heatherridge
{

namespace
{

/**
 * Minimum and maximum retry delay sent with a refusal. A shorter delay costs more than it saves; further ahead the load
 * cannot be predicted.
 */
constexpr std::chrono::milliseconds MinRetryAfter{100};
constexpr std::chrono::milliseconds MaxRetryAfter{30'000};
/** How long slots stay reserved for short requests after the last short request. */
constexpr std::chrono::seconds ShortRequestMemory{10};
/** Long enough to cover tens of requests at a target, short enough to follow a burst. */
constexpr std::chrono::milliseconds PressureHalfLife{2000};
/** Minimum time between two sweeps of a workspace with waiting requests. */
constexpr std::chrono::milliseconds MinSweepInterval{100};
/** Weight of the newest request in the moving average of the cost. */
constexpr double CostSmoothing = 0.02;

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(options)
{
}

OfferResult AdmissionQueue::offer(const WorkRequest &request, SteadyTime now)
{
    Share &share = shareFor(request);
    if (m_draining) {
        return Error{.kind = ErrorKind::Draining, .ran = ExecutionStatus::No, .retryAfter = MinRetryAfter};
    }
    decayPressure(now);
    m_offeredCost += request.cost;
    m_averageCost =
        m_averageCost == 0 ? request.cost : m_averageCost * (1 - CostSmoothing) + request.cost * CostSmoothing;
    const bool isLong = request.cost > m_options.longRequestFactor * m_averageCost;
    if (!isLong) {
        m_lastShortArrival = now;
    }
    const auto latestStart = request.deadline - m_rate.durationOf(request.cost);
    if (latestStart < now) {
        return makeRefusal(ErrorKind::DeadlineUnreachable, share, request.cost, now);
    }
    const bool slotFree = m_running.size() < m_limit && (!isLong || mayStartLong(now));
    if (slotFree && m_waiting.empty()) {
        start(share, request, isLong, now);
        return Started{};
    }
    if (!isOverloaded(share, now) && now + expectedWait(share, now) > latestStart) {
        return makeRefusal(ErrorKind::DeadlineUnreachable, share, request.cost, now);
    }
    if (!makeRoom(share, now)) {
        return makeRefusal(ErrorKind::QueueFull, share, request.cost, now);
    }
    if (share.queue.isEmpty()) {
        m_activeWeight += share.weight;
        share.tag = std::max(share.tag, m_virtualTime - m_options.burst / share.weight);
    }
    share.queue.add({.request = request, .arrived = now, .latestStart = latestStart, .isLong = isLong}, now);
    m_waiting.emplace(request.id, request.workspace);
    scheduleSweep(share, now);
    return Queued{};
}

std::optional<RequestId> AdmissionQueue::startNext(SteadyTime now)
{
    sweep(now);
    if (m_running.size() >= m_limit || m_waiting.empty()) {
        return std::nullopt;
    }
    const bool allowLong = mayStartLong(now);
    Share *next = nullptr;
    double lowestTag = 0;
    for (auto &[name, share] : m_shares) {
        if (share.queue.isEmpty(allowLong)) {
            continue;
        }
        const double tag = share.tag - share.queue.highestPriority() * m_averageCost / share.weight;
        if (next == nullptr || tag < lowestTag) {
            next = &share;
            lowestTag = tag;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto waiting = next->queue.pop(now, allowLong, isOverloaded(*next, now));
    m_waiting.erase(waiting->request.id);
    if (next->queue.isEmpty()) {
        m_activeWeight -= next->weight;
    }
    start(*next, waiting->request, waiting->isLong, now);
    return waiting->request.id;
}

void AdmissionQueue::finish(const RequestId &id, double actualCost, SteadyTime now)
{
    const auto entry = m_running.find(id);
    if (entry == m_running.end()) {
        return;
    }
    const Running &running = entry->second;
    m_rate.record(running.cost, std::chrono::duration_cast<std::chrono::microseconds>(now - running.started));
    if (const auto share = m_shares.find(running.workspace); share != m_shares.end()) {
        share->second.tag += (actualCost - running.cost) / share->second.weight;
    }
    m_longRunning -= running.isLong ? 1 : 0;
    m_running.erase(entry);
}

bool AdmissionQueue::cancel(const RequestId &id)
{
    const auto entry = m_waiting.find(id);
    if (entry == m_waiting.end()) {
        return false;
    }
    auto &share = m_shares.at(entry->second);
    share.queue.remove(id);
    if (share.queue.isEmpty()) {
        m_activeWeight -= share.weight;
    }
    m_waiting.erase(entry);
    return true;
}

void AdmissionQueue::setLimit(std::size_t limit)
{
    m_limit = std::max<std::size_t>(limit, 1);
}

void AdmissionQueue::drain()
{
    m_draining = true;
    for (auto &[name, share] : m_shares) {
        while (const auto waiting = share.queue.popOldest()) {
            m_abandoned.push_back(
                {.id = waiting->request.id,
                 .error = {.kind = ErrorKind::Draining, .ran = ExecutionStatus::No, .retryAfter = MinRetryAfter}});
        }
    }
    m_waiting.clear();
    m_activeWeight = 0;
    m_nextSweep.reset();
}

std::vector<AbandonedRequest> AdmissionQueue::collectAbandoned()
{
    return std::exchange(m_abandoned, {});
}

void AdmissionQueue::sweep(SteadyTime now)
{
    if (!m_nextSweep || now <= *m_nextSweep) {
        return;
    }
    m_nextSweep.reset();
    for (auto &[name, share] : m_shares) {
        while (auto waiting = share.queue.popExpired(now)) {
            abandon(share, std::move(waiting), ErrorKind::DeadlineUnreachable, now);
        }
        abandonStale(share, now);
        scheduleSweep(share, now);
    }
}

std::optional<SteadyTime> AdmissionQueue::nextSweep() const
{
    return m_nextSweep;
}

AdmissionLoad AdmissionQueue::load() const
{
    AdmissionLoad load{.running = m_running.size(),
                       .waiting = m_waiting.size(),
                       .limit = m_limit,
                       .pressure = m_startedCost > 0 ? std::max(1.0, m_offeredCost / m_startedCost) : 1,
                       .capacity = static_cast<double>(m_limit) * m_averageCost};
    for (const auto &[name, share] : m_shares) {
        load.waitingCost += share.queue.backlog();
    }
    for (const auto &[id, running] : m_running) {
        load.runningCost += running.cost;
    }
    return load;
}

std::size_t AdmissionQueue::running() const
{
    return m_running.size();
}

std::size_t AdmissionQueue::waiting() const
{
    return m_waiting.size();
}

AdmissionQueue::Share &AdmissionQueue::shareFor(const WorkRequest &request)
{
    Share &share = m_shares[request.workspace];
    if (!share.queue.isEmpty()) {
        m_activeWeight += request.weight - share.weight;
    }
    share.weight = request.weight;
    return share;
}

/** Returns the fair share of slots for @p share while it competes with other workspaces that have waiting requests. */
double AdmissionQueue::fairSlots(const Share &share) const
{
    const double otherWeight = m_activeWeight - (share.queue.isEmpty() ? 0 : share.weight);
    return static_cast<double>(m_limit) * share.weight / (share.weight + std::max(otherWeight, 0.0));
}

/**
 * Returns whether @p share is overloaded by its own traffic. A workspace whose tag stays behind virtual time even with
 * its backlog added has received less than its share. It is served before workspaces that exceed theirs, so its waits
 * are short, and abandoning its requests would give its share to those workspaces.
 */
bool AdmissionQueue::isOverloaded(const Share &share, SteadyTime now) const
{
    if (share.tag + share.queue.backlog() / share.weight < m_virtualTime) {
        return false;
    }
    const auto lastShortWait = share.queue.lastShortWait();
    return lastShortWait && now - *lastShortWait > m_options.overloadDelay;
}

bool AdmissionQueue::mayStartLong(SteadyTime now) const
{
    if (!m_lastShortArrival || now - *m_lastShortArrival > ShortRequestMemory) {
        return true;
    }
    const double maxLong = std::max(1.0, m_options.longRequestShare * static_cast<double>(m_limit));
    return static_cast<double>(m_longRunning) < maxLong;
}

std::chrono::microseconds AdmissionQueue::expectedWait(const Share &share, SteadyTime /*now*/) const
{
    return m_rate.drainTime(share.queue.backlog(), fairSlots(share));
}

/**
 * Returns the retry delay for a refused request: the time needed to work off the backlog and the requests refused
 * before. Counting the latter spreads the retries; without it all refused callers would return at the same time.
 */
std::chrono::milliseconds AdmissionQueue::retryDelay(Share &share, double cost, SteadyTime now)
{
    const double slots = fairSlots(share);
    if (m_rate.isKnown()) {
        const std::chrono::duration<double, std::micro> elapsed = now - share.deferredAt;
        const double timePerUnit = static_cast<double>(m_rate.drainTime(1'000, slots).count()) / 1'000;
        share.deferredCost = std::max(0.0, share.deferredCost - elapsed.count() / std::max(timePerUnit, 1e-3));
    }
    share.deferredAt = now;
    share.deferredCost += cost;
    const auto delay = m_rate.drainTime(share.queue.backlog() + share.deferredCost, slots);
    // The deferred cost is bounded too, so that the delay becomes accurate again soon after the load has dropped.
    if (delay > MaxRetryAfter) {
        share.deferredCost -= cost;
    }
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(delay), MinRetryAfter, MaxRetryAfter);
}

Error AdmissionQueue::makeRefusal(ErrorKind kind, Share &share, double cost, SteadyTime now)
{
    return Error{.kind = kind, .ran = ExecutionStatus::No, .retryAfter = retryDelay(share, cost, now)};
}

/**
 * A workspace is over its limit if it has received more for its weight than the workspaces it competes with. Otherwise
 * the target lacks capacity for all of them, and another target may have more.
 */
ErrorKind AdmissionQueue::overloadKind(const Share &share) const
{
    const bool isOverShare = share.tag - m_virtualTime > m_averageCost / share.weight;
    const bool isAlone = m_activeWeight <= share.weight * 1.001;
    return isOverShare && !isAlone ? ErrorKind::WorkspaceOverLimit : ErrorKind::Overloaded;
}

void AdmissionQueue::abandon(Share &share, std::optional<WorkspaceQueue::QueuedRequest> waiting, ErrorKind kind,
                             SteadyTime now)
{
    if (!waiting) {
        return;
    }
    m_waiting.erase(waiting->request.id);
    m_abandoned.push_back({.id = waiting->request.id, .error = makeRefusal(kind, share, waiting->request.cost, now)});
    if (share.queue.isEmpty()) {
        m_activeWeight -= share.weight;
    }
}

/**
 * Abandons requests that have waited too long in an overloaded queue, as long as newer requests arrive to replace them.
 * If none arrive, for example after a neighbouring target failed and its work arrived here all at once, abandoning
 * requests would leave slots idle later.
 */
void AdmissionQueue::abandonStale(Share &share, SteadyTime now)
{
    while (isOverloaded(share, now) && now - *share.queue.lastArrival() < m_options.maxOverloadWait
           && now - *share.queue.oldestArrival() >= m_options.maxOverloadWait) {
        abandon(share, share.queue.popOldest(), overloadKind(share), now);
    }
}

void AdmissionQueue::scheduleSweep(const Share &share, SteadyTime now)
{
    if (share.queue.isEmpty()) {
        return;
    }
    // If the oldest request has already waited that long, the queue is checked again to see whether it has become
    // overloaded.
    const auto staleAt = std::max(*share.queue.oldestArrival() + m_options.maxOverloadWait, now + MinSweepInterval);
    const auto next = std::min(staleAt, *share.queue.earliestLatestStart());
    m_nextSweep = m_nextSweep ? std::min(*m_nextSweep, next) : next;
}

/**
 * Makes room for a request of @p share when the queue is full: the workspace with the largest backlog for its weight
 * loses its oldest request. Without this a workspace that fills the queue would lock out the others before shares take
 * effect.
 */
bool AdmissionQueue::makeRoom(Share &share, SteadyTime now)
{
    if (m_waiting.size() < m_options.queueCapacity) {
        return true;
    }
    Share *largest = &share;
    for (auto &[name, other] : m_shares) {
        if (other.queue.backlog() / other.weight > largest->queue.backlog() / largest->weight) {
            largest = &other;
        }
    }
    if (largest == &share && !isOverloaded(share, now)) {
        return false;
    }
    abandon(*largest, largest->queue.popOldest(), ErrorKind::QueueFull, now);
    return true;
}

/** Decays the offered and the started cost at the same rate, so that their ratio reflects the last seconds. */
void AdmissionQueue::decayPressure(SteadyTime now)
{
    const std::chrono::duration<double> elapsed = now - m_decayedAt;
    m_decayedAt = now;
    const double factor = std::exp2(-(elapsed / PressureHalfLife));
    m_offeredCost *= factor;
    m_startedCost *= factor;
}

void AdmissionQueue::start(Share &share, const WorkRequest &request, bool isLong, SteadyTime now)
{
    share.tag = std::max(share.tag, m_virtualTime - m_options.burst / share.weight);
    m_virtualTime = std::max(m_virtualTime, share.tag);
    share.tag += request.cost / share.weight;
    decayPressure(now);
    m_startedCost += request.cost;
    m_longRunning += isLong ? 1 : 0;
    m_running.emplace(request.id,
                      Running{.workspace = request.workspace, .cost = request.cost, .started = now, .isLong = isLong});
}

} // namespace Heatherridge
