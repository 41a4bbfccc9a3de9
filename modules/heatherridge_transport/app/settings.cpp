#include "heatherridge_transport/app/settings.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cassert>
#include <fstream>
#include <sstream>

namespace Heatherridge
{

namespace
{

namespace options = boost::program_options;

using Values = std::map<std::string, std::string, std::less<>>;

std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return "text";
    case SettingType::Address:
        return "IP address:port";
    case SettingType::AddressList:
        return "IP address:port, ...";
    case SettingType::Number:
        return "whole number";
    case SettingType::Milliseconds:
        return "milliseconds";
    case SettingType::Seconds:
        return "seconds";
    case SettingType::Fraction:
        return "number";
    case SettingType::Switch:
        return "yes or no";
    case SettingType::Choice:
        return "one of";
    }
    return "";
}

bool acceptsFraction(SettingType type)
{
    return type == SettingType::Milliseconds || type == SettingType::Seconds || type == SettingType::Fraction;
}

bool isBounded(const SettingSpec &spec)
{
    return spec.type == SettingType::Number || acceptsFraction(spec.type);
}

/** Parses @p text as an integer, which may have a fraction of zero. */
std::optional<long long> parseInteger(std::string_view text, long long minimum, long long maximum)
{
    const auto point = text.find('.');
    const auto fraction = point == std::string_view::npos ? std::string_view() : text.substr(point + 1);
    const bool isWhole = fraction.find_first_not_of('0') == std::string_view::npos;
    const bool endsWithPoint = point != std::string_view::npos && fraction.empty();
    return isWhole && !endsWithPoint ? parseNumber(text.substr(0, point), minimum, maximum) : std::nullopt;
}

bool isWithinBounds(const SettingSpec &spec, const std::string &value)
{
    if (!acceptsFraction(spec.type)) {
        return parseInteger(value, spec.minimum, spec.maximum).has_value();
    }
    const auto number = parseFraction(value);
    return number && *number >= static_cast<double>(spec.minimum) && *number <= static_cast<double>(spec.maximum);
}

std::string helpText(const SettingSpec &spec)
{
    auto text = std::string(spec.help) + " (" + std::string(typeName(spec.type));
    if (isBounded(spec)) {
        text += ", " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
    }
    if (spec.type == SettingType::Choice) {
        text += " " + std::string(spec.choices);
    }
    if (spec.required) {
        text += ", required";
    } else if (!spec.defaultValue.empty()) {
        text += ", default " + std::string(spec.defaultValue);
    }
    return text + ")";
}

/** Parses @p text as an address whose port may be 0. */
std::optional<Endpoint> parseListenAddress(std::string_view text)
{
    constexpr std::string_view anyPort = ":0";
    if (text.size() > anyPort.size() && text.substr(text.size() - anyPort.size()) == anyPort) {
        auto endpoint = parseEndpoint(std::string(text.substr(0, text.size() - 1)) + "1");
        if (endpoint) {
            endpoint->port = 0;
        }
        return endpoint;
    }
    return parseEndpoint(text);
}

/** Returns why @p value is invalid for @p spec, or an empty string if it is valid. */
std::string validationError(const SettingSpec &spec, const std::string &value)
{
    const auto key = "'" + std::string(spec.key) + "'";
    switch (spec.type) {
    case SettingType::Text:
        return value.empty() && spec.required ? key + " must not be empty" : "";
    case SettingType::Address:
        return parseListenAddress(value) ? "" : key + " must be an IP address, a colon and a port, not '" + value + "'";
    case SettingType::AddressList:
        for (const auto &address : splitList(value)) {
            if (!parseEndpoint(address)) {
                return std::string(key)
                           .append(" must list IP addresses, each with a colon and a port, not '")
                           .append(address)
                    + "'";
            }
        }
        return "";
    case SettingType::Number:
    case SettingType::Milliseconds:
    case SettingType::Seconds:
    case SettingType::Fraction:
        return isWithinBounds(spec, value) ? ""
                                           : key + " must be " + std::string(typeName(spec.type)) + " from "
                + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum) + ", not '" + value + "'";
    case SettingType::Switch:
        return parseBool(value) ? "" : key + " must be yes or no, not '" + value + "'";
    case SettingType::Choice: {
        const auto choices = splitList(std::string(spec.choices));
        const bool isChoice = std::find(choices.begin(), choices.end(), value) != choices.end();
        return isChoice ? "" : key + " must be one of " + std::string(spec.choices) + ", not '" + value + "'";
    }
    }
    return "";
}

const SettingSpec *findSpec(std::span<const SettingSpec> specs, std::string_view key)
{
    const auto spec =
        std::find_if(specs.begin(), specs.end(), [key](const auto &candidate) { return candidate.key == key; });
    return spec == specs.end() ? nullptr : &*spec;
}

/** The content of a settings file. */
struct FileContent
{
    Values values{};
    std::vector<std::string> unknownKeys{};
    std::string errors{}; ///< each as one line "file:line: reason"
    std::string unknownKeyErrors{}; ///< one for each unknown key
};

FileContent readFile(const std::string &file, std::string_view section, std::span<const SettingSpec> specs)
{
    std::ifstream stream(file);
    if (!stream) {
        return {.errors = file + ": cannot be read\n"};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    const auto document = IniDocument::parse(text.str());
    FileContent content;
    const auto errorLine = [&file](int line, const std::string &reason) {
        return file + ":" + std::to_string(line) + ": " + reason + "\n";
    };
    const auto report = [&](int line, const std::string &reason) { content.errors += errorLine(line, reason); };
    for (const auto &error : document.faults()) {
        report(error.line, error.reason);
    }
    for (const auto &iniSection : document.sections()) {
        if (iniSection.kind != section || !iniSection.name.empty()) {
            report(iniSection.line, "unknown section; this program reads [" + std::string(section) + "]");
            continue;
        }
        for (const auto &entry : iniSection.entries) {
            const auto *spec = findSpec(specs, entry.key);
            if (spec == nullptr) {
                content.unknownKeyErrors += errorLine(entry.line, "unknown key '" + entry.key + "'");
                content.unknownKeys.push_back(entry.key);
                continue;
            }
            if (const auto error = validationError(*spec, entry.value); !error.empty()) {
                report(entry.line, error);
            }
            content.values[entry.key] = entry.value;
        }
    }
    return content;
}

options::options_description flagsDescription(std::string_view program, std::span<const SettingSpec> specs)
{
    options::options_description flags(std::string(program) + " [options]");
    flags.add_options()("help", "print this help and exit")("version", "print the version and exit")(
        "sample", "print a commented settings file and exit")("config", options::value<std::string>(),
                                                              "settings file (INI)");
    for (const auto &spec : specs) {
        flags.add_options()(std::string(spec.key).c_str(), options::value<std::string>(), helpText(spec).c_str());
    }
    return flags;
}

Settings::Exit usageError(std::string text)
{
    return {.code = Settings::ExitUsage, .text = std::move(text)};
}

} // namespace

std::variant<Settings, Settings::Exit> Settings::load(std::string_view program, std::string_view section,
                                                      std::span<const SettingSpec> specs, int argc,
                                                      const char *const *argv, UnknownKeys unknownKeys)
{
    const auto flags = flagsDescription(program, specs);
    options::variables_map flagValues;
    try {
        options::store(options::parse_command_line(argc, argv, flags), flagValues);
    } catch (const options::error &error) {
        return usageError(std::string(program) + ": " + error.what() + "\n");
    }
    if (flagValues.count("help") != 0) {
        std::ostringstream help;
        help << flags;
        return Exit{.text = help.str()};
    }
    if (flagValues.count("version") != 0) {
        return Exit{.text = std::string(program) + " " + HEATHERRIDGE_VERSION + "\n"};
    }
    if (flagValues.count("sample") != 0) {
        return Exit{.text = sampleSettings(section, specs)};
    }
    Settings settings;
    std::string errors;
    std::string flagErrors;
    if (flagValues.count("config") != 0) {
        settings.m_file = flagValues["config"].as<std::string>();
        auto content = readFile(settings.m_file, section, specs);
        settings.m_values = std::move(content.values);
        settings.m_ignoredKeys = std::move(content.unknownKeys);
        errors = content.errors + (unknownKeys == UnknownKeys::Reject ? content.unknownKeyErrors : "");
    }
    for (const auto &spec : specs) {
        const std::string key(spec.key);
        settings.m_types[key] = spec.type;
        if (flagValues.count(key) != 0) {
            settings.m_values[key] = flagValues[key].as<std::string>();
            const auto error = validationError(spec, settings.m_values[key]);
            if (!error.empty()) {
                flagErrors.append("--").append(key).append(": ").append(error).append("\n");
            }
        } else if (!settings.m_values.contains(key)) {
            errors += spec.required ? "'" + key + "' is missing\n" : "";
            settings.m_values[key] = spec.defaultValue;
        }
    }
    if (!errors.empty() || !flagErrors.empty()) {
        auto exit = usageError(errors + flagErrors);
        exit.isCausedByFile = flagErrors.empty() && !settings.m_file.empty();
        return exit;
    }
    return settings;
}

const std::string &Settings::file() const
{
    return m_file;
}

const std::vector<std::string> &Settings::ignoredKeys() const
{
    return m_ignoredKeys;
}

std::vector<std::string> Settings::changedKeys(const Settings &other) const
{
    std::vector<std::string> keys;
    for (const auto &[key, value] : m_values) {
        const auto found = other.m_values.find(key);
        if (found == other.m_values.end() || found->second != value) {
            keys.push_back(key);
        }
    }
    return keys;
}

const std::string &Settings::text(std::string_view key) const
{
    const auto entry = m_values.find(key);
    assert(entry != m_values.end());
    return entry->second;
}

Endpoint Settings::address(std::string_view key) const
{
    return parseListenAddress(text(key)).value_or(Endpoint{});
}

std::vector<Endpoint> Settings::addresses(std::string_view key) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &address : splitList(text(key))) {
        endpoints.push_back(parseEndpoint(address).value_or(Endpoint{}));
    }
    return endpoints;
}

long long Settings::number(std::string_view key) const
{
    return parseInteger(text(key), INT64_MIN, INT64_MAX).value_or(0);
}

double Settings::fraction(std::string_view key) const
{
    return parseFraction(text(key)).value_or(0);
}

std::chrono::milliseconds Settings::duration(std::string_view key) const
{
    const auto type = m_types.find(key);
    if (type != m_types.end() && type->second == SettingType::Seconds) {
        const std::chrono::duration<double> seconds(fraction(key));
        return std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
    }
    return std::chrono::milliseconds(static_cast<long long>(fraction(key)));
}

bool Settings::toggle(std::string_view key) const
{
    return parseBool(text(key)).value_or(false);
}

std::string sampleSettings(std::string_view section, std::span<const SettingSpec> specs)
{
    std::string text = "[" + std::string(section) + "]\n";
    for (const auto &spec : specs) {
        text += "\n# " + helpText(spec) + "\n";
        const bool isCommentedOut = spec.required || spec.defaultValue.empty();
        text.append(isCommentedOut ? "# " : "").append(spec.key).append(" = ").append(spec.defaultValue).append("\n");
    }
    return text;
}

} // namespace Heatherridge
