#include "fakeentry.h"

namespace Heatherridge::PolicyModel
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace
{

constexpr microseconds LocalDelay{50};
constexpr microseconds ZoneDelay{500};
constexpr microseconds NeverReported{3'600'000'000};

std::uint64_t prefixHash(int prefix)
{
    return rendezvousHash(0x50, static_cast<std::uint64_t>(prefix)) | 1U;
}

RetryOptions withoutBudget(RetryOptions options)
{
    options.budget = {.earnedPerSuccess = 100, .initialBalance = 1e9, .maxBalance = 1e9};
    return options;
}

} // namespace

FakeEntry::FakeEntry(std::size_t number, int zone, EntryOptions options, std::vector<FakeGate *> gates,
                     std::vector<int> gateZones, EventLoop &loop, Recorder &recorder, std::uint64_t seed)
    : m_number(number)
    , m_zone(zone)
    , m_options(options)
    , m_gates(std::move(gates))
    , m_gateZones(std::move(gateZones))
    , m_loop(loop)
    , m_recorder(recorder)
    , m_random(seed)
    , m_placement(options.placement)
    , m_retries(options.budget ? options.retry : withoutBudget(options.retry))
    , m_links(m_gates.size())
    , m_views(m_gates.size())
{
    for (std::size_t target = 0; target < m_gates.size(); ++target) {
        m_health.add(nameOf(target));
        m_views[target].key = targetKey(nameOf(target));
        m_views[target].zoneDelay = delayTo(target);
    }
}

void FakeEntry::accept(const Job &job)
{
    m_recorder.recordArrival(job);
    place({.job = job});
}

void FakeEntry::receiveReport(std::size_t target, const GateReport &report)
{
    m_links[target].report = report;
    m_links[target].reported = m_loop.now();
    m_links[target].promptSent = 0;
    if (m_options.slowness && report.tokenGap.count() > 0) {
        m_slowness.record(target, report.tokenGap, m_loop.now());
    }
}

void FakeEntry::receiveCacheEvents(std::size_t target, const std::vector<CacheEvent> &events, bool complete)
{
    if (!complete && m_options.dropPrefixesOnGap) {
        m_prefixes.removeTarget(static_cast<TargetSlot>(target));
    }
    for (const auto &event : events) {
        const std::uint64_t chain[] = {prefixHash(event.prefix)};
        if (event.stored) {
            m_prefixes.insert(static_cast<TargetSlot>(target), chain, m_loop.now());
        } else {
            m_prefixes.erase(static_cast<TargetSlot>(target), chain[0]);
        }
    }
}

void FakeEntry::place(PendingRequest request)
{
    if (m_options.oracle) {
        fillOracleViews(request.job);
    } else {
        fillViews(request);
    }
    const RequestTraits traits{.cost = request.job.cost,
                               .promptTokens = request.job.promptTokens,
                               .affinityKey = prefixHash(request.job.prefix),
                               .mayProbe = true};
    const auto chosen = m_placement.choose(m_views, traits, m_random);
    if (const auto *error = errorIn(chosen)) {
        refuse(request.job, *error);
        return;
    }
    const auto target = std::get<std::size_t>(chosen);
    request.job.expectedFresh = request.job.promptTokens - m_views[target].prefixTokens;
    attempt(std::move(request), target);
}

void FakeEntry::attempt(PendingRequest request, std::size_t target)
{
    auto &link = m_links[target];
    const std::uint64_t chain[] = {prefixHash(request.job.prefix)};
    m_prefixes.insert(static_cast<TargetSlot>(target), chain, m_loop.now());
    m_recorder.recordAttempt(request.job, target, m_gateZones[target] == m_zone, m_loop.now());
    link.load += request.job.cost;
    link.promptSent += request.job.expectedFresh;
    ++link.inFlight;
    m_loop.after(delayTo(target), [this, request = std::move(request), target] {
        m_gates[target]->offer(request.job, m_number, [this, request, target](const AttemptResult &result) {
            const auto report = m_gates[target]->reportFor(m_number);
            m_loop.after(delayTo(target), [this, request, target, result, report] {
                receiveReport(target, report);
                handleCompletion(request, target, result);
            });
        });
    });
}

void FakeEntry::handleCompletion(const PendingRequest &request, std::size_t target, const AttemptResult &result)
{
    auto &link = m_links[target];
    link.load -= request.job.cost;
    --link.inFlight;
    if (result.error) {
        handleFailure(request, target, *result.error);
        return;
    }
    m_health.record(nameOf(target), AttemptOutcome::Succeeded, m_loop.now());
    m_retries.recordSuccess();
    m_recorder.recordAnswer(request.job, result.started + result.engineResult.timeToFirstToken + delayTo(target),
                            m_loop.now(), result.engineResult);
}

void FakeEntry::handleFailure(PendingRequest request, std::size_t target, const Error &error)
{
    const bool isFault = error.kind == ErrorKind::TargetUnreachable || error.kind == ErrorKind::OutcomeUnknown;
    if (isFault) {
        m_health.record(nameOf(target), AttemptOutcome::Failed, m_loop.now());
        m_prefixes.removeTarget(static_cast<TargetSlot>(target));
    }
    if (!m_options.retries) {
        refuse(request.job, error);
        return;
    }
    request.refusedBy.insert(target);
    const auto decision = m_retries.decide({.error = error,
                                            .idempotent = true,
                                            .hasOtherTargets = request.refusedBy.size() < m_gates.size(),
                                            .previousAttempts = request.attempt,
                                            .deadline = request.job.deadline},
                                           m_loop.now(), m_random);
    m_recorder.recordVerdict(request.job, decision.verdict);
    if (decision.verdict != RetryVerdict::Retry) {
        refuse(request.job, error);
        return;
    }
    ++request.attempt;
    m_loop.after(decision.delay, [this, request = std::move(request)] { place(request); });
}

void FakeEntry::refuse(Job job, const Error &error)
{
    m_recorder.recordRefusal(job, error.kind, m_loop.now());
    if (job.clientRetries >= m_options.maxClientRetries || !error.retryAfter) {
        return;
    }
    ++job.clientRetries;
    const auto allowed = job.deadline - job.arrived;
    m_loop.after(*error.retryAfter, [this, job, allowed]() mutable {
        job.arrived = m_loop.now();
        job.deadline = job.arrived + allowed;
        accept(job);
    });
}

void FakeEntry::fillViews(const PendingRequest &request)
{
    const std::uint64_t chain[] = {prefixHash(request.job.prefix)};
    for (std::size_t target = 0; target < m_views.size(); ++target) {
        auto &view = m_views[target];
        const auto &link = m_links[target];
        const auto health = m_options.health ? m_health.healthOf(nameOf(target), m_loop.now()) : Health::Healthy;
        view.reportedLoad = link.report.load;
        view.reportedCapacity = link.report.capacity;
        view.reportedPressure = m_options.usePressure ? link.report.pressure : 1;
        view.pendingPromptTokens = m_options.usePending ? link.report.pendingPrompt + link.promptSent : 0;
        view.ownAtReport = link.report.entryLoad;
        view.reportAge = link.reported ? duration_cast<microseconds>(m_loop.now() - *link.reported) : NeverReported;
        view.ownLoad = link.load;
        view.ownInFlight = link.inFlight;
        view.warmth = link.report.warmth;
        view.slowness = m_options.slowness ? m_slowness.slowness(target) : 1;
        view.awaitsProbe = health == Health::Probing;
        view.usable = health == Health::Healthy && !request.refusedBy.contains(target);
        view.prefixTokens = 0;
    }
    for (const auto &match : m_prefixes.match(chain, m_loop.now())) {
        m_views[static_cast<std::size_t>(match.target)].prefixTokens =
            static_cast<std::uint32_t>(request.job.prefixTokens);
    }
}

void FakeEntry::fillOracleViews(const Job &job)
{
    for (std::size_t target = 0; target < m_views.size(); ++target) {
        auto &view = m_views[target];
        auto &gate = *m_gates[target];
        view.usable = gate.isUp();
        view.reportedLoad = gate.reportFor(m_number).load;
        view.pendingPromptTokens = m_options.usePending ? gate.reportFor(m_number).pendingPrompt : 0;
        view.reportedPressure = gate.reportFor(m_number).pressure;
        view.reportedCapacity = gate.reportFor(m_number).capacity;
        view.prefixTokens = gate.engine().isCached(job.prefix) ? static_cast<std::uint32_t>(job.prefixTokens) : 0;
        view.slowness = gate.engine().slowness();
    }
}

microseconds FakeEntry::delayTo(std::size_t target) const
{
    return m_gateZones[target] == m_zone ? LocalDelay : ZoneDelay;
}

TargetName FakeEntry::nameOf(std::size_t target) const
{
    return TargetName("t" + std::to_string(target));
}

} // namespace Heatherridge::PolicyModel
