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

/** Put a document in force. */
struct PublishCommand
{
    DocumentKind document = DocumentKind::Inventory;
    std::string file{};
};

/** Tell the faults of a document. */
struct CheckCommand
{
    std::string file{};
    std::optional<DocumentKind> document{}; ///< told by its sections when absent
};

/** Tell what is in force, and who lags. */
struct StatusCommand
{
};

/** Tell the state of each target. */
struct TargetsCommand
{
};

/** Tell what became of a request and why. */
struct ExplainCommand
{
    RequestId request{};
};

/** Add a planned stop to the rules in force. */
struct DrainCommand
{
    TargetName target{};
};

using Command = std::variant<PublishCommand, CheckCommand, StatusCommand, TargetsCommand, ExplainCommand, DrainCommand>;

/** What the operator typed, checked. */
struct CommandLine
{
    Command command{};
    std::optional<Endpoint> log{}; ///< the platform's log service
    std::vector<Endpoint> processes{}; ///< daemons whose administration interface is asked
    OperationId operation{}; ///< of a publish that is run again; empty draws one
    std::optional<LogOffset> basedOn{}; ///< what the operator had seen; absent for the newest
    std::chrono::milliseconds timeout{30'000}; ///< until the command gives up
    bool json = false; ///< print JSON
};

/** Print this text and end with this code: help, version, or what is wrong with the command line. */
struct CommandLineExit
{
    bool isError = false;
    std::string text{};
};

/**
 * Reads the command line, and the settings file that it names.
 * @param arguments without the program's own name
 */
std::variant<CommandLine, CommandLineExit> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace Heatherridge
