#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** One thing wrong in a document, with the line it stands on (1-based; 0 for the document as a whole). */
struct ConfigFault
{
    int line = 0;
    std::string reason{};
};

/** One `key = value` line. */
struct IniEntry
{
    std::string key{};
    std::string value{};
    int line = 0;
};

/** One `[kind.name]` section; the name is empty for `[kind]`. */
struct IniSection
{
    std::string kind{};
    std::string name{};
    int line = 0;
    std::vector<IniEntry> entries{};

    /** The entry for @p key, or nullptr. The section keeps ownership. */
    const IniEntry *find(std::string_view key) const;
};

/**
 * An INI text as sections and entries with their line numbers.
 *
 * Boost's readers keep no line numbers and stop at the first fault; operators are to see all faults in one go
 * with file and line, so the split into lines is done here. Value type, no I/O.
 */
class IniDocument
{
public:
    /** Longest text that is read, in bytes. A longer one yields one fault and no sections. */
    static constexpr std::size_t MaxBytes = 4UL << 20U;

    /**
     * Splits @p text. `#` and `;` begin a comment line. Faults (a line that is none of section, entry and comment;
     * a doubled section or key) are kept in faults(); the remaining lines are still read.
     */
    static IniDocument parse(std::string_view text);

    /** All sections in the order of the text. */
    const std::vector<IniSection> &sections() const;

    /** What was wrong with the text as INI. */
    const std::vector<ConfigFault> &faults() const;

private:
    std::vector<IniSection> m_sections;
    std::vector<ConfigFault> m_faults;
};

/** @p text without white space at either end. */
std::string_view trimmed(std::string_view text);

/** Splits @p text at commas, trims each part and leaves empty ones out. */
std::vector<std::string> splitList(std::string_view text);

/** @p text as a whole number from @p lowest to @p highest, or nothing. */
std::optional<long long> parseNumber(std::string_view text, long long lowest, long long highest);

/** @p text as a decimal fraction, or nothing. */
std::optional<double> parseFraction(std::string_view text);

/** @p text as yes or no (also true/false, on/off), or nothing. */
std::optional<bool> parseBool(std::string_view text);

} // namespace Heatherridge
