#include "heatherridge_transport/app/settings.h"
#include "support/childprocess.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SettingSpec Specs[] = {
    {.key = "share",
     .type = SettingType::Fraction,
     .defaultValue = "0.2",
     .minimum = 0,
     .maximum = 10,
     .help = "a share"},
    {.key = "grace", .type = SettingType::Seconds, .defaultValue = "8", .minimum = 1, .maximum = 600, .help = "a time"},
    {.key = "pause",
     .type = SettingType::Milliseconds,
     .defaultValue = "50",
     .minimum = 0,
     .maximum = 99,
     .help = "a time"},
    {.key = "count", .type = SettingType::Number, .defaultValue = "3", .minimum = 0, .maximum = 9, .help = "a count"},
    {.key = "mode", .type = SettingType::Choice, .defaultValue = "auto", .help = "a mode", .choices = "auto, off"},
};

struct ValueCase
{
    const char *description;
    std::vector<const char *> flags;
    std::optional<std::pair<double, std::chrono::milliseconds>>
        values; ///< share and grace; empty if the flags are invalid
};

const ValueCase ValueCases[] = {
    {"defaults", {}, std::pair(0.2, 8'000ms)},
    {"whole numbers", {"--share=1", "--grace=30"}, std::pair(1.0, 30'000ms)},
    // A platform writes its bounds with or without a fraction; a gateway that accepted only one form would not start.
    {"fractions", {"--share=0.35", "--grace=8.5"}, std::pair(0.35, 8'500ms)},
    {"above the upper bound", {"--share=88.0"}, std::nullopt},
    {"below the lower bound", {"--grace=0.5"}, std::nullopt},
    {"not a number", {"--grace=8s"}, std::nullopt},
    {"empty value", {"--share="}, std::nullopt},
    {"a fraction for an integer setting", {"--count=1.5"}, std::nullopt},
    {"a fraction of zero for an integer setting", {"--count=1.0"}, std::pair(0.2, 8'000ms)},
    {"a fraction without digits", {"--count=1."}, std::nullopt},
    {"an integer above the upper bound", {"--count=10.0"}, std::nullopt},
    {"a fraction for a time", {"--pause=1.5"}, std::pair(0.2, 8'000ms)},
    {"a fraction for a time above the upper bound", {"--pause=99.5"}, std::nullopt},
    {"a word of a choice", {"--mode=off"}, std::pair(0.2, 8'000ms)},
    // A misspelled word would leave on what the operator has switched off.
    {"an unknown word of a choice", {"--mode=of"}, std::nullopt},
};

class SettingValues : public testing::TestWithParam<ValueCase>
{
};

TEST_P(SettingValues, AreParsedAndValidated)
{
    const auto &row = GetParam();
    std::vector<const char *> arguments{"program"};
    arguments.insert(arguments.end(), row.flags.begin(), row.flags.end());
    const auto loaded =
        Settings::load("program", "section", Specs, static_cast<int>(arguments.size()), arguments.data());
    const auto *settings = std::get_if<Settings>(&loaded);
    ASSERT_EQ(settings != nullptr, row.values.has_value()) << row.description;
    if (settings != nullptr) {
        EXPECT_DOUBLE_EQ(settings->fraction("share"), row.values->first) << row.description;
        EXPECT_EQ(settings->duration("grace"), row.values->second) << row.description;
    }
}

INSTANTIATE_TEST_SUITE_P(All, SettingValues, testing::ValuesIn(ValueCases));

/** Writes a sidecar's settings to @p file. */
void writeSidecarSettings(const std::filesystem::path &file, const std::string &extraLines)
{
    std::ofstream(file) << "[sidecar]\nname = s\nzone = z\nlisten = 127.0.0.1:0\nengine = 127.0.0.1:1\n"
                        << "log-service = 127.0.0.1:1\nlog-stream = standard-output\n"
                        << extraLines;
}

// An operator changes a setting and signals the process, then saves the file with a typing error. Guards against a
// process that exits, interrupts its running work, or applies half of the file.
TEST(Reload, AppliesValidSettingsAndRejectsInvalidOnes)
{
    const auto file = std::filesystem::temp_directory_path() / ("reload-" + std::to_string(getpid()) + ".ini");
    writeSidecarSettings(file, "");
    ChildProcess sidecar("heatherridge-sidecar", {"--config", file.string()});
    ASSERT_FALSE(sidecar.endpoints().empty());
    writeSidecarSettings(file, "log-level = warning\n");
    sidecar.signal(SIGHUP);
    std::this_thread::sleep_for(1s);
    writeSidecarSettings(file, "colour = red\n");
    sidecar.signal(SIGHUP);
    std::this_thread::sleep_for(1s);
    sidecar.signal(SIGTERM);
    const auto output = sidecar.output();
    EXPECT_EQ(sidecar.wait(), 0);
    EXPECT_NE(output.find("event=reloaded changed=log-level"), std::string::npos) << output;
    EXPECT_NE(output.find("event=reload-rejected"), std::string::npos) << output;
    EXPECT_NE(output.find("unknown key 'colour'"), std::string::npos) << output;
    std::filesystem::remove(file);
}

// Guards against a process that follows no further change because of a key that it ignored at its start.
TEST(Reload, GoesOnWithKeysThatWereIgnoredAtTheStart)
{
    const auto file = std::filesystem::temp_directory_path() / ("reload-known-" + std::to_string(getpid()) + ".ini");
    writeSidecarSettings(file, "colour = red\n");
    ChildProcess sidecar("heatherridge-sidecar", {"--config", file.string()});
    ASSERT_FALSE(sidecar.endpoints().empty());
    writeSidecarSettings(file, "colour = red\nlog-level = warning\n");
    sidecar.signal(SIGHUP);
    std::this_thread::sleep_for(1s);
    sidecar.signal(SIGTERM);
    const auto output = sidecar.output();
    EXPECT_EQ(sidecar.wait(), 0);
    EXPECT_NE(output.find("event=reloaded changed=log-level"), std::string::npos) << output;
    std::filesystem::remove(file);
}

} // namespace
