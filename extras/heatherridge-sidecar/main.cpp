#include "heatherridge_platform.h"
#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/direct/sidecarserver.h"

#include <memory>

using namespace Heatherridge;

namespace
{

const SettingSpec RoleSettings[] = {
    {.key = "listen",
     .type = SettingType::Address,
     .required = true,
     .help = "address that serves the keepers of groups"},
    {.key = "max-descriptors",
     .type = SettingType::Number,
     .defaultValue = "2048",
     .minimum = 256,
     .maximum = 1000000,
     .help = "descriptors that this host gives a process; half of those that are left for sockets serve gateways"},
    {.key = "memory-mb",
     .type = SettingType::Fraction,
     .defaultValue = "128",
     .minimum = 16,
     .maximum = 1000000,
     .help = "memory of this host in MiB for this process; a quarter of it may be used for gateways' calls"},
    {.key = "engine", .type = SettingType::Address, .required = true, .help = "the model engine on this host"},
};

/** Descriptors for files and the log. */
constexpr long long ReservedDescriptors = 200;
/** Share of the memory for calls and their responses. */
constexpr double BufferMemoryShare = 0.25;
constexpr double BytesPerMebibyte = 1024.0 * 1024.0;

SidecarServer::Options optionsFrom(const Settings &settings)
{
    return {.process = ProcessName(settings.text("name")),
            .zone = ZoneName(settings.text("zone")),
            .listen = settings.address("listen"),
            .engine = settings.address("engine"),
            .maxConnections = static_cast<std::size_t>(settings.number("max-descriptors") - ReservedDescriptors) / 2,
            .maxHeldBytes =
                static_cast<std::size_t>(settings.fraction("memory-mb") * BytesPerMebibyte * BufferMemoryShare)};
}

} // namespace

int main(int argc, char **argv)
{
    const auto create = [](const Settings &settings) {
        const auto makeRanks = [](HttpClient &client) {
            return std::make_unique<PlatformEngines>(client, PlatformEngines::Options{});
        };
        const auto server = std::make_shared<SidecarServer>(optionsFrom(settings), makeRanks);
        return DaemonServer{.start = [server] { return server->start(); },
                            .drainAndStop = [server] { server->drainAndStop(); }};
    };
    return runDaemon({.program = "heatherridge-sidecar", .role = "sidecar", .settings = RoleSettings}, create, argc,
                     argv);
}
