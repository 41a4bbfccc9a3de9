#include "heatherridge_platform.h"
#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/direct/gatewayserver.h"

#include <memory>

using namespace Heatherridge;

namespace
{

const SettingSpec OwnSettings[] = {
    {.key = "listen", .type = SettingType::Address, .required = true, .help = "where callers are served"},
    {.key = "ready-listen",
     .type = SettingType::Address,
     .required = true,
     .help = "where the balancer in front asks whether this gateway takes callers"},
    {.key = "ready-path", .required = true, .help = "what the balancer asks for"},
    {.key = "metrics-listen",
     .type = SettingType::Address,
     .fallback = "127.0.0.1:0",
     .help = "where counters are served; port 0 for nowhere"},
    {.key = "max-connections",
     .type = SettingType::Number,
     .fallback = "1000",
     .lowest = 1,
     .highest = 100000,
     .help = "callers' connections; further ones are closed"},
    {.key = "grace",
     .type = SettingType::Milliseconds,
     .fallback = "8000",
     .lowest = 100,
     .highest = 600000,
     .help = "from the signal to stop until the process is killed"},
    {.key = "retry-share-percent",
     .type = SettingType::Number,
     .fallback = "20",
     .lowest = 0,
     .highest = 100,
     .help = "repeats for a hundred requests, over all gateways"},
    {.key = "retry-slack",
     .type = SettingType::Number,
     .fallback = "80",
     .lowest = 0,
     .highest = 100000,
     .help = "repeats beyond that in one window, over all gateways"},
    {.key = "retry-window",
     .type = SettingType::Milliseconds,
     .fallback = "10000",
     .lowest = 1000,
     .highest = 600000,
     .help = "over which repeats are bounded"},
    {.key = "gateways",
     .type = SettingType::Number,
     .fallback = "8",
     .lowest = 1,
     .highest = 10000,
     .help = "gateways that share the slack; more than there are is safe"},
};

GatewayServer::Options optionsFrom(const Settings &settings)
{
    const auto window = std::chrono::duration_cast<std::chrono::seconds>(settings.duration("retry-window"));
    return {.process = ProcessName(settings.text("name")),
            .zone = ZoneName(settings.text("zone")),
            .listen = settings.address("listen"),
            .readyListen = settings.address("ready-listen"),
            .readyPath = settings.text("ready-path"),
            .metricsListen = settings.address("metrics-listen"),
            .retryBudget = {.share = static_cast<double>(settings.number("retry-share-percent")) / 100,
                            .slack = static_cast<double>(settings.number("retry-slack")),
                            .window = window,
                            .entries = static_cast<int>(settings.number("gateways"))},
            .maxConnections = static_cast<std::size_t>(settings.number("max-connections")),
            .grace = settings.duration("grace")};
}

GatewayServer::Adapter adapterFrom(const Settings &settings)
{
    return {.traffic = std::make_shared<PlatformTraffic>(),
            .registers = [log = settings.address("log-service")](HttpClient &client) {
                return std::make_unique<PlatformLog>(client, PlatformLog::Options{.endpoint = log});
            }};
}

} // namespace

int main(int argc, char **argv)
{
    const auto create = [](const Settings &settings) {
        const auto server = std::make_shared<GatewayServer>(optionsFrom(settings), adapterFrom(settings));
        return DaemonServer{.start = [server] { return server->start(); },
                            .drainAndStop = [server] { server->drainAndStop(); }};
    };
    return runDaemon({.program = "heatherridge-gateway", .role = "gateway", .settings = OwnSettings}, create, argc,
                     argv);
}
