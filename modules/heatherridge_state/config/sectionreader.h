#pragma once

#include "heatherridge_state/config/inidocument.h"

#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * Takes typed values out of one section and collects what is wrong with them.
 *
 * Keys that were not asked for by the time of reportUnknownKeys() are reported as unknown. Holds references to the
 * section and to the list of faults, which must outlive it. One thread.
 */
class SectionReader
{
public:
    /** Reads @p section and appends to @p faults. */
    SectionReader(const IniSection &section, std::vector<ConfigFault> &faults);

    /** The text of @p key, or @p fallback when absent. */
    std::string text(std::string_view key, std::string_view fallback = {});

    /** The text of @p key; a fault when absent or empty. */
    std::string requiredText(std::string_view key);

    /** The whole number of @p key within [@p lowest, @p highest], or @p fallback when absent; a fault when out of
     * range. */
    long long number(std::string_view key, long long fallback, long long lowest, long long highest);

    /** The fraction of @p key within [@p lowest, @p highest], or @p fallback when absent; a fault when out of range. */
    double fraction(std::string_view key, double fallback, double lowest, double highest);

    /** The switch of @p key, or @p fallback when absent. */
    bool flag(std::string_view key, bool fallback);

    /** The duration of @p key in milliseconds within [@p lowest, @p highest], or @p fallback when absent. */
    std::chrono::milliseconds duration(std::string_view key, std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds lowest, std::chrono::milliseconds highest);

    /** The comma-separated list of @p key; empty when absent. */
    std::vector<std::string> list(std::string_view key);

    /** The place in @p choices of the word that @p key holds, or @p fallback when absent; a fault for any other word.
     */
    std::size_t choice(std::string_view key, const std::vector<std::string_view> &choices, std::size_t fallback);

    /** The line of @p key, or of the section when the key is absent. */
    int lineOf(std::string_view key) const;

    /** Reports @p reason at the line of @p key. */
    void addFault(std::string_view key, std::string reason);

    /** Reports every key that was never asked for. */
    void reportUnknownKeys();

private:
    const IniEntry *consume(std::string_view key);

    const IniSection &m_section;
    std::vector<ConfigFault> &m_faults;
    std::set<std::string, std::less<>> m_consumedKeys;
};

} // namespace Heatherridge
