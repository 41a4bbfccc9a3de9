#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/target/targetserver.h"

#include <iostream>

using namespace Heatherridge;

namespace
{

const SettingSpec OwnSettings[] = {
    {.key = "listen",
     .type = SettingType::Address,
     .fallback = "127.0.0.1:7100",
     .help = "where entries reach it; the target's gate in the inventory"},
    {.key = "admin",
     .type = SettingType::Address,
     .fallback = "127.0.0.1:7101",
     .help = "where status and metrics are served"},
    {.key = "drain-timeout",
     .type = SettingType::Milliseconds,
     .fallback = "60000",
     .lowest = 0,
     .highest = 3600000,
     .help = "longest wait for running requests at shutdown"},
};

TargetServer::Options optionsFrom(const Settings &settings)
{
    return {.target = TargetName(settings.text("name")),
            .incarnation = drawIncarnation(),
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
    blockStopSignals();
    const auto loaded = Settings::load("heatherridge-target", "target", withCommonSettings(OwnSettings), argc, argv);
    if (const auto *exit = std::get_if<Settings::Exit>(&loaded)) {
        (exit->code == Settings::ExitOk ? std::cout : std::cerr) << exit->text;
        return exit->code;
    }
    const auto &settings = std::get<Settings>(loaded);
    setUpLoggerFrom(settings);
    TargetServer server(optionsFrom(settings));
    const auto started = server.start();
    if (const auto *error = errorIn(started)) {
        logEvent(Severity::Error, "start-failed", {{"reason", error->detail}});
        return 1;
    }
    const auto &addresses = std::get<TargetServer::Addresses>(started);
    announceReady("target", {addresses.gate, addresses.admin});
    waitForStopSignal();
    server.drainAndStop();
    return 0;
}
