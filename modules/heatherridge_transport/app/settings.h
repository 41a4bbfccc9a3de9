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

/** What values a setting takes. */
enum class SettingType {
    Text, ///< any text
    Address, ///< IP number, colon, port; port 0 lets the kernel choose where the program listens itself
    AddressList, ///< addresses, separated by commas; may be empty
    Number, ///< a whole number within bounds
    Milliseconds, ///< a whole number of milliseconds within bounds
    Seconds, ///< seconds within bounds, with or without a fraction
    Fraction, ///< a number within bounds, with or without a fraction
    Switch, ///< yes or no
};

/** One setting of a daemon: a key of its INI file and a flag of the same name. */
struct SettingSpec
{
    std::string_view key{};
    SettingType type = SettingType::Text;
    std::string_view defaultValue{}; ///< value when neither file nor flag names one; empty for none
    bool required = false; ///< whether it must be given
    long long minimum = 0; ///< bounds of Number, Milliseconds, Seconds and Fraction
    long long maximum = 0;
    std::string_view help{}; ///< one line
};

/** Settings that have been checked. Immutable; any thread. */
class Settings
{
public:
    /** The program does not go on: it printed what was asked for, or has to say what is wrong. */
    struct Exit
    {
        int code = 0; ///< ExitOk or ExitUsage
        std::string text{}; ///< to standard output for code 0, to standard error otherwise
    };

    static constexpr int ExitOk = 0;
    static constexpr int ExitUsage = 2;

    /**
     * Reads the flags and the file that `--config` names; flags override the file.
     * @param section the file's only section, named for the program
     * @param specs all settings of the program
     * @returns the settings, or why the program ends; an unknown key or a bad value names file, line and reason
     */
    static std::variant<Settings, Exit> load(std::string_view program, std::string_view section,
                                             std::span<const SettingSpec> specs, int argc, const char *const *argv);

    /** The file that they were read from; empty for none. */
    const std::string &file() const;

    /** The keys whose values differ from those of @p other, of the same program. */
    std::vector<std::string> changedKeys(const Settings &other) const;

    /** The text of @p key, which must be one of the specs. */
    const std::string &text(std::string_view key) const;

    /** The address of @p key. */
    Endpoint address(std::string_view key) const;

    /** The addresses of @p key. */
    std::vector<Endpoint> addresses(std::string_view key) const;

    /** The whole number of @p key. */
    long long number(std::string_view key) const;

    /** The number of @p key, a Fraction. */
    double fraction(std::string_view key) const;

    /** The duration of @p key, Milliseconds or Seconds. */
    std::chrono::milliseconds duration(std::string_view key) const;

    /** The switch of @p key. */
    bool toggle(std::string_view key) const;

private:
    std::string m_file;
    std::map<std::string, std::string, std::less<>> m_values;
    std::map<std::string, SettingType, std::less<>> m_types;
};

/** Every setting of @p specs with type, range and default, as a commented INI file. */
std::string sampleSettings(std::string_view section, std::span<const SettingSpec> specs);

} // namespace Heatherridge
