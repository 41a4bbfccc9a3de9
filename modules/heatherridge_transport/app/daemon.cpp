#include "heatherridge_transport/app/daemon.h"

#include "heatherridge_transport/app/logger.h"

#include <csignal>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <random>

namespace Heatherridge
{

namespace
{

/** Interval between checks of the settings file, which may change without a signal. */
constexpr std::chrono::seconds FileCheckPeriod{2};

const SettingSpec CommonSettings[] = {
    {.key = "name", .required = true, .help = "name of this process, unique in the deployment; a target's own name"},
    {.key = "zone", .required = true, .help = "availability zone of this host, as in the inventory"},
    {.key = "log-service",
     .type = SettingType::Address,
     .required = true,
     .help = "address of the platform's log service"},
    {.key = "host-list",
     .type = SettingType::Address,
     .help =
         "address of the platform's list of live and leaving hosts; without it only the inventory and rules are used"},
    {.key = "peers",
     .type = SettingType::AddressList,
     .help = "gates of some targets; if the log is unavailable when the process starts, it requests the configuration "
             "from them"},
    {.key = "log-format", .defaultValue = "key-value", .help = "format of the process's own log: key-value or json"},
    {.key = "log-stream",
     .defaultValue = "standard-error",
     .help = "stream of the process's own log: standard-error, or standard-output, which never blocks on its reader"},
    {.key = "log-level",
     .defaultValue = "info",
     .help = "minimum severity that is logged: debug, info, warning or error"},
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

Severity parseSeverity(std::string_view name)
{
    if (name == "debug") {
        return Severity::Debug;
    }
    if (name == "warning") {
        return Severity::Warning;
    }
    return name == "error" ? Severity::Error : Severity::Info;
}

std::vector<SettingSpec> withCommonSettings(std::span<const SettingSpec> daemonSettings)
{
    std::vector<SettingSpec> all(std::begin(CommonSettings), std::end(CommonSettings));
    all.insert(all.end(), daemonSettings.begin(), daemonSettings.end());
    return all;
}

void setUpLoggerFrom(const Settings &settings)
{
    setUpLogger({.process = settings.text("name"),
                 .format = settings.text("log-format") == "json" ? LogFormat::Json : LogFormat::KeyValue,
                 .minimumSeverity = parseSeverity(settings.text("log-level")),
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

/** Returns when @p file was last written, or the epoch if it does not exist. */
std::filesystem::file_time_type lastWriteTime(const std::string &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::filesystem::file_time_type() : time;
}

/** Blocks until SIGTERM or SIGINT arrives. Calls @p reload on SIGHUP and whenever @p file has changed. */
void waitForStopSignal(const std::string &file, const std::function<void()> &reload)
{
    const auto signals = handledSignals();
    auto lastWritten = lastWriteTime(file);
    while (true) {
        const timespec period{.tv_sec = FileCheckPeriod.count(), .tv_nsec = 0};
        const int received = sigtimedwait(&signals, nullptr, &period);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        const auto now = lastWriteTime(file);
        if (received == SIGHUP || now != lastWritten) {
            lastWritten = now;
            reload();
        }
    }
}

std::string commaSeparated(const std::vector<std::string> &words)
{
    std::string text;
    for (const auto &word : words) {
        text += (text.empty() ? "" : ",") + word;
    }
    return text;
}

/** Passes reloaded settings to @p server and logs the changed keys. Logs invalid settings and ignores them. */
void applyReload(const std::variant<Settings, Settings::Exit> &loaded, Settings &currentSettings,
                 const DaemonServer &server)
{
    if (const auto *exit = std::get_if<Settings::Exit>(&loaded)) {
        logEvent(Severity::Warning, "reload-rejected", {{"reason", exit->text}});
        return;
    }
    const auto &newSettings = std::get<Settings>(loaded);
    logEvent(Severity::Info, "reloaded", {{"changed", commaSeparated(newSettings.changedKeys(currentSettings))}});
    currentSettings = newSettings;
    if (server.reload) {
        server.reload(currentSettings);
    }
}

} // namespace

std::span<const SettingSpec> commonSettings()
{
    return CommonSettings;
}

Incarnation generateIncarnation()
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
    auto settings = std::get<Settings>(loaded);
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
    waitForStopSignal(settings.file(), [&] {
        applyReload(Settings::load(description.program, description.role, specs, argc, argv), settings, server);
    });
    server.drainAndStop();
    stopLogger();
    return 0;
}

} // namespace Heatherridge
