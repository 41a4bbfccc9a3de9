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

/** Settings that all daemons share: name, zone, log service, log format and level. */
std::span<const SettingSpec> commonSettings();

/** A number drawn from the machine's entropy, for this run of the process. */
Incarnation generateIncarnation();

/** What is told apart between daemons. */
struct DaemonDescription
{
    std::string_view program{}; ///< name of the program
    std::string_view role{}; ///< section of its settings file, and the word on its ready line
    std::span<const SettingSpec> settings{}; ///< beside the common ones
};

/** A daemon's server as its program drives it. */
struct DaemonServer
{
    /** Starts to serve. @returns where, in the order of the ready line; or why not */
    std::function<Result<std::vector<Endpoint>>()> start{};
    /** Ends gracefully; blocks until then. */
    std::function<void()> drainAndStop{};
    /** Takes over what may change while it runs; without it all settings wait for the next start. */
    std::function<void(const Settings &newSettings)> reload{};
};

/**
 * Runs a daemon from its settings to its end by SIGTERM or SIGINT. Call first in main(), on its thread: the signals are
 * blocked for all threads, or one could end the process on any thread in the midst of an answer.
 *
 * Settings are read again on SIGHUP, and when their file has changed. Faulty ones are logged and change nothing.
 *
 * Prints one line "ready ROLE ADDRESS:PORT ..." on standard output once it serves.
 * @param create makes the server out of checked settings; called once, after the log is set up
 * @returns the program's exit code
 */
int runDaemon(const DaemonDescription &description, const std::function<DaemonServer(const Settings &)> &create,
              int argc, const char *const *argv);

} // namespace Heatherridge
