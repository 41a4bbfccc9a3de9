#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/entry/entryserver.h"

#include <memory>

using namespace Heatherridge;

namespace
{

const SettingSpec RoleSettings[] = {
    {.key = "listen",
     .type = SettingType::Address,
     .defaultValue = "127.0.0.1:8080",
     .help = "address that serves callers"},
    {.key = "http-threads",
     .type = SettingType::Number,
     .defaultValue = "2",
     .minimum = 1,
     .maximum = 64,
     .help = "threads of the callers' server"},
    {.key = "traffic-threads",
     .type = SettingType::Number,
     .defaultValue = "1",
     .minimum = 1,
     .maximum = 64,
     .help = "threads that forward requests"},
    {.key = "targets-per-kind",
     .type = SettingType::Number,
     .defaultValue = "64",
     .minimum = 1,
     .maximum = 100000,
     .help = "engines per service and model to which connections are kept open"},
    {.key = "max-body-bytes",
     .type = SettingType::Number,
     .defaultValue = "1048576",
     .minimum = 1,
     .maximum = 4194304,
     .help = "largest request body"},
    {.key = "max-header-bytes",
     .type = SettingType::Number,
     .defaultValue = "8192",
     .minimum = 64,
     .maximum = 65536,
     .help = "largest value of one header"},
    {.key = "longest-timeout",
     .type = SettingType::Milliseconds,
     .defaultValue = "600000",
     .minimum = 10,
     .maximum = 3600000,
     .help = "longest deadline that a caller may request"},
    {.key = "send-timeout",
     .type = SettingType::Milliseconds,
     .defaultValue = "10000",
     .minimum = 10,
     .maximum = 600000,
     .help = "longest time to receive a request"},
    {.key = "caller-timeout",
     .type = SettingType::Milliseconds,
     .defaultValue = "60000",
     .minimum = 10,
     .maximum = 3600000,
     .help = "longest time in which a caller reads nothing of its response"},
    {.key = "drain-timeout",
     .type = SettingType::Milliseconds,
     .defaultValue = "60000",
     .minimum = 0,
     .maximum = 3600000,
     .help = "longest wait for open requests at shutdown"},
};

EntryServer::Options optionsFrom(const Settings &settings)
{
    return {.process = ProcessName(settings.text("name")),
            .incarnation = generateIncarnation(),
            .zone = ZoneName(settings.text("zone")),
            .listen = settings.address("listen"),
            .logService = settings.address("log-service"),
            .hostList = settings.address("host-list"),
            .peers = settings.addresses("peers"),
            .httpThreads = static_cast<int>(settings.number("http-threads")),
            .trafficThreads = static_cast<int>(settings.number("traffic-threads")),
            .targetsPerKind = static_cast<std::size_t>(settings.number("targets-per-kind")),
            .limits = {.maxBodyBytes = static_cast<std::size_t>(settings.number("max-body-bytes")),
                       .maxHeaderBytes = static_cast<std::size_t>(settings.number("max-header-bytes")),
                       .maxTimeout = settings.duration("longest-timeout")},
            .callerTimeout = settings.duration("caller-timeout"),
            .sendTimeout = settings.duration("send-timeout"),
            .drainTimeout = settings.duration("drain-timeout")};
}

} // namespace

int main(int argc, char **argv)
{
    const auto create = [](const Settings &settings) {
        const auto server = std::make_shared<EntryServer>(optionsFrom(settings));
        return DaemonServer{.start = [server] { return server->start(); },
                            .drainAndStop = [server] { server->drainAndStop(); }};
    };
    return runDaemon({.program = "heatherridge-entry", .role = "entry", .settings = RoleSettings}, create, argc, argv);
}
