#include "heatherridge_platform.h"
#include "heatherridge_state/decisions/connectionlimit.h"
#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/direct/gatewayserver.h"

#include <algorithm>
#include <memory>

#include <sys/resource.h>

using namespace Heatherridge;

namespace
{

const SettingSpec RoleSettings[] = {
    {.key = "listen", .type = SettingType::Address, .required = true, .help = "address that serves callers"},
    {.key = "ready-listen",
     .type = SettingType::Address,
     .required = true,
     .help = "address where the balancer in front of this gateway checks whether it accepts callers"},
    {.key = "ready-path", .required = true, .help = "path that the balancer requests for this check"},
    {.key = "metrics-listen",
     .type = SettingType::Address,
     .defaultValue = "127.0.0.1:0",
     .help = "address that serves counters; port 0 disables it"},
    {.key = "max-connections",
     .type = SettingType::Number,
     .defaultValue = "1000",
     .minimum = 1,
     .maximum = 100000,
     .help = "maximum number of callers' connections; fewer where memory-mb or max-descriptors allow no more. For a "
             "further one, the longest unused or idle one is closed"},
    {.key = "max-descriptors",
     .type = SettingType::Number,
     .defaultValue = "0",
     .minimum = 0,
     .maximum = 10000000,
     .help = "descriptors that this host gives a process, 200 of them for files; 0: as many as the system allows"},
    {.key = "memory-mb",
     .type = SettingType::Fraction,
     .defaultValue = "256",
     .minimum = 16,
     .maximum = 1000000,
     .help = "memory of this host in MiB; a quarter of it may be used for callers' requests and responses, another for "
             "targets' responses"},
    {.key = "grace",
     .type = SettingType::Seconds,
     .defaultValue = "8",
     .minimum = 1,
     .maximum = 600,
     .help = "time from the stop signal until the process is killed"},
    {.key = "retry-share",
     .type = SettingType::Fraction,
     .defaultValue = "0.2",
     .minimum = 0,
     .maximum = 10,
     .help = "retries allowed per request, over all gateways"},
    {.key = "retry-slack",
     .type = SettingType::Fraction,
     .defaultValue = "80",
     .minimum = 0,
     .maximum = 100000,
     .help = "retries allowed beyond that share in one window, over all gateways"},
    {.key = "retry-window",
     .type = SettingType::Seconds,
     .defaultValue = "10",
     .minimum = 1,
     .maximum = 600,
     .help = "window over which retries are limited"},
    {.key = "warm-up-factor",
     .type = SettingType::Fraction,
     .defaultValue = "1",
     .minimum = 1,
     .maximum = 1000,
     .help = "requests that a target bears while it warms up, as a multiple of the warm-up rate of its service"},
    {.key = "warm-up-slack",
     .type = SettingType::Fraction,
     .defaultValue = "0",
     .minimum = 0,
     .maximum = 100000,
     .help = "requests a second that a target bears beyond that multiple while it warms up"},
    {.key = "group-count-period",
     .type = SettingType::Milliseconds,
     .defaultValue = "175",
     .minimum = 100,
     .maximum = 600000,
     .help = "period between readings of the chosen experts; a shorter one follows demand sooner and costs more"},
    {.key = "group-least-gain-percent",
     .type = SettingType::Number,
     .defaultValue = "6",
     .minimum = 1,
     .maximum = 1000,
     .help = "least share of the experts' time in a pass that a new map must save"},
    {.key = "group-copies",
     .type = SettingType::Number,
     .defaultValue = "2",
     .minimum = 1,
     .maximum = 1000,
     .help = "maximum number of experts of a set of layers that a rank copies for one new map; fewer finish sooner"},
    {.key = "withdrawal",
     .type = SettingType::Milliseconds,
     .defaultValue = "2000",
     .minimum = 200,
     .maximum = 600000,
     .help = "time after which a target that announced its withdrawal receives no new requests"},
    {.key = "config-time",
     .type = SettingType::Milliseconds,
     .defaultValue = "2000",
     .minimum = 200,
     .maximum = 600000,
     .help = "time within which a new configuration must be in force at all gateways"},
    {.key = "silence",
     .type = SettingType::Milliseconds,
     .defaultValue = "3000",
     .minimum = 500,
     .maximum = 30000,
     .help = "time within which a silent connection to the log is detected"},
    {.key = "link-mbps",
     .type = SettingType::Fraction,
     .defaultValue = "0",
     .minimum = 0,
     .maximum = 1000000,
     .help =
         "capacity of this host's link in millions of bits a second; limits control requests to engines; 0: unknown"},
    {.key = "cpu-share",
     .type = SettingType::Fraction,
     .defaultValue = "0",
     .minimum = 0,
     .maximum = 10000,
     .help = "cores that this host gives this process, stated to the other gateways; 0: unknown"},
    {.key = "demand-exchange",
     .type = SettingType::Choice,
     .defaultValue = "auto",
     .help = "whether gateways tell each other their demand; auto: at the full rate where priorities of streams or "
             "sizes of gateways differ",
     .choices = "auto, off"},
    {.key = "sidecar-port",
     .type = SettingType::Number,
     .defaultValue = "0",
     .minimum = 0,
     .maximum = 65535,
     .help = "port of the sidecars on the hosts of model engines; 0 when there are none"},
    {.key = "zone-regions",
     .help =
         "availability zones with their regions, as zone:region,..., for requests that only some regions may serve"},
    {.key = "log-partitions",
     .type = SettingType::Number,
     .defaultValue = "12",
     .minimum = 1,
     .maximum = 10000,
     .help = "number of partitions of a topic of the platform's log"},
};

/** Bytes per second in one megabit per second. */
constexpr double BytesPerMegabit = 1e6 / 8;

/**
 * Topics whose partitions divide work among all gateways. With 24 partitions a topic, 456 gateways have a share. A
 * member is assigned partitions of 20 topics at most; one more is that of its availability zone.
 */
constexpr int ShareTopics = 19;
/** Topics of the division among large gateways: only few pieces of work are divided by it. */
constexpr int LargeShareTopics = 1;
constexpr double BytesPerMebibyte = 1024.0 * 1024.0;
/** Share of the host's memory for callers' requests and responses, and as much again for targets' responses. */
constexpr double BufferMemoryShare = 0.25;

/** Descriptors that a host with a stated number of descriptors keeps for files. */
constexpr long long FileDescriptors = 200;

/** Returns the number of descriptors of this process; 0 if they are not limited. */
std::size_t descriptorLimit(const Settings &settings)
{
    if (const auto stated = settings.number("max-descriptors"); stated > 0) {
        return static_cast<std::size_t>(stated);
    }
    rlimit allowed{};
    const bool isLimited = ::getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY;
    return isLimited ? static_cast<std::size_t>(allowed.rlim_cur) : 0;
}

/** Returns the number of descriptors for sockets; 0 if they are not limited. */
std::size_t socketDescriptors(const Settings &settings)
{
    if (const auto stated = settings.number("max-descriptors"); stated > 0) {
        return static_cast<std::size_t>(std::max(stated - FileDescriptors, 1LL));
    }
    return descriptorLimit(settings);
}

GatewayServer::Options optionsFrom(const Settings &settings)
{
    const auto memory = settings.fraction("memory-mb") * BytesPerMebibyte;
    const auto bufferBytes = static_cast<std::size_t>(memory * BufferMemoryShare);
    const auto window = std::chrono::duration_cast<std::chrono::seconds>(settings.duration("retry-window"));
    return {
        .process = ProcessName(settings.text("name")),
        .zone = ZoneName(settings.text("zone")),
        .listen = settings.address("listen"),
        .readyListen = settings.address("ready-listen"),
        .readyPath = settings.text("ready-path"),
        .metricsListen = settings.address("metrics-listen"),
        .retryBudget = {.share = settings.fraction("retry-share"),
                        .slack = settings.fraction("retry-slack"),
                        .window = window},
        .warmUpTolerance = {.factor = settings.fraction("warm-up-factor"), .slack = settings.fraction("warm-up-slack")},
        .groups = {.countPeriod = settings.duration("group-count-period"),
                   .minGain = static_cast<double>(settings.number("group-least-gain-percent")) / 100,
                   .maxCopiesPerRank = static_cast<std::size_t>(settings.number("group-copies")),
                   .budget = ControlBudget(ZoneName(settings.text("zone")),
                                           settings.fraction("link-mbps") * BytesPerMegabit)},
        .sidecarPort = static_cast<int>(settings.number("sidecar-port")),
        .demandExchange =
            settings.text("demand-exchange") == "off" ? DemandExchangeMode::Off : DemandExchangeMode::Auto,
        .size = {.processorShare = settings.fraction("cpu-share")},
        .control = {.withdrawalTime = settings.duration("withdrawal"),
                    .configTime = settings.duration("config-time"),
                    .silenceTime = settings.duration("silence"),
                    .zoneRegions = parseZoneRegions(settings.text("zone-regions"))},
        .logPartitions = static_cast<int>(settings.number("log-partitions")),
        .sharePartitions = static_cast<int>(settings.number("log-partitions")) * ShareTopics,
        .maxConnections =
            callerConnectionLimit({.configured = static_cast<std::size_t>(settings.number("max-connections")),
                                   .memory = static_cast<std::size_t>(memory),
                                   .descriptors = socketDescriptors(settings)}),
        .maxHeldBytes = bufferBytes,
        .maxResponseBytes = bufferBytes,
        .hostLimits = {.memory = static_cast<std::uint64_t>(memory), .descriptors = descriptorLimit(settings)},
        .gracePeriod = settings.duration("grace")};
}

GatewayServer::Adapter adapterFrom(const Settings &settings)
{
    return {
        .trafficCodec = std::make_shared<PlatformTraffic>(),
        .makeLogClients =
            [log = settings.address("log-service"), zone = ZoneName(settings.text("zone")),
             partitions = static_cast<int>(settings.number("log-partitions"))](HttpClient &client, LogEvents events) {
                const auto calls =
                    std::make_shared<LogClient>(client, LogClient::Options{.endpoint = log}, std::move(events));
                return GatewayServer::LogClients{
                    .registers = std::make_unique<PlatformLog>(calls),
                    .shares = std::make_unique<PlatformShare>(calls,
                                                              PlatformShare::Options{.name = "group-keepers",
                                                                                     .topics = ShareTopics,
                                                                                     .partitionsPerTopic = partitions,
                                                                                     .zone = zone}),
                    .largeShares =
                        std::make_unique<PlatformShare>(calls,
                                                        PlatformShare::Options{.name = "group-keepers-large",
                                                                               .topics = LargeShareTopics,
                                                                               .partitionsPerTopic = partitions,
                                                                               .zone = zone}),
                    .reports = std::make_unique<PlatformReports>(calls, "heatherridge-crashes"),
                    .runs = std::make_unique<PlatformRuns>(
                        calls, PlatformRuns::Options{.topic = "keyed.heatherridge-runs", .partitions = partitions})};
            },
        .makeRankControl =
            [](HttpClient &client) { return std::make_unique<PlatformEngines>(client, PlatformEngines::Options{}); }};
}

} // namespace

int main(int argc, char **argv)
{
    const auto create = [](const Settings &settings) {
        const auto server = std::make_shared<GatewayServer>(optionsFrom(settings), adapterFrom(settings));
        return DaemonServer{.start = [server] { return server->start(); },
                            .drainAndStop = [server] { server->drainAndStop(); },
                            .reload = [server](const Settings &changed) { server->reload(optionsFrom(changed)); }};
    };
    return runDaemon({.program = "heatherridge-gateway", .role = "gateway", .settings = RoleSettings}, create, argc,
                     argv);
}
