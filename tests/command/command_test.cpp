#include "support/childprocess.h"
#include "support/httpcalls.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>

using namespace Heatherridge;

namespace
{

constexpr int Done = 0;
constexpr int Refused = 1;
constexpr int Usage = 2;
constexpr int Faults = 3;
constexpr int Unknown = 4;
constexpr int Unreachable = 5;
constexpr int NotFound = 6;

const std::string Examples = std::string(HEATHERRIDGE_SOURCE_DIR) + "/examples/";
const std::string Inventory = Examples + "blue-mahoe/inventory.ini";
const std::string Rules = Examples + "blue-mahoe/rules.ini";

ProgramRun command(const std::vector<std::string> &arguments)
{
    return runProgram("heatherridge", arguments);
}

/** One run of the command with its expected exit code and output. */
struct CommandRun
{
    std::vector<std::string> arguments;
    int exitCode;
    const char *expectedOutput; ///< substring of the output
};

struct CommandRow
{
    const char *name;
    const char *logFaults; ///< fault switches of the log, as JSON
    std::vector<CommandRun> runs;
};

const CommandRow Rows[] = {
    {"AcceptsAPublishOnce",
     "{}",
     {{{"publish", "inventory", Inventory}, Done, "accepted at offset 1"},
      {{"publish", "inventory", Inventory}, Done, "in force already, since offset 1"},
      {{"publish", "rules", Rules}, Done, "accepted at offset 2"}}},
    {"RefusesAStalePublishAndNamesTheConflictingOperation",
     "{}",
     {{{"publish", "rules", Rules, "--operation", "first"}, Done, "accepted at offset 1"},
      {{"publish", "rules", Examples + "ferrauto/rules.ini", "--based-on", "0"}, Refused, "(operation first."},
      {{"publish", "rules", Examples + "ferrauto/rules.ini", "--based-on", "2"}, Done, "accepted at offset 3"}}},
    {"RepeatedOperationTakesEffectOncePerFile",
     R"({"lose-reply":1})",
     {{{"publish", "inventory", Inventory, "--operation", "one"}, Done, "accepted at offset 1"},
      {{"publish", "inventory", Inventory, "--operation", "one"}, Done, "accepted at offset 1"},
      {{"publish", "inventory", Examples + "ferrauto/inventory.ini", "--operation", "one"},
       Done,
       "accepted at offset 2"}}},
    {"PublishesNothingWhileTheLogIsUnavailable",
     R"({"out":1})",
     {{{"publish", "inventory", Inventory}, Unreachable, "not sent"},
      {{"drain", "chip-llm-04"}, Unreachable, "nothing was sent"}}},
    {"DrainsOnlyTargetsOfTheInventory",
     "{}",
     {{{"publish", "inventory", Inventory}, Done, "accepted"},
      {{"publish", "rules", Rules}, Done, "accepted"},
      {{"drain", "chip-llm-04"}, Done, "accepted at offset 3"},
      {{"drain", "chip-llm-04"}, Done, "planned already"},
      {{"drain", "chip-llm-99"}, NotFound, "no such target"}}},
    {"DoesNotSendADocumentWithFaults",
     "{}",
     {{{"publish", "inventory", Rules}, Faults, "rules.ini:"},
      {{"publish", "rules", "no-such-file"}, Faults, "no-such-file:0: the file cannot be read"},
      {{"publish", "rules", Rules}, Done, "accepted at offset 1"}}},
    {"ReportsUnreachableProcesses",
     "{}",
     {{{"status", "--process", "127.0.0.1:1"}, Unreachable, "127.0.0.1:1"},
      {{"targets", "--process", "127.0.0.1:1"}, Unreachable, "no process reported"},
      {{"explain", "r-1", "--process", "127.0.0.1:1"}, Unreachable, "r-1"}}},
};

class OperatorCommand : public testing::TestWithParam<CommandRow>
{
};

TEST_P(OperatorCommand, EachRunHasTheExpectedExitCodeAndOutput)
{
    const ChildProcess log("heatherridge-standin", {"log"});
    const auto &address = log.endpoints().front();
    call(address, "POST", "/faults", GetParam().logFaults);
    for (auto run : GetParam().runs) {
        run.arguments.insert(run.arguments.end(), {"--log", toString(address), "--timeout-ms", "2000"});
        const auto result = command(run.arguments);
        EXPECT_EQ(result.exitCode, run.exitCode) << result.output;
        EXPECT_NE(result.output.find(run.expectedOutput), std::string::npos)
            << result.output << "lacks: " << run.expectedOutput;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, OperatorCommand, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

// The log appends the published record but never replies, and answers no further requests. The command must report
// neither "accepted" nor "refused", but an unknown outcome and how to repeat the publish; the repeated publish must
// report the outcome of the first one.
TEST(OperatorCommandUnderFault, ReportsAnUnknownOutcomeAndResolvesItWithTheSameOperation)
{
    const ChildProcess log("heatherridge-standin", {"log", "--hang-after-append", "1"});
    const auto &address = log.endpoints().front();
    const std::vector<std::string> publish{"publish",         "inventory",   Inventory, "--log",
                                           toString(address), "--operation", "mine"};
    auto first = publish;
    first.insert(first.end(), {"--timeout-ms", "1000"});
    const auto unknown = command(first);
    EXPECT_EQ(unknown.exitCode, Unknown) << unknown.output;
    EXPECT_NE(unknown.output.find("--operation mine --based-on 0"), std::string::npos) << unknown.output;
    call(address, "POST", "/faults", R"({"hang-after-append":0,"hang":0})");
    auto again = publish;
    again.insert(again.end(), {"--based-on", "0", "--json"});
    const auto settled = command(again);
    EXPECT_EQ(settled.exitCode, Done) << settled.output;
    EXPECT_EQ(nlohmann::json::parse(settled.output).value("offset", 0), 1);
}

struct UsageRow
{
    std::vector<std::string> arguments;
    int exitCode;
    const char *expectedOutput;
};

const UsageRow UsageRows[] = {
    {{"--help"}, Done, "publish inventory FILE"},
    {{"--version"}, Done, "heatherridge 0."},
    {{}, Usage, ""},
    {{"status"}, Usage, ""},
    {{"publish", "inventory", "x"}, Usage, ""},
    {{"publish", "poem", "x", "--log", "127.0.0.1:1"}, Usage, ""},
    {{"drain", "t", "--log", "localhost:1"}, Usage, ""},
    {{"check", "x", "--nonsense"}, Usage, ""},
    {{"drain", "t", "--settings", Rules}, Usage, ""},
    {{"check", Inventory}, Done, "no faults as inventory"},
    {{"check", Rules}, Done, "no faults as rules"},
    {{"check", Examples + "ferrauto/inventory.ini"}, Done, "no faults as inventory"},
    {{"check", Examples + "ferrauto/rules.ini"}, Done, "no faults as rules"},
    {{"check", Rules, "--as", "inventory"}, Faults, "rules.ini:"},
};

class OperatorCommandLine : public testing::TestWithParam<UsageRow>
{
};

TEST_P(OperatorCommandLine, HasTheDocumentedExitCodeAndOutput)
{
    const auto result = command(GetParam().arguments);
    EXPECT_EQ(result.exitCode, GetParam().exitCode) << result.output;
    EXPECT_NE(result.output.find(GetParam().expectedOutput), std::string::npos) << result.output;
}

INSTANTIATE_TEST_SUITE_P(Table, OperatorCommandLine, testing::ValuesIn(UsageRows));

} // namespace
