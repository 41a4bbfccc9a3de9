#pragma once

#include "heatherridge_state/fold/controlrecord.h"
#include "heatherridge_state/heatherridge_state.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Publishes a document. */
struct PublishCommand
{
    DocumentKind document = DocumentKind::Inventory;
    std::string file{};
};

/** Lists the faults of a document. */
struct CheckCommand
{
    std::string file{};
    std::optional<DocumentKind> document{}; ///< inferred from its sections when absent
};

/** Shows the active configuration and the processes that lag. */
struct StatusCommand
{
};

/** Shows the state of each target. */
struct TargetsCommand
{
};

/** Shows the outcome of a request and the reasons for it. */
struct ExplainCommand
{
    RequestId request{};
};

/** Adds a planned stop to the active rules. */
struct DrainCommand
{
    TargetName target{};
};

using Command = std::variant<PublishCommand, CheckCommand, StatusCommand, TargetsCommand, ExplainCommand, DrainCommand>;

/** The validated command line. */
struct CommandLine
{
    Command command{};
    std::optional<Endpoint> log{}; ///< the platform's log service
    std::vector<Endpoint> processes{}; ///< daemons whose administration interface is queried
    OperationId operation{}; ///< id of a publish that is repeated; a new one is generated when empty
    std::optional<LogOffset> basedOn{}; ///< offset that the change is based on; absent for the newest
    std::chrono::milliseconds timeout{30'000}; ///< time until the command fails
    bool json = false; ///< print JSON
};

/** A text to print before exiting without running a command: help, version or an error in the command line. */
struct CommandLineExit
{
    bool isError = false;
    std::string text{};
};

/**
 * Parses the command line and the settings file that it names.
 * @param arguments the arguments without the program name
 */
std::variant<CommandLine, CommandLineExit> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace Heatherridge
