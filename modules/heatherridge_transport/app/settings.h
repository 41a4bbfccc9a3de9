#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Type of a setting's value. */
enum class SettingType {
    Text, ///< any text
    Address, ///< IP address, colon, port; for a listening address, port 0 lets the kernel choose
    AddressList, ///< comma-separated addresses; may be empty
    Number, ///< integer within bounds; may be written with a fraction of zero
    Milliseconds, ///< milliseconds within bounds, with or without a decimal fraction
    Seconds, ///< seconds within bounds, with or without a decimal fraction
    Fraction, ///< number within bounds, with or without a decimal fraction
    Switch, ///< yes or no
    Choice, ///< one of several words
};

/** One setting of a daemon: a key of its INI file and a command-line flag of the same name. */
struct SettingSpec
{
    std::string_view key{};
    SettingType type = SettingType::Text;
    std::string_view defaultValue{}; ///< used if neither file nor flag sets one; empty for none
    bool required = false; ///< whether the file or a flag must set it
    long long minimum = 0; ///< bounds of Number, Milliseconds, Seconds and Fraction
    long long maximum = 0;
    std::string_view help{}; ///< one-line description
    std::string_view choices{}; ///< comma-separated words of a Choice
};

/** Validated settings. Immutable, so they may be read from any thread. */
class Settings
{
public:
    /** The reason for the program to exit: it prints the requested information or describes the errors. */
    struct Exit
    {
        int code = 0; ///< ExitOk or ExitUsage
        std::string text{}; ///< for standard output if code is 0, otherwise for standard error
        bool isCausedByFile = false; ///< a changed file may be accepted
    };

    /** What is done about keys in the file that the program does not know. */
    enum class UnknownKeys {
        Reject,
        Ignore, ///< they are listed by ignoredKeys()
    };

    static constexpr int ExitOk = 0;
    static constexpr int ExitUsage = 2;

    /**
     * Reads the command-line flags and the file named by `--config`; flags override the file.
     * @param section name of the file's only section
     * @param specs all settings of the program
     * @returns the settings, or why the program must exit; errors in the file are reported with file, line and reason
     */
    static std::variant<Settings, Exit> load(std::string_view program, std::string_view section,
                                             std::span<const SettingSpec> specs, int argc, const char *const *argv,
                                             UnknownKeys unknownKeys = UnknownKeys::Reject);

    /** Returns the file that the settings were read from, or an empty string. */
    const std::string &file() const;

    /** Returns the keys in the file that the program does not know. */
    const std::vector<std::string> &ignoredKeys() const;

    /** Returns the keys whose values differ from those in @p other, which must belong to the same program. */
    std::vector<std::string> changedKeys(const Settings &other) const;

    /** Returns the text of @p key, which must be one of the specs. */
    const std::string &text(std::string_view key) const;

    /** Returns the value of @p key, an Address. */
    Endpoint address(std::string_view key) const;

    /** Returns the value of @p key, an AddressList. */
    std::vector<Endpoint> addresses(std::string_view key) const;

    /** Returns the integer value of @p key. */
    long long number(std::string_view key) const;

    /** Returns the value of @p key, a Fraction. */
    double fraction(std::string_view key) const;

    /** Returns the value of @p key, Milliseconds or Seconds. */
    std::chrono::milliseconds duration(std::string_view key) const;

    /** Returns the value of @p key, a Switch. */
    bool toggle(std::string_view key) const;

private:
    std::string m_file;
    std::vector<std::string> m_ignoredKeys;
    std::map<std::string, std::string, std::less<>> m_values;
    std::map<std::string, SettingType, std::less<>> m_types;
};

/** Returns a commented INI file that lists all @p specs with type, range and default. */
std::string sampleSettings(std::string_view section, std::span<const SettingSpec> specs);

} // namespace Heatherridge
