#pragma once

#include "commandline.h"
#include "report.h"

namespace Heatherridge
{

/** Publishes the file that @p command names and says what became of it. @p line holds the log's address. */
Report runPublish(const PublishCommand &command, const CommandLine &line);

/** Adds a planned stop for the target of @p command to the rules in force. @p line holds the log's address. */
Report runDrain(const DrainCommand &command, const CommandLine &line);

} // namespace Heatherridge
