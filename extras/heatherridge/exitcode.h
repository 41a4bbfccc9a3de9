#pragma once

namespace Heatherridge
{

/** Exit codes of the operator's command; documented in docs/operating/command.md. */
enum class ExitCode {
    Done = 0, ///< accepted, already active, or without faults
    Refused = 1, ///< the publish was rejected and will never take effect
    Usage = 2, ///< the command line is invalid
    Faults = 3, ///< a document has faults; nothing was sent
    Unknown = 4, ///< sent, but its outcome could not be determined: run again with the same operation
    Unreachable = 5, ///< the log or the processes did not answer; nothing was changed
    NotFound = 6, ///< no such target or request
};

} // namespace Heatherridge
