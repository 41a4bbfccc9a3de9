#include "heatherridge_transport/app/daemon.h"

#include "heatherridge_state/decisions/startretry.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/app/processhealth.h"
#include "heatherridge_transport/app/standardoutput.h"

#include <csignal>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <random>

namespace Heatherridge
{

namespace
{

/** Exit code of a process that could not start. */
constexpr int ExitStartFailed = 1;
/** Interval between checks of the settings file, which may change without a signal. */
constexpr std::chrono::seconds FileCheckPeriod{2};
/** A settings file that is being written is complete within this time. */
constexpr StartRetryOptions SettingsRetry{.patience = std::chrono::seconds(3)};
/** The process that held an address before has ended within this time, which is longer than grace periods usually are.
 */
constexpr StartRetryOptions ServerRetry{.patience = std::chrono::seconds(30)};
/** A process whose output nobody reads serves all the same, and has to notice its stop signal. */
constexpr std::chrono::milliseconds ReadyLinePatience{500};

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
    std::string line = "ready " + std::string(role);
    for (const auto &endpoint : endpoints) {
        line += ' ' + toString(endpoint);
    }
    const auto end = std::chrono::steady_clock::now() + ReadyLinePatience;
    writeToStandardOutput(line + "\n", [end] { return std::chrono::steady_clock::now() >= end; });
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

/** Waits at most @p timeout for a handled signal. @returns its number, or -1 if none has arrived */
int awaitSignal(std::chrono::milliseconds timeout)
{
    const auto signals = handledSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const timespec period{.tv_sec = seconds.count(), .tv_nsec = std::chrono::nanoseconds(timeout - seconds).count()};
    return sigtimedwait(&signals, nullptr, &period);
}

bool isStopSignal(int signal)
{
    return signal == SIGTERM || signal == SIGINT;
}

/** Waits for @p delay. @returns false as soon as a stop signal arrives */
bool pauseUnlessStopped(std::chrono::milliseconds delay)
{
    const auto end = std::chrono::steady_clock::now() + delay;
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left <= std::chrono::milliseconds(0)) {
            return true;
        }
        if (isStopSignal(awaitSignal(left))) {
            return false;
        }
    }
}

/** Blocks until SIGTERM or SIGINT arrives. Calls @p reload on SIGHUP and whenever @p file has changed. */
void waitForStopSignal(const std::string &file, const std::function<void()> &reload)
{
    auto lastWritten = lastWriteTime(file);
    while (true) {
        const int received = awaitSignal(FileCheckPeriod);
        if (isStopSignal(received)) {
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

/** Loads settings. An invalid file is reported and read again for a while, as it may be incomplete. */
std::variant<Settings, Settings::Exit> loadForStart(const std::function<std::variant<Settings, Settings::Exit>()> &load)
{
    StartRetry retry(SettingsRetry);
    std::string reported;
    while (true) {
        auto loaded = load();
        const auto *exit = std::get_if<Settings::Exit>(&loaded);
        if (exit == nullptr) {
            return loaded;
        }
        if (exit->text != reported) {
            (exit->code == Settings::ExitOk ? std::cout : std::cerr) << exit->text << std::flush;
            reported = exit->text;
        }
        const auto delay =
            exit->isCausedByFile ? retry.delayAfterFailure(std::chrono::steady_clock::now()) : std::nullopt;
        if (!delay || !pauseUnlessStopped(*delay)) {
            return loaded;
        }
    }
}

/** A server that serves at its addresses. */
struct StartedServer
{
    DaemonServer server{};
    std::vector<Endpoint> endpoints{};
};

/** Starts a server, and a new one if that fails, as long as ServerRetry allows. Calls @p reload before each further
 * attempt. @returns the server or an exit code */
std::variant<StartedServer, int> startServer(const std::function<DaemonServer()> &create,
                                             const std::function<void()> &reload)
{
    StartRetry retry(ServerRetry);
    std::string reported;
    while (true) {
        auto server = create();
        auto started = server.start();
        const auto *error = errorIn(started);
        if (error == nullptr) {
            return StartedServer{.server = std::move(server),
                                 .endpoints = std::get<std::vector<Endpoint>>(std::move(started))};
        }
        const auto delay = retry.delayAfterFailure(std::chrono::steady_clock::now());
        if (!delay) {
            logEvent(Severity::Error, "start-failed", {{"reason", error->detail}});
            return ExitStartFailed;
        }
        if (error->detail != reported) {
            logEvent(Severity::Warning, "start-delayed", {{"reason", error->detail}});
            reported = error->detail;
        }
        server = {};
        if (!pauseUnlessStopped(*delay)) {
            logEvent(Severity::Info, "ended", {{"before", "start"}});
            return 0;
        }
        reload();
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
    const auto load = [&](Settings::UnknownKeys unknownKeys) {
        return Settings::load(description.program, description.role, specs, argc, argv, unknownKeys);
    };
    const auto loaded = loadForStart([&] { return load(Settings::UnknownKeys::Ignore); });
    if (const auto *exit = std::get_if<Settings::Exit>(&loaded)) {
        return exit->code;
    }
    auto settings = std::get<Settings>(loaded);
    setUpLoggerFrom(settings);
    reportFatalEnds(settings.text("name"));
    for (const auto &key : settings.ignoredKeys()) {
        logEvent(Severity::Warning, "setting-ignored", {{"key", key}});
    }
    auto started = startServer([&] { return create(settings); },
                               [&] {
                                   auto changed = load(Settings::UnknownKeys::Ignore);
                                   if (auto *valid = std::get_if<Settings>(&changed)) {
                                       settings = std::move(*valid);
                                   }
                               });
    if (const auto *exitCode = std::get_if<int>(&started)) {
        stopLogger();
        return *exitCode;
    }
    const auto &running = std::get<StartedServer>(started);
    announceReady(description.role, running.endpoints);
    logEvent(Severity::Info, "started", {{"role", std::string(description.role)}});
    // Keys that did not stop the start do not stop a reload either; a further one may be a typing error.
    const auto reload = [&] {
        auto changed = load(Settings::UnknownKeys::Ignore);
        const auto *valid = std::get_if<Settings>(&changed);
        const bool isKnown = valid != nullptr && valid->ignoredKeys() == settings.ignoredKeys();
        applyReload(isKnown ? changed : load(Settings::UnknownKeys::Reject), settings, running.server);
    };
    waitForStopSignal(settings.file(), reload);
    running.server.drainAndStop();
    logEvent(Severity::Info, "ended", {});
    stopLogger();
    return 0;
}

} // namespace Heatherridge
