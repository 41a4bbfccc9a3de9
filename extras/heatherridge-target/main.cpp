#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/target/targetserver.h"

#include <memory>

using namespace Heatherridge;

namespace
{

const SettingSpec RoleSettings[] = {
    {.key = "listen",
     .type = SettingType::Address,
     .defaultValue = "127.0.0.1:7100",
     .help = "address that serves entries; the target's gate in the inventory"},
    {.key = "admin",
     .type = SettingType::Address,
     .defaultValue = "127.0.0.1:7101",
     .help = "address that serves status and metrics"},
    {.key = "drain-timeout",
     .type = SettingType::Milliseconds,
     .defaultValue = "60000",
     .minimum = 0,
     .maximum = 3600000,
     .help = "longest wait for running requests at shutdown"},
};

TargetServer::Options optionsFrom(const Settings &settings)
{
    return {.target = TargetName(settings.text("name")),
            .incarnation = generateIncarnation(),
            .zone = ZoneName(settings.text("zone")),
            .listen = settings.address("listen"),
            .admin = settings.address("admin"),
            .logService = settings.address("log-service"),
            .hostList = settings.address("host-list"),
            .peers = settings.addresses("peers"),
            .drainTimeout = settings.duration("drain-timeout")};
}

} // namespace

int main(int argc, char **argv)
{
    const auto create = [](const Settings &settings) {
        const auto server = std::make_shared<TargetServer>(optionsFrom(settings));
        return DaemonServer{.start = [server] { return server->start(); },
                            .drainAndStop = [server] { server->drainAndStop(); }};
    };
    return runDaemon({.program = "heatherridge-target", .role = "target", .settings = RoleSettings}, create, argc,
                     argv);
}
