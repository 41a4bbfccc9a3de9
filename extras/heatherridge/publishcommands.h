#pragma once

#include "commandline.h"
#include "report.h"

namespace Heatherridge
{

/** Publishes the file that @p command names and reports the outcome. @p line must hold the log's address. */
Report runPublish(const PublishCommand &command, const CommandLine &line);

/** Adds a planned stop for the target of @p command to the active rules. @p line must hold the log's address. */
Report runDrain(const DrainCommand &command, const CommandLine &line);

} // namespace Heatherridge
