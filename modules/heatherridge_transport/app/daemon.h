#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/app/settings.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** Returns the settings that all daemons share, such as name, zone, log service, log format and log level. */
std::span<const SettingSpec> commonSettings();

/** Returns a random number that identifies this run of the process, from the machine's entropy source. */
Incarnation generateIncarnation();

/** The properties in which daemons differ. */
struct DaemonDescription
{
    std::string_view program{}; ///< name of the program
    std::string_view role{}; ///< section of its settings file; also printed on its ready line
    std::span<const SettingSpec> settings{}; ///< in addition to the common settings
};

/** The operations of a daemon's server that runDaemon() calls. */
struct DaemonServer
{
    /** Starts serving. @returns the listening addresses in the order of the ready line, or an error */
    std::function<Result<std::vector<Endpoint>>()> start{};
    /** Drains and stops the server; blocks until it has stopped. */
    std::function<void()> drainAndStop{};
    /** Applies the settings that can change at run time; if empty, all changes take effect at the next start. */
    std::function<void(const Settings &newSettings)> reload{};
};

/**
 * Runs a daemon: loads its settings, serves, and stops on SIGTERM or SIGINT. Call first in main(), on the main thread:
 * it blocks these signals for all threads, because otherwise a signal could end the process on any thread in the middle
 * of a response.
 *
 * At the start, an invalid settings file is read again for 3 s, and an address that cannot be listened on is retried
 * for 30 s with a new server; keys that are not known are logged and ignored. A stop signal ends both.
 *
 * Settings are reloaded on SIGHUP and when their file has changed. Invalid settings are logged and change nothing.
 *
 * Prints one line "ready ROLE ADDRESS:PORT ..." on standard output once the daemon serves.
 * @param create creates the server from validated settings, once for each attempt to start, after the log is set up
 * @returns the program's exit code
 */
int runDaemon(const DaemonDescription &description, const std::function<DaemonServer(const Settings &)> &create,
              int argc, const char *const *argv);

} // namespace Heatherridge
