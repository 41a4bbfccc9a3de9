#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/app/settings.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** Settings that all daemons share: name, zone, log service, log format and level. */
std::span<const SettingSpec> commonSettings();

/** @p common settings followed by @p own. */
std::vector<SettingSpec> withCommonSettings(std::span<const SettingSpec> own);

/** Sets up the log as the common settings say. */
void setUpLoggerFrom(const Settings &settings);

/** A number drawn from the machine's entropy, for this run of the process. */
Incarnation drawIncarnation();

/** Tells whoever started the program that it serves: one line "ready ROLE ADDRESS:PORT ..." on standard output. */
void announceReady(std::string_view role, const std::vector<Endpoint> &endpoints);

/**
 * Blocks SIGTERM and SIGINT in this thread and in those that it starts later. Call first in main().
 * Without it a signal could end the process on any thread, in the midst of an answer.
 */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT. On the main thread. */
void waitForStopSignal();

} // namespace Heatherridge
