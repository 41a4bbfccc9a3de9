#pragma once

namespace Heatherridge
{

/** How the operator's command ends; documented in docs/operating/command.md. */
enum class ExitCode {
    Done = 0, ///< accepted, in force already, or without faults
    Refused = 1, ///< the publish was decided against and will never take effect
    Usage = 2, ///< the command line is wrong
    Faults = 3, ///< a document has faults; nothing was sent
    Unknown = 4, ///< sent, and nobody could say what became of it: run again with the same operation
    Unreachable = 5, ///< the log or the processes did not answer; nothing was changed
    NotFound = 6, ///< no such target or request
};

} // namespace Heatherridge
