#include "support/childprocess.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace Heatherridge;

namespace
{

const std::string Examples = std::string(HEATHERRIDGE_SOURCE_DIR) + "/examples/";

struct SampleRow
{
    const char *program;
    const char *file;
    std::vector<std::string> flags; ///< flags that avoid fixed ports
};

const SampleRow Rows[] = {
    {"heatherridge-entry", "entry.ini", {"--listen", "127.0.0.1:0"}},
    {"heatherridge-target", "target.ini", {"--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0"}},
};

class SettingsSample : public testing::TestWithParam<SampleRow>
{
};

TEST_P(SettingsSample, ContainsEveryKeyThatTheProgramDescribes)
{
    std::ostringstream text;
    text << std::ifstream(Examples + GetParam().file).rdbuf();
    std::istringstream described(runProgram(GetParam().program, {"--sample"}).output);
    int descriptions = 0;
    for (std::string line; std::getline(described, line);) {
        if (line.rfind("# ", 0) == 0 && line.find(" = ") == std::string::npos) {
            ++descriptions;
            EXPECT_NE(text.str().find(line), std::string::npos) << line << "\nis missing: run scripts/samples";
        }
    }
    EXPECT_GT(descriptions, 0);
}

TEST_P(SettingsSample, StartsTheProgram)
{
    auto arguments = GetParam().flags;
    arguments.insert(arguments.begin(), {"--config", Examples + GetParam().file});
    const ChildProcess program(GetParam().program, arguments);
    EXPECT_FALSE(program.endpoints().empty());
}

INSTANTIATE_TEST_SUITE_P(Table, SettingsSample, testing::ValuesIn(Rows));

} // namespace
