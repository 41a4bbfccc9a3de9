#include "heatherridge_transport/target/targetserver.h"

#include "heatherridge_transport/app/adminresponses.h"
#include "heatherridge_transport/app/logger.h"

#include <thread>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds DrainPollInterval{20};
constexpr std::chrono::seconds MaxKeyWait{3};

} // namespace

TargetServer::TargetServer(Options options)
    : m_options(std::move(options))
    , m_control({.process = ProcessName(m_options.target.text()),
                 .incarnation = m_options.incarnation,
                 .zone = m_options.zone,
                 .logService = m_options.logService,
                 .hostList = m_options.hostList,
                 .peers = m_options.peers},
                m_metrics)
    , m_traffic({.target = m_options.target,
                 .incarnation = m_options.incarnation,
                 .listen = m_options.listen,
                 .logService = m_options.logService},
                m_metrics)
    , m_group({.target = m_options.target, .run = m_options.incarnation, .logService = m_options.logService},
              m_control.loop(), m_metrics)
{
    m_traffic.setGroupReceiver([this](const Envelope &envelope) { m_group.receive(envelope); });
    m_control.addListener([this](const std::shared_ptr<const ConfigView> &view) {
        m_traffic.setView(view);
        m_group.setView(view);
    });
    m_traffic.setControlSink(
        {.frame =
             [this](const std::shared_ptr<PeerSocket> &peer, const Envelope &envelope) {
                 m_control.onIncomingFrame(
                     {.socket = peer,
                      .send = [this, peer](Bytes frame) { m_traffic.sendFrame(peer, std::move(frame)); }},
                     envelope);
             },
         .disconnected = [this](const std::shared_ptr<PeerSocket> &peer) { m_control.onIncomingClosed(peer); }});
    m_server = std::make_unique<HttpServer>(HttpServer::Options{.listen = m_options.admin},
                                            [this](const std::shared_ptr<HttpExchange> &exchange) {
                                                exchange->respond(handleRequest(exchange->request()));
                                            });
}

TargetServer::~TargetServer() = default;

Result<std::vector<Endpoint>> TargetServer::start()
{
    const auto entryEndpoint = m_traffic.start();
    if (const auto *error = errorIn(entryEndpoint)) {
        return *error;
    }
    m_control.start();
    m_group.start();
    const auto adminEndpoint = m_server->start();
    if (const auto *error = errorIn(adminEndpoint)) {
        return *error;
    }
    return std::vector{std::get<Endpoint>(entryEndpoint), std::get<Endpoint>(adminEndpoint)};
}

void TargetServer::drainAndStop()
{
    m_draining = true;
    m_control.beginDrain();
    m_traffic.drain();
    const auto drainDeadline = std::chrono::steady_clock::now() + m_options.drainTimeout;
    // Callers of outcomes that never reach the log get the answer "unknown" permanently; but an outage of the log may
    // last longer than a shutdown should wait.
    const auto keyDeadline = std::min(drainDeadline, std::chrono::steady_clock::now() + MaxKeyWait);
    auto status = m_traffic.status();
    auto running = status.load.running;
    logEvent(Severity::Info, "drain-begun", {{"open", std::to_string(running)}});
    const auto isOpen = [&](SteadyTime now) {
        return (running > 0 && now < drainDeadline) || (!status.keysIdle && now < keyDeadline);
    };
    while (isOpen(std::chrono::steady_clock::now())) {
        std::this_thread::sleep_for(DrainPollInterval);
        status = m_traffic.status();
        running = status.load.running;
    }
    logEvent(Severity::Info, "drain-ended", {{"open", std::to_string(running)}});
    m_server->stop();
    m_group.stop();
    m_control.stop();
    m_traffic.stop();
}

HttpResponse TargetServer::handleRequest(const HttpRequest &request)
{
    if (request.path == "/healthz") {
        return {.body = "ok\n"};
    }
    if (request.path == "/readyz") {
        const bool ready = !m_draining && toNumber(m_control.view()->offset) > 0;
        return {.status = ready ? 200 : 503, .body = ready ? "ready\n" : "not ready\n"};
    }
    if (request.path == "/metrics") {
        return metricsResponse(m_metrics);
    }
    if (request.path == "/admin/status") {
        return status();
    }
    return notFoundResponse(request.path);
}

HttpResponse TargetServer::status()
{
    const auto traffic = m_traffic.status();
    nlohmann::ordered_json answer{{"process", m_options.target.text()},
                                  {"role", "target"},
                                  {"zone", m_options.zone.text()},
                                  {"version", HEATHERRIDGE_VERSION},
                                  {"incarnation", hexText(toNumber(m_options.incarnation))}};
    answer.update(controlStatusJson(m_control.status()));
    answer.update(nlohmann::ordered_json{{"confirmed", m_control.view()->confirmed},
                                         {"draining", m_draining.load()},
                                         {"running", traffic.load.running},
                                         {"waiting", traffic.load.waiting},
                                         {"limit", traffic.load.limit},
                                         {"drain", toJson(traffic.drain)},
                                         {"group", m_group.status()}});
    return jsonResponse(answer);
}

} // namespace Heatherridge
