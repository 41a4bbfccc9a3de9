#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** A fault in a document and its line number (1-based; 0 for the document as a whole). */
struct ConfigFault
{
    int line = 0;
    std::string reason{};
};

/** A `key = value` line. */
struct IniEntry
{
    std::string key{};
    std::string value{};
    int line = 0;
};

/** A `[kind.name]` section; the name is empty for `[kind]`. */
struct IniSection
{
    std::string kind{};
    std::string name{};
    int line = 0;
    std::vector<IniEntry> entries{};

    /** Returns the entry for @p key, or nullptr if there is none. The section retains ownership. */
    const IniEntry *find(std::string_view key) const;
};

/**
 * Parsed INI text: sections and entries with their line numbers.
 *
 * Has its own parser because Boost's readers keep no line numbers and stop at the first fault, whereas operators need
 * to see all faults at once with file and line. Value type, no I/O.
 */
class IniDocument
{
public:
    /** Maximum size of the text in bytes. A larger text yields one fault and no sections. */
    static constexpr std::size_t MaxBytes = 4UL << 20U;

    /**
     * Parses @p text. `#` and `;` start a comment line. Faults (a line that is no section, entry or comment; a
     * duplicate section or key) are reported by faults(); the remaining lines are still parsed.
     */
    static IniDocument parse(std::string_view text);

    /** Returns all sections in the order of the text. */
    const std::vector<IniSection> &sections() const;

    /** Returns the INI syntax faults of the text. */
    const std::vector<ConfigFault> &faults() const;

private:
    std::vector<IniSection> m_sections;
    std::vector<ConfigFault> m_faults;
};

/** Returns @p text without leading and trailing white space. */
std::string_view trimmed(std::string_view text);

/** Splits @p text at commas, trims each part and omits empty parts. */
std::vector<std::string> splitList(std::string_view text);

/** Parses @p text as an integer from @p lowest to @p highest; std::nullopt if it is not one. */
std::optional<long long> parseNumber(std::string_view text, long long lowest, long long highest);

/** Parses @p text as a decimal fraction; std::nullopt if it is not one. */
std::optional<double> parseFraction(std::string_view text);

/** Parses @p text as a boolean (yes/no, true/false or on/off); std::nullopt if it is not one. */
std::optional<bool> parseBool(std::string_view text);

} // namespace Heatherridge
