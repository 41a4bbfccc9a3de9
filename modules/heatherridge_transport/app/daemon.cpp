#include "heatherridge_transport/app/daemon.h"

#include "heatherridge_transport/app/logger.h"

#include <csignal>
#include <iostream>
#include <random>

namespace Heatherridge
{

namespace
{

const SettingSpec Common[] = {
    {.key = "name", .required = true, .help = "name of this process, unique in the deployment; a target's own name"},
    {.key = "zone", .required = true, .help = "availability zone of this host, as in the inventory"},
    {.key = "log-service", .type = SettingType::Address, .required = true, .help = "where the platform's log listens"},
    {.key = "host-list",
     .type = SettingType::Address,
     .help = "where the platform's list of live and leaving hosts listens; without it only inventory and rules count"},
    {.key = "peers",
     .type = SettingType::AddressList,
     .help = "gates of some targets, asked for the configuration when the process starts while the log is out"},
    {.key = "log-format", .fallback = "key-value", .help = "form of the process's own log: key-value or json"},
    {.key = "log-stream",
     .fallback = "standard-error",
     .help =
         "where the process's own log goes: standard-error, or standard-output without ever waiting for its reader"},
    {.key = "log-level", .fallback = "info", .help = "lowest level that is written: debug, info, warning or error"},
};

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

Severity severityFrom(std::string_view name)
{
    if (name == "debug") {
        return Severity::Debug;
    }
    if (name == "warning") {
        return Severity::Warning;
    }
    return name == "error" ? Severity::Error : Severity::Info;
}

std::vector<SettingSpec> withCommonSettings(std::span<const SettingSpec> own)
{
    std::vector<SettingSpec> all(std::begin(Common), std::end(Common));
    all.insert(all.end(), own.begin(), own.end());
    return all;
}

void setUpLoggerFrom(const Settings &settings)
{
    setUpLogger({.process = settings.text("name"),
                 .format = settings.text("log-format") == "json" ? LogFormat::Json : LogFormat::KeyValue,
                 .lowest = severityFrom(settings.text("log-level")),
                 .stream = settings.text("log-stream") == "standard-output" ? LogStream::StandardOutput
                                                                            : LogStream::StandardError});
}

void announceReady(std::string_view role, const std::vector<Endpoint> &endpoints)
{
    std::cout << "ready " << role;
    for (const auto &endpoint : endpoints) {
        std::cout << ' ' << toString(endpoint);
    }
    std::cout << std::endl;
}

void blockHandledSignals()
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const auto signals = handledSignals();
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&signals, &received);
        if (received == SIGHUP) {
            // Settings are read at the start alone; without a handler the signal would end the process and cut calls.
            logEvent(Severity::Info, "reload-ignored", {{"reason", "settings take effect at the next start"}});
        }
    }
}

} // namespace

std::span<const SettingSpec> commonSettings()
{
    return Common;
}

Incarnation drawIncarnation()
{
    std::random_device entropy;
    return static_cast<Incarnation>((static_cast<std::uint64_t>(entropy()) << 32U) | entropy());
}

int runDaemon(const DaemonDescription &description, const std::function<DaemonServer(const Settings &)> &create,
              int argc, const char *const *argv)
{
    blockHandledSignals();
    const auto specs = withCommonSettings(description.settings);
    const auto loaded = Settings::load(description.program, description.role, specs, argc, argv);
    if (const auto *exit = std::get_if<Settings::Exit>(&loaded)) {
        (exit->code == Settings::ExitOk ? std::cout : std::cerr) << exit->text;
        return exit->code;
    }
    const auto &settings = std::get<Settings>(loaded);
    setUpLoggerFrom(settings);
    const auto server = create(settings);
    const auto started = server.start();
    if (const auto *error = errorIn(started)) {
        logEvent(Severity::Error, "start-failed", {{"reason", error->detail}});
        stopLogger();
        return 1;
    }
    announceReady(description.role, std::get<std::vector<Endpoint>>(started));
    logEvent(Severity::Info, "started", {{"role", std::string(description.role)}});
    waitForStopSignal();
    server.drainAndStop();
    stopLogger();
    return 0;
}

} // namespace Heatherridge
