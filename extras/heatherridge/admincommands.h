#pragma once

#include "commandline.h"
#include "report.h"

namespace Heatherridge
{

/** Reports the active configuration of each process and, if the log's address is known, of the log; shows which lag. */
Report runStatus(const CommandLine &line);

/** Reports the state of each target as seen by the first process that answers. */
Report runTargets(const CommandLine &line);

/** Reports the outcome of the request of @p command, from the process that accepted it. */
Report runExplain(const ExplainCommand &command, const CommandLine &line);

} // namespace Heatherridge
