#include "heatherridge_transport/direct/gatewaytraffic.h"

#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/direct/gatewaycall.h"

#include <cmath>
#include <random>

namespace Heatherridge
{

namespace
{

/** Retry delay for callers while there is no configuration: the time of one read of the log. */
constexpr std::chrono::milliseconds UnconfiguredRetryAfter{200};
/** How often waiting streams look for an engine with free capacity: half of a short pass. */
constexpr std::chrono::milliseconds QueuePeriod{20};

} // namespace

GatewayTraffic::Counters::Counters(Metrics &metrics)
    : requests(metrics.counter("heatherridge_requests_total"))
    , plainAnswers(metrics.counter("heatherridge_plain_answers_total"))
    , retries(metrics.counter("heatherridge_repeats_total"))
    , retriesDenied(metrics.counter("heatherridge_repeats_denied_total"))
    , resumedStreams(metrics.counter("heatherridge_streams_resumed_total"))
    , limitStatements(metrics.counter("heatherridge_target_statements_total", R"(kind="limit")"))
    , backoffStatements(metrics.counter("heatherridge_target_statements_total", R"(kind="backoff")"))
    , drainingStatements(metrics.counter("heatherridge_target_statements_total", R"(kind="draining")"))
    , warmUpStatements(metrics.counter("heatherridge_target_statements_total", R"(kind="warm-up")"))
    , malformedStatements(metrics.counter("heatherridge_target_statements_malformed_total"))
    , heldBackRequests(metrics.counter("heatherridge_requests_held_back_total"))
    , streamFirstEvent(metrics.histogram("heatherridge_stream_first_event_seconds"))
    , abandonedAnswers(metrics.counter("heatherridge_answers_abandoned_total"))
    , plainAnswer(metrics.histogram("heatherridge_plain_answer_seconds"))
    , retrySlackPercent(metrics.gauge("heatherridge_retry_slack_percent"))
    , responseBytesHeld(metrics.gauge("heatherridge_response_bytes_held"))
{
}

GatewayTraffic::GatewayTraffic(asio::io_context &loop, Options options, const TrafficCodec &codec, Metrics &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_codec(codec)
    , m_metrics(metrics)
    , m_counters(metrics)
    , m_admissionControl(
          metrics,
          [this](const ServiceName &service, SteadyTime now) { return m_targets.engineShares().share(service, now); })
    , m_targets(
          m_options.zone, m_options.zoneRegions, m_options.warmUpTolerance,
          {.ownDemand = [this](const auto &service, auto now) { return m_admissionControl.demandOf(service, now); },
           .metrics = &metrics})
    , m_pool(loop, metrics)
    , m_probe(loop, m_options.connectTimeout, metrics)
    , m_crashGuard(m_options.run,
                   {.recordCreated = m_options.reportCrash,
                    .requestBlocked = [this](const auto &request) { cancelBlocked(request); }},
                   metrics)
    , m_promptPartGuard(
          m_options.run,
          {.recordCreated = m_options.reportCrash, .partBlocked = [this](PromptPart part) { cancelBlocked(part); }},
          metrics)
    , m_brokenAttempts(
          m_probe,
          {m_crashGuard, m_promptPartGuard, [this](const auto &target) { m_targets.recordUnreachable(target); }},
          metrics)
    , m_random(std::random_device{}())
    , m_responseBytes(m_options.maxResponseBytes)
    , m_slackShare({.window = m_options.retryBudget.window,
                    .start = std::chrono::steady_clock::now(),
                    .isSoleUser = m_options.isOnlyGateway})
    , m_queueTimer(loop)
{
}

GatewayTraffic::~GatewayTraffic() = default;

void GatewayTraffic::setTable(std::shared_ptr<const RouteTable> table)
{
    m_targets.setServices(table->config());
    m_admissionControl.setConfig(table->config());
    m_table = std::move(table);
}

void GatewayTraffic::setTargets(const std::vector<TargetEntry> &entries)
{
    m_hasTargets = m_hasTargets || !entries.empty();
    for (const auto &target : m_targets.setEntries(entries, std::chrono::steady_clock::now())) {
        m_pool.evict(target);
    }
}

void GatewayTraffic::applyHeartbeats(const std::vector<TargetHeartbeat> &heartbeats)
{
    for (const auto &target : m_targets.recordHeartbeats(heartbeats)) {
        logEvent(Severity::Info, "target-not-restarted", {{"target", target.text()}});
    }
}

bool GatewayTraffic::mayExpectRestarts() const
{
    return m_targets.mayExpectRestarts();
}

void GatewayTraffic::setRetryBudget(FleetRetryBudgetOptions options)
{
    m_options.retryBudget = options;
    m_slackShare.setWindow(options.window);
    for (auto &[service, budget] : m_retryBudgets) {
        budget.setOptions(options);
    }
}

void GatewayTraffic::setShares(double limitShare, double evenShare, int knownGateways)
{
    m_targets.setLimitShare(limitShare);
    m_targets.engineShares().setEvenShare(evenShare, knownGateways);
    m_admissionControl.setKnownGateways(knownGateways);
}

void GatewayTraffic::setDrainedZones(const std::set<ZoneName> &zones)
{
    m_targets.setDrainedZones(zones, std::chrono::steady_clock::now());
}

void GatewayTraffic::setOwnedPartitions(const OwnedPartitions &owned)
{
    const auto now = std::chrono::steady_clock::now();
    m_targets.setOwnedPartitions(owned, now);
    m_slackShare.setPartitions(owned, now);
}

std::vector<ServiceDemand> GatewayTraffic::demand(SteadyTime now) const
{
    return m_admissionControl.demand(now);
}

void GatewayTraffic::setFleetDemand(FleetDemand demand)
{
    m_targets.engineShares().setFleetDemand(demand, std::chrono::steady_clock::now());
    m_admissionControl.setFleetDemand(std::move(demand));
}

void GatewayTraffic::beginStop(const StopSchedule &schedule)
{
    m_stop = schedule;
}

void GatewayTraffic::updateEngines(const std::vector<EngineView> &engines)
{
    m_targets.updateEngines(engines);
}

void GatewayTraffic::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    m_counters.requests.add();
    auto fields = m_codec.readCallerFields(exchange->request().headers);
    exchange->setLogId(fields.id.text());
    const auto accepted = accept(exchange->request(), fields);
    if (const auto *error = errorIn(accepted)) {
        refuse(exchange, fields.id, *error);
        return;
    }
    const auto call = std::make_shared<GatewayCall>(*this, ++m_callCount, exchange, std::move(fields), m_table,
                                                    std::get<RouteMatch>(accepted));
    m_calls.insert(call);
    call->start();
}

void GatewayTraffic::tick(SteadyTime now)
{
    m_pool.tick(now);
    m_crashGuard.tick(now);
    m_targets.tick(now);
    m_admissionControl.tick(now);
    reportSlackShare(now);
    m_counters.responseBytesHeld.set(static_cast<std::int64_t>(m_responseBytes.held()));
}

void GatewayTraffic::reportSlackShare(SteadyTime now)
{
    constexpr double percent = 100;
    const auto usable = m_slackShare.usableFraction(now);
    m_counters.retrySlackPercent.set(std::lround(usable * percent));
    const auto held = m_slackShare.heldFraction(now);
    if (m_reportedSlackShare != held) {
        m_reportedSlackShare = held;
        logEvent(Severity::Info, "retry-slack",
                 {{"held-percent", std::to_string(std::lround(held * percent))},
                  {"usable-percent", std::to_string(std::lround(usable * percent))},
                  {"whole-window", m_slackShare.isPastKnown(now) ? "yes" : "no"}});
    }
}

void GatewayTraffic::tickPromptParts(SteadyTime now)
{
    m_promptPartGuard.tick(now);
}

bool GatewayTraffic::isReady() const
{
    return m_table != nullptr && m_hasTargets;
}

std::size_t GatewayTraffic::openCallCount() const
{
    return m_calls.size();
}

void GatewayTraffic::endCalls()
{
    const std::vector<std::shared_ptr<GatewayCall>> calls(m_calls.begin(), m_calls.end());
    for (const auto &call : calls) {
        call->endForStop();
    }
}

void GatewayTraffic::stop()
{
    for (const auto &call : std::exchange(m_calls, {})) {
        call->drop();
    }
}

FleetRetryBudget &GatewayTraffic::retryBudgetFor(const ServiceName &service)
{
    return m_retryBudgets.try_emplace(service, m_options.retryBudget, m_slackShare).first->second;
}

RunningEstimate &GatewayTraffic::firstEventDelayFor(const ServiceName &service)
{
    return m_firstEventDelays[service];
}

void GatewayTraffic::applyTargetStatements(GatewayTarget &target, const TargetResponseFields &fields,
                                           const RequestId &request)
{
    if (fields.hasMalformedStatement) {
        m_counters.malformedStatements.add();
        logEvent(Severity::Warning, "target-statement-malformed",
                 {{"target", target.entry.id.text()}, {"request", request.text()}});
    }
    for (const auto &statement : fields.statements) {
        if (m_targets.applyStatement(target, statement, std::chrono::steady_clock::now(), m_random)) {
            reportStatement(target.entry, statement, request);
        }
    }
}

void GatewayTraffic::reportStatement(const TargetEntry &target, const TargetStatement &statement,
                                     const RequestId &request)
{
    const auto log = [&](std::string_view event, std::string_view name, std::string value) {
        logEvent(Severity::Info, event,
                 {{"target", target.id.text()}, {name, std::move(value)}, {"request", request.text()}});
    };
    std::visit(Visitor{[&](const RateLimitStatement &limit) {
                           const auto &rate = limit.requestsPerSecond;
                           m_counters.limitStatements.add();
                           log("target-limit", "requests-per-second", rate ? std::to_string(*rate) : "none");
                       },
                       [&](const BackoffStatement &backoff) {
                           m_counters.backoffStatements.add();
                           log("target-backoff", "backoff-ms", std::to_string(backoff.duration.count()));
                       },
                       [&](const DrainingStatement &) {
                           m_counters.drainingStatements.add();
                           log("target-draining", "service", target.service.text());
                       },
                       [&](const WarmUpStatement &warmUp) {
                           m_counters.warmUpStatements.add();
                           log("target-cold", "remaining-ms", std::to_string(warmUp.remaining.count()));
                       }},
               statement);
}

void GatewayTraffic::enqueue(const std::shared_ptr<GatewayCall> &call, const WaitingStream &stream)
{
    m_queue.enqueue(stream, std::chrono::steady_clock::now());
    m_waitingCalls.insert_or_assign(stream.number, call);
    armQueueTimer();
}

void GatewayTraffic::dequeue(std::uint64_t number)
{
    m_queue.remove(number);
    m_waitingCalls.erase(number);
}

void GatewayTraffic::admit(std::uint64_t number, SteadyTime now)
{
    m_queue.admit(number, now);
    m_waitingCalls.erase(number);
}

void GatewayTraffic::armQueueTimer()
{
    if (m_isQueueTimerArmed || m_queue.isEmpty()) {
        return;
    }
    m_isQueueTimerArmed = true;
    m_queueTimer.expires_after(QueuePeriod);
    m_queueTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            m_isQueueTimerArmed = false;
            advanceQueue();
            armQueueTimer();
        }
    });
}

void GatewayTraffic::advanceQueue()
{
    const auto now = std::chrono::steady_clock::now();
    admitInOrder(
        m_queue.inAdmissionOrder(now),
        [this, now](const WaitingStream &stream) { return m_admissionControl.queueClass(stream, now); },
        [this](const WaitingStream &stream) { return retryPlacement(stream.number); });
}

bool GatewayTraffic::retryPlacement(std::uint64_t number)
{
    const auto found = m_waitingCalls.find(number);
    const auto call = found == m_waitingCalls.end() ? nullptr : found->second.lock();
    if (!call) {
        dequeue(number);
        return true;
    }
    call->retryPlacement();
    return !m_waitingCalls.contains(number);
}

std::chrono::milliseconds GatewayTraffic::expectedWait(const WaitingStream &stream, SteadyTime now) const
{
    return m_admissionControl.admitsByRank(stream.service)
        ? m_admissionControl.expectedWait(stream.service, stream.rank, now, m_queue.partBehind(stream))
              .value_or(std::chrono::milliseconds(0))
        : m_queue.expectedWait(stream, now);
}

bool GatewayTraffic::refuseInsteadOf(const WaitingStream &stream, std::chrono::milliseconds expectedWait)
{
    const auto number = m_queue.streamToRefuseInsteadOf(stream);
    const auto found = number ? m_waitingCalls.find(*number) : m_waitingCalls.end();
    const auto call = found == m_waitingCalls.end() ? nullptr : found->second.lock();
    if (!call) {
        return false;
    }
    call->refuseWaiting(expectedWait);
    return true;
}

void GatewayTraffic::applyCrashRecords(const std::vector<CrashRecord> &records)
{
    std::vector<RequestCrashRecord> requestRecords;
    std::vector<PromptPartRecord> partRecords;
    for (const auto &record : records) {
        std::visit(Visitor{[&](const RequestCrashRecord &requestRecord) { requestRecords.push_back(requestRecord); },
                           [&](const PromptPartRecord &partRecord) { partRecords.push_back(partRecord); }},
                   record);
    }
    m_crashGuard.applyRecords(requestRecords);
    m_promptPartGuard.applyRecords(partRecords);
}

template<typename Blocked>
void GatewayTraffic::cancelBlocked(const Blocked &blocked)
{
    const std::vector<std::shared_ptr<GatewayCall>> calls(m_calls.begin(), m_calls.end());
    for (const auto &call : calls) {
        call->cancelIfBlocked(blocked);
    }
}

void GatewayTraffic::refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &id, const Error &error)
{
    m_metrics.errors(error.kind).add();
    logEvent(Severity::Info, "refused",
             {{"request", id.text()},
              {"kind", std::string(errorDescriptorFor(error.kind).name)},
              {"detail", error.detail},
              {"config", std::to_string(m_table ? m_table->config().version : 0)}});
    exchange->respond(m_codec.errorResponse(error, id));
}

Result<RouteMatch> GatewayTraffic::accept(const HttpRequest &request, const CallerFields &fields) const
{
    if (!m_table) {
        return Error{.kind = ErrorKind::PlatformUnavailable,
                     .detail = "no configuration yet",
                     .ran = ExecutionStatus::No,
                     .retryAfter = UnconfiguredRetryAfter};
    }
    auto match = m_table->match(request.header("Host"), request.path, fields.apiKey);
    if (errorIn(match) != nullptr) {
        return match;
    }
    if (fields.id.isEmpty() || !fields.isWellFormed) {
        return Error{.kind = ErrorKind::BadRequest,
                     .detail = "request id or deadline is missing or malformed",
                     .ran = ExecutionStatus::No};
    }
    return match;
}

void GatewayTraffic::removeCall(const std::shared_ptr<GatewayCall> &call)
{
    dequeue(call->number());
    m_calls.erase(call);
}

} // namespace Heatherridge
