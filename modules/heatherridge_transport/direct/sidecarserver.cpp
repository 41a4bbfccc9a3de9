#include "heatherridge_transport/direct/sidecarserver.h"

#include "heatherridge_coordination/feed/heldrules.h"
#include "heatherridge_protocol/demandmessage.h"
#include "heatherridge_protocol/rankmessage.h"
#include "heatherridge_state/demand/demandtable.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/direct/callerserver.h"
#include "heatherridge_transport/direct/coalescedreader.h"
#include "heatherridge_transport/direct/sidecarrankclient.h"

#include <asio/io_context.hpp>

#include <charconv>
#include <map>
#include <random>
#include <thread>

namespace Heatherridge
{

namespace
{

/** Open exchanges with the engine finish within this time, or their keepers have timed out. */
constexpr std::chrono::milliseconds DrainTime{300};

/** Upper bound for random marks of readings: a decoder that uses double precision still reads them exactly. */
constexpr std::uint64_t MarkUpperBound = std::uint64_t{1} << 52U;

std::uint64_t randomMark()
{
    std::random_device entropy;
    return std::uniform_int_distribution<std::uint64_t>(1, MarkUpperBound)(entropy);
}

/** Parses @p text as a decimal number; returns 0 if it is not one. */
std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc() && read.ptr == end ? number : 0;
}

HttpResponse errorResponse(const Error &error)
{
    return {.status = errorDescriptorFor(error.kind).httpStatus, .body = error.detail};
}

} // namespace

class SidecarServer::Implementation
{
public:
    Implementation(Options options, const RankControlFactory &makeRankControl)
        : m_options(std::move(options))
        , m_demand(m_options.zone)
        , m_client(m_loop.context(),
                   {.connectTimeout = std::chrono::milliseconds(200),
                    .maxIdleConnections = 4,
                    .maxHeldBytes = m_options.maxHeldBytes})
        , m_rankControl(makeRankControl(m_client))
        , m_server(
              m_loop.context(),
              {.listen = m_options.listen,
               .maxConnections = m_options.maxConnections,
               .maxHeldBytes = m_options.maxHeldBytes},
              [this](const auto &exchange) { handle(exchange); },
              [](ErrorKind kind) { return errorResponse({.kind = kind}); }, m_metrics)
    {
        m_server.setLimits({.idleTimeout = IdleTimeout});
    }

    Result<std::vector<Endpoint>> start()
    {
        auto listening = m_server.start();
        if (const auto *error = errorIn(listening)) {
            return *error;
        }
        m_loop.start();
        return std::vector<Endpoint>{std::get<Endpoint>(listening)};
    }

    void drainAndStop()
    {
        logEvent(Severity::Info, "stopping", {});
        m_loop.post([this] { m_server.beginDrain(); });
        std::this_thread::sleep_for(DrainTime);
        m_loop.runAndWait([this] { m_server.stop(); });
        m_loop.stop();
    }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto &request = exchange->request();
        const TargetEntry target{.id = TargetName(std::string(request.header(SidecarPaths::TargetHeader))),
                                 .address = m_options.engine};
        if (request.path == SidecarPaths::Status) {
            respondWithStatus(exchange, target);
        } else if (request.path == SidecarPaths::Counts) {
            respondWithCounts(exchange, target);
        } else if (request.path == SidecarPaths::Experts) {
            m_rankControl->fetchExperts(target, responder<RankExperts>(exchange));
        } else if (request.path == SidecarPaths::Order) {
            forwardOrder(exchange);
        } else if (request.path == SidecarPaths::Demand) {
            exchangeDemand(*exchange);
        } else if (request.path == SidecarPaths::Rules) {
            exchangeRules(*exchange);
        } else {
            exchange->respond(errorResponse({.kind = ErrorKind::NotFound}));
        }
    }

    void respondWithStatus(const std::shared_ptr<HttpExchange> &exchange, const TargetEntry &target)
    {
        statusReader(target).request([this, exchange](Result<RankStatus> result) {
            auto *status = std::get_if<RankStatus>(&result);
            if (status != nullptr) {
                const auto elapsed = std::chrono::steady_clock::now() - m_countsRequestedAt;
                status->countsLastPolledAgo = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
            }
            responder<RankStatus>(exchange)(result);
        });
    }

    CoalescedReader<RankStatus> &statusReader(const TargetEntry &target)
    {
        std::erase_if(m_statusReaders,
                      [&target](const auto &entry) { return entry.first != target.id && entry.second.isIdle(); });
        return m_statusReaders
            .try_emplace(target.id, [this, target](auto done) { m_rankControl->fetchStatus(target, std::move(done)); })
            .first->second;
    }

    void respondWithCounts(const std::shared_ptr<HttpExchange> &exchange, const TargetEntry &target)
    {
        m_countsRequestedAt = std::chrono::steady_clock::now();
        const auto since = parseNumber(exchange->request().queryParameter(SidecarPaths::SinceParameter));
        m_rankControl->fetchCounts(target, [this, exchange, target, since](const Result<RankCounts> &counts) {
            if (const auto *error = errorIn(counts)) {
                exchange->respond(errorResponse(*error));
                return;
            }
            exchange->respond(
                {.body = encode(m_countsTeller.createUpdate(target.id, std::get<RankCounts>(counts), since))});
        });
    }

    void forwardOrder(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto read = decodeRankOrder(exchange->request().body);
        if (const auto *error = errorIn(read)) {
            logEvent(Severity::Warning, "order-malformed", {{"reason", error->detail}});
            exchange->respond(errorResponse({.kind = ErrorKind::BadRequest, .detail = error->detail}));
            return;
        }
        const auto &message = std::get<RankOrderMessage>(read);
        m_rankControl->sendOrder({.id = message.target, .address = m_options.engine}, message.order, message.epoch,
                                 [exchange](OrderReply reply) { exchange->respond({.body = encode(reply)}); });
    }

    void exchangeDemand(HttpExchange &exchange)
    {
        const auto decoded = decodeDemandRequest(exchange.request().body);
        if (const auto *error = errorIn(decoded)) {
            m_malformedStatements.add();
            logEvent(Severity::Warning, "demand-statement-malformed", {{"reason", error->detail}});
            exchange.respond(errorResponse({.kind = ErrorKind::BadRequest, .detail = error->detail}));
            return;
        }
        const auto &request = std::get<DemandRequest>(decoded);
        const auto now = std::chrono::steady_clock::now();
        for (const auto &zone : request.zones) {
            m_demand.applyZone(zone, now);
        }
        if (!request.statement) {
            exchange.respond(
                {.body = encode(DemandResponse{.ownZone = m_demand.ownZone({}, MaxRelayedWorkspaces, now)})});
            return;
        }
        m_demand.applyStatement(*request.statement, request.lifetime, now);
        reportDropped();
        exchange.respond({.body = encode(DemandResponse{
                              .ownZone = m_demand.ownZone(request.statement->gateway, MaxDemandWorkspaces, now),
                              .otherZones = m_demand.otherZones(now)})});
    }

    void exchangeRules(HttpExchange &exchange)
    {
        const auto decoded = decodeRulesRequest(exchange.request().body);
        if (const auto *error = errorIn(decoded)) {
            m_malformedRules.add();
            logEvent(Severity::Warning, "rules-statement-malformed", {{"reason", error->detail}});
            exchange.respond(errorResponse({.kind = ErrorKind::BadRequest, .detail = error->detail}));
            return;
        }
        exchange.respond(
            {.body = encode(m_rules.exchange(std::get<RulesRequest>(decoded), std::chrono::steady_clock::now()))});
    }

    /** Logs and counts statements that were dropped because the table is full. */
    void reportDropped()
    {
        const auto counts = m_demand.counts();
        const auto dropped = counts.droppedGateways + counts.droppedZones;
        if (dropped > m_droppedStatements.value()) {
            m_droppedStatements.add(dropped - m_droppedStatements.value());
            logEvent(
                Severity::Warning, "demand-table-full",
                {{"gateways", std::to_string(counts.droppedGateways)}, {"zones", std::to_string(counts.droppedZones)}});
        }
    }

    template<typename T>
    static std::function<void(const Result<T> &)> responder(const std::shared_ptr<HttpExchange> &exchange)
    {
        return [exchange](const Result<T> &result) {
            const auto *error = errorIn(result);
            exchange->respond(error != nullptr ? errorResponse(*error)
                                               : HttpResponse{.body = encode(std::get<T>(result))});
        };
    }

    Options m_options;
    Metrics m_metrics;
    Counter &m_malformedStatements = m_metrics.counter("heatherridge_demand_statements_malformed_total");
    Counter &m_droppedStatements = m_metrics.counter("heatherridge_demand_statements_dropped_total");
    Counter &m_malformedRules = m_metrics.counter("heatherridge_rules_statements_malformed_total");
    HeldRules m_rules; ///< of the gateways that chose this sidecar as the exchange point of a zone
    DemandTable m_demand; ///< by the gateways that chose this sidecar as the exchange point of the zone
    EventLoop m_loop;
    HttpClient m_client;
    std::unique_ptr<RankControl> m_rankControl;
    std::map<TargetName, CoalescedReader<RankStatus>> m_statusReaders; ///< by requested run of the engine
    CountsDeltaEncoder m_countsTeller{randomMark()};
    SteadyTime m_countsRequestedAt =
        std::chrono::steady_clock::now(); ///< last counts request of a keeper; initially the time of construction
    CallerServer m_server;
};

SidecarServer::SidecarServer(Options options, const RankControlFactory &makeRankControl)
    : m_implementation(std::make_unique<Implementation>(std::move(options), makeRankControl))
{
}

SidecarServer::~SidecarServer() = default;

Result<std::vector<Endpoint>> SidecarServer::start()
{
    return m_implementation->start();
}

void SidecarServer::drainAndStop()
{
    m_implementation->drainAndStop();
}

} // namespace Heatherridge
