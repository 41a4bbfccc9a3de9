#pragma once

#include "commandline.h"
#include "report.h"

namespace Heatherridge
{

/** What is in force by the log, where the log's address is known, and by each process, and which of them lag. */
Report runStatus(const CommandLine &line);

/** The state of each target as the first process that answers sees it. */
Report runTargets(const CommandLine &line);

/** What became of the request of @p command, from the process that took it. */
Report runExplain(const ExplainCommand &command, const CommandLine &line);

} // namespace Heatherridge
