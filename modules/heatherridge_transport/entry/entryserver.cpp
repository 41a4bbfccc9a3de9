#include "heatherridge_transport/entry/entryserver.h"

#include "heatherridge_transport/app/adminresponses.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/app/problem.h"

#include <thread>

namespace Heatherridge
{

namespace
{

using nlohmann::ordered_json;

constexpr std::chrono::milliseconds DrainPollInterval{20};
/** Factor by which the HTTP server's limits exceed the configured ones, so that an oversized request gets an error
 * answer instead of a closed connection. */
constexpr std::size_t HttpLimitFactor = 4;

} // namespace

EntryServer::EntryServer(Options options)
    : m_options(std::move(options))
    , m_control({.process = m_options.process,
                 .incarnation = m_options.incarnation,
                 .zone = m_options.zone,
                 .logService = m_options.logService,
                 .hostList = m_options.hostList,
                 .peers = m_options.peers},
                m_metrics)
{
    for (int i = 0; i < m_options.trafficThreads; ++i) {
        m_traffic.push_back(std::make_unique<EntryTraffic>(
            EntryTraffic::Options{.process = m_options.process,
                                  .incarnation = m_options.incarnation,
                                  .zone = m_options.zone,
                                  .links = {.entryNumber = targetKey(TargetName(m_options.process.text())),
                                            .targetsPerKind = m_options.targetsPerKind}},
            m_metrics, m_journal));
    }
    m_control.addListener([this](const std::shared_ptr<const ConfigView> &view) {
        for (const auto &traffic : m_traffic) {
            traffic->setView(view);
        }
    });
    m_server = std::make_unique<HttpServer>(
        HttpServer::Options{.listen = m_options.listen,
                            .threads = m_options.httpThreads,
                            .maxBodyBytes = HttpLimitFactor * m_options.limits.maxBodyBytes,
                            .maxHeaderBytes = HttpLimitFactor * m_options.limits.maxHeaderBytes,
                            .readTimeout = m_options.sendTimeout,
                            .writeTimeout = m_options.callerTimeout},
        [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); });
}

EntryServer::~EntryServer()
{
    stopThreads();
}

Result<std::vector<Endpoint>> EntryServer::start()
{
    for (const auto &traffic : m_traffic) {
        traffic->start();
    }
    m_control.start();
    const auto endpoint = m_server->start();
    if (const auto *error = errorIn(endpoint)) {
        return *error;
    }
    return std::vector{std::get<Endpoint>(endpoint)};
}

void EntryServer::drainAndStop()
{
    m_draining = true;
    m_control.beginDrain();
    logEvent(Severity::Info, "drain-begun", {{"open", std::to_string(openCalls())}});
    const auto drainDeadline = std::chrono::steady_clock::now() + m_options.drainTimeout;
    while (openCalls() > 0 && std::chrono::steady_clock::now() < drainDeadline) {
        std::this_thread::sleep_for(DrainPollInterval);
    }
    logEvent(Severity::Info, "drain-ended", {{"open", std::to_string(openCalls())}});
    stopThreads();
}

void EntryServer::stopThreads()
{
    if (!m_server) {
        return;
    }
    m_server->stop();
    m_control.stop();
    for (const auto &traffic : m_traffic) {
        traffic->stop();
    }
    // Open calls hold exchanges, and unsent bytes hold callbacks into the traffic threads. Therefore the calls are
    // destroyed first, while the server exists, and the server while the traffic threads' objects exist: the reverse
    // order accesses freed memory in a shutdown with open streams.
    m_server.reset();
}

void EntryServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/healthz") {
        exchange->respond({.body = "ok\n"});
    } else if (request.path == "/readyz") {
        const bool ready = !m_draining && toNumber(m_control.view()->offset) > 0;
        exchange->respond({.status = ready ? 200 : 503, .body = ready ? "ready\n" : "not ready\n"});
    } else if (request.path == "/metrics") {
        exchange->respond(metricsResponse(m_metrics));
    } else if (request.path.rfind("/admin/", 0) == 0) {
        exchange->respond(handleAdmin(request));
    } else {
        handleCallerRequest(exchange);
    }
}

void EntryServer::handleCallerRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto id = newRequestId();
    const auto rejectRequest = [&](const Error &error) {
        m_metrics.errors(error.kind).add();
        m_journal.record(id, "refused", {}, std::string(errorDescriptorFor(error.kind).name));
        m_journal.finish(id, std::string(errorDescriptorFor(error.kind).name));
        exchange->respond(problemResponse(error, id));
    };
    if (m_draining) {
        rejectRequest(Error{.kind = ErrorKind::Draining});
        return;
    }
    const auto view = m_control.view();
    if (toNumber(view->offset) == 0) {
        rejectRequest(Error{.kind = ErrorKind::Unconfirmed, .detail = "no configuration yet"});
        return;
    }
    auto request = readCallerRequest(exchange->request(), id, *view, m_options.limits);
    if (const auto *error = errorIn(request)) {
        rejectRequest(*error);
        return;
    }
    const auto thread = std::hash<RequestId>{}(id) % m_traffic.size();
    m_traffic[thread]->submit(std::get<CallerRequest>(std::move(request)), exchange);
}

HttpResponse EntryServer::handleAdmin(const HttpRequest &request)
{
    if (request.path == "/admin/status") {
        return status();
    }
    if (request.path == "/admin/targets") {
        return targets();
    }
    if (request.path == "/admin/explain") {
        return explainRequest(request);
    }
    return notFoundResponse(request.path);
}

HttpResponse EntryServer::status()
{
    ordered_json answer{{"process", m_options.process.text()},
                        {"role", "entry"},
                        {"zone", m_options.zone.text()},
                        {"version", HEATHERRIDGE_VERSION},
                        {"incarnation", hexText(toNumber(m_options.incarnation))}};
    answer.update(controlStatusJson(m_control.status()));
    answer.update(ordered_json{
        {"confirmed", m_control.view()->confirmed}, {"draining", m_draining.load()}, {"open", openCalls()}});
    return jsonResponse(answer);
}

HttpResponse EntryServer::targets()
{
    const auto view = m_control.view();
    auto list = ordered_json::array();
    for (const auto &status : m_traffic.front()->targets()) {
        const auto *target = view->inventory->find(status.target);
        if (target == nullptr) {
            continue;
        }
        std::string state = "serving";
        if (target->withdrawn) {
            state = "withdrawn";
        } else if (!view->acceptsNewWork(*target) || status.report.draining) {
            state = "draining";
        } else if (!status.isLinked) {
            state = "not-linked";
        } else if (!status.isUp) {
            state = "unreachable";
        }
        list.push_back({{"target", status.target.text()},
                        {"service", target->service.text()},
                        {"zone", target->zone.text()},
                        {"state", state},
                        {"running", status.report.running},
                        {"waiting", status.report.queued},
                        {"limit", status.report.limit}});
    }
    return jsonResponse({{"targets", list}});
}

HttpResponse EntryServer::explainRequest(const HttpRequest &request) const
{
    const RequestId id(request.queryParameter("request"));
    const auto entry = m_journal.find(id);
    if (!entry) {
        return problemResponse(Error{.kind = ErrorKind::UnknownRequest, .detail = id.text()}, id);
    }
    auto steps = ordered_json::array();
    for (const auto &step : entry->steps) {
        steps.push_back({{"ms", step.elapsed.count()},
                         {"event", step.event},
                         {"target", step.target.text()},
                         {"reason", step.reason}});
    }
    return jsonResponse(
        {{"request", id.text()}, {"outcome", entry->outcome.empty() ? "open" : entry->outcome}, {"steps", steps}});
}

std::size_t EntryServer::openCalls() const
{
    std::size_t open = 0;
    for (const auto &traffic : m_traffic) {
        open += traffic->openCalls();
    }
    return open;
}

RequestId EntryServer::newRequestId()
{
    return RequestId(hexText(toNumber(m_options.incarnation)) + "-" + std::to_string(++m_lastRequestNumber));
}

} // namespace Heatherridge
