#include "commandline.h"

#include "heatherridge_state/config/sectionreader.h"
#include "textfile.h"

#include <boost/program_options.hpp>

#include <sstream>

namespace Heatherridge
{

namespace
{

namespace Options = boost::program_options;

constexpr std::chrono::milliseconds MinTimeout{100};
constexpr std::chrono::milliseconds MaxTimeout{600'000};

constexpr const char *Usage = R"(usage: heatherridge [options] COMMAND

commands:
  publish inventory FILE   put an inventory in force
  publish rules FILE       put a rule set in force
  check FILE               list all faults of a document without publishing it
  status                   show the active configuration and offset of each process, and which lag
  targets                  show the state of each target
  explain REQUEST-ID       show why a request was placed, refused or retried
  drain TARGET             plan a stop: the target finishes its work and receives no new work

)";

constexpr const char *ExitCodes = R"(
exit codes: 0 done, 1 refused, 2 wrong command line, 3 faults in a document,
            4 outcome unknown (run again with --operation), 5 not reachable, 6 no such target or request
)";

/** Thrown within this file for an invalid command line. */
struct UsageError
{
    std::string reason{};
};

Options::options_description describeOptions()
{
    Options::options_description description("options");
    description.add_options()("help", "print this and exit")("version", "print the version and exit")(
        "json", "print JSON")("settings", Options::value<std::string>()->value_name("FILE"),
                              "INI with [operator]: log = ADDRESS:PORT, processes = list, timeout-ms")(
        "log", Options::value<std::string>()->value_name("ADDRESS:PORT"), "the platform's log service")(
        "process", Options::value<std::vector<std::string>>()->value_name("ADDRESS:PORT")->default_value({}, ""),
        "administration interface of an entry or target process; may be repeated")(
        "operation", Options::value<std::string>()->value_name("ID"), "repeat a publish whose outcome was unknown")(
        "based-on", Options::value<std::uint64_t>()->value_name("OFFSET"),
        "refuse the publish if what it changes has changed since this offset")(
        "timeout-ms", Options::value<long long>()->value_name("MS"), "time until the command fails; default 30000")(
        "as", Options::value<std::string>()->value_name("KIND"), "with check: inventory or rules");
    return description;
}

Endpoint endpointArgument(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        throw UsageError{"'" + text + "' is not of the form ADDRESS:PORT with a numeric IP address"};
    }
    return *endpoint;
}

DocumentKind documentKindArgument(const std::string &argument)
{
    for (const auto kind : {DocumentKind::Inventory, DocumentKind::Rules}) {
        if (argument == toString(kind)) {
            return kind;
        }
    }
    throw UsageError{"'" + argument + "' is neither 'inventory' nor 'rules'"};
}

Command parseCommand(const std::vector<std::string> &words, const Options::variables_map &values)
{
    const auto matches = [&words](std::string_view name, std::size_t count) {
        return words.size() == count && words.front() == name;
    };
    if (matches("publish", 3)) {
        return PublishCommand{.document = documentKindArgument(words[1]), .file = words[2]};
    }
    if (matches("check", 2)) {
        CheckCommand check{.file = words[1]};
        if (values.count("as") != 0) {
            check.document = documentKindArgument(values["as"].as<std::string>());
        }
        return check;
    }
    if (matches("status", 1)) {
        return StatusCommand{};
    }
    if (matches("targets", 1)) {
        return TargetsCommand{};
    }
    if (matches("explain", 2)) {
        return ExplainCommand{.request = RequestId(words[1])};
    }
    if (matches("drain", 2)) {
        return DrainCommand{.target = TargetName(words[1])};
    }
    throw UsageError{words.empty() ? "no command" : "'" + words.front() + "' with these arguments is not a command"};
}

/** Reads defaults from the settings file; options on the command line take precedence. */
void readSettings(const std::string &path, CommandLine &line)
{
    const auto text = readTextFile(path);
    if (!text) {
        throw UsageError{path + ": cannot be read"};
    }
    const auto document = IniDocument::parse(*text);
    auto faults = document.faults();
    for (const auto &section : document.sections()) {
        if (section.kind != "operator" || !section.name.empty()) {
            faults.push_back({.line = section.line, .reason = "the only section is [operator]"});
            continue;
        }
        SectionReader reader(section, faults);
        const auto endpoints = [&](std::string_view key) {
            std::vector<Endpoint> found;
            for (const auto &argument : reader.list(key)) {
                if (const auto endpoint = parseEndpoint(argument)) {
                    found.push_back(*endpoint);
                } else {
                    reader.addFault(key,
                                    "'" + argument + "' is not of the form ADDRESS:PORT with a numeric IP address");
                }
            }
            return found;
        };
        if (const auto log = endpoints("log"); !log.empty()) {
            line.log = log.front();
        }
        line.processes = endpoints("processes");
        line.timeout = reader.duration("timeout-ms", line.timeout, MinTimeout, MaxTimeout);
        reader.reportUnknownKeys();
    }
    if (!faults.empty()) {
        throw UsageError{path + ":" + std::to_string(faults.front().line) + ": " + faults.front().reason};
    }
}

CommandLine buildCommandLine(const Options::variables_map &values, const std::vector<std::string> &words)
{
    CommandLine line;
    if (values.count("settings") != 0) {
        readSettings(values["settings"].as<std::string>(), line);
    }
    line.command = parseCommand(words, values);
    line.json = values.count("json") != 0;
    if (values.count("log") != 0) {
        line.log = endpointArgument(values["log"].as<std::string>());
    }
    if (const auto &processes = values["process"].as<std::vector<std::string>>(); !processes.empty()) {
        line.processes.clear();
        for (const auto &process : processes) {
            line.processes.push_back(endpointArgument(process));
        }
    }
    if (values.count("operation") != 0) {
        line.operation = OperationId(values["operation"].as<std::string>());
    }
    if (values.count("based-on") != 0) {
        line.basedOn = LogOffset{values["based-on"].as<std::uint64_t>()};
    }
    if (values.count("timeout-ms") != 0) {
        line.timeout = std::chrono::milliseconds(values["timeout-ms"].as<long long>());
        if (line.timeout < MinTimeout || line.timeout > MaxTimeout) {
            throw UsageError{"--timeout-ms must be from 100 to 600000"};
        }
    }
    return line;
}

void checkRequiredAddresses(const CommandLine &line)
{
    const auto requireLog = [&line] {
        if (!line.log) {
            throw UsageError{"this command needs --log"};
        }
    };
    const auto requireProcess = [&line] {
        if (line.processes.empty()) {
            throw UsageError{"this command needs --process"};
        }
    };
    std::visit(Visitor{[&](const PublishCommand &) { requireLog(); }, [&](const DrainCommand &) { requireLog(); },
                       [&](const CheckCommand &) {}, [&](const StatusCommand &) { requireProcess(); },
                       [&](const TargetsCommand &) { requireProcess(); },
                       [&](const ExplainCommand &) { requireProcess(); }},
               line.command);
}

} // namespace

std::variant<CommandLine, CommandLineExit> parseCommandLine(const std::vector<std::string> &arguments)
{
    const auto visible = describeOptions();
    try {
        Options::options_description all;
        all.add(visible).add_options()("words", Options::value<std::vector<std::string>>()->default_value({}, ""));
        Options::positional_options_description positional;
        positional.add("words", -1);
        Options::variables_map values;
        Options::store(Options::command_line_parser(arguments).options(all).positional(positional).run(), values);
        if (values.count("help") != 0) {
            std::ostringstream help;
            help << Usage << visible << ExitCodes;
            return CommandLineExit{.text = help.str()};
        }
        if (values.count("version") != 0) {
            return CommandLineExit{.text = std::string("heatherridge ") + HEATHERRIDGE_VERSION + "\n"};
        }
        auto line = buildCommandLine(values, values["words"].as<std::vector<std::string>>());
        checkRequiredAddresses(line);
        return line;
    } catch (const UsageError &fault) {
        return CommandLineExit{.isError = true, .text = "heatherridge: " + fault.reason + "; see --help\n"};
    } catch (const Options::error &error) {
        return CommandLineExit{.isError = true,
                               .text = std::string("heatherridge: ") + error.what() + "; see --help\n"};
    }
}

} // namespace Heatherridge
