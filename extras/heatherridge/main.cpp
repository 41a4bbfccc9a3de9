#include "admincommands.h"
#include "commandline.h"
#include "documentcheck.h"
#include "publishcommands.h"

#include <csignal>
#include <iostream>

using namespace Heatherridge;

namespace
{

Report run(const CommandLine &line)
{
    return std::visit(Visitor{[&](const PublishCommand &command) { return runPublish(command, line); },
                              [&](const CheckCommand &command) { return checkFile(command.file, command.document); },
                              [&](const StatusCommand &) { return runStatus(line); },
                              [&](const TargetsCommand &) { return runTargets(line); },
                              [&](const ExplainCommand &command) { return runExplain(command, line); },
                              [&](const DrainCommand &command) { return runDrain(command, line); }},
                      line.command);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = parseCommandLine({argv + 1, argv + argc});
    if (const auto *exitRequest = std::get_if<CommandLineExit>(&parsed)) {
        (exitRequest->isError ? std::cerr : std::cout) << exitRequest->text;
        return static_cast<int>(exitRequest->isError ? ExitCode::Usage : ExitCode::Done);
    }
    const auto &line = std::get<CommandLine>(parsed);
    const auto report = run(line);
    if (line.json) {
        std::cout << report.json.dump(2) << "\n";
    } else {
        std::cout << report.text;
    }
    return static_cast<int>(report.code);
}
