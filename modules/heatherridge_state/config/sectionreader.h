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
 * Reads typed values from a section and collects faults.
 *
 * Keys that have not been read when reportUnknownKeys() is called are reported as unknown. Holds references to the
 * section and to the list of faults, which must outlive it. Must be used from one thread.
 */
class SectionReader
{
public:
    /** Constructs a reader for @p section that appends to @p faults. */
    SectionReader(const IniSection &section, std::vector<ConfigFault> &faults);

    /** Returns the text of @p key, or @p fallback if it is absent. */
    std::string text(std::string_view key, std::string_view fallback = {});

    /** Returns the text of @p key; reports a fault if it is absent or empty. */
    std::string requiredText(std::string_view key);

    /** Returns the integer of @p key within [@p lowest, @p highest], or @p fallback if it is absent; reports a fault if
     * it is out of range. */
    long long number(std::string_view key, long long fallback, long long lowest, long long highest);

    /** Returns the fraction of @p key within [@p lowest, @p highest], or @p fallback if it is absent; reports a fault
     * if it is out of range. */
    double fraction(std::string_view key, double fallback, double lowest, double highest);

    /** Returns the boolean of @p key, or @p fallback if it is absent. */
    bool flag(std::string_view key, bool fallback);

    /** Returns the duration of @p key in milliseconds within [@p lowest, @p highest], or @p fallback if absent. */
    std::chrono::milliseconds duration(std::string_view key, std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds lowest, std::chrono::milliseconds highest);

    /** Returns the comma-separated list of @p key; empty if it is absent. */
    std::vector<std::string> list(std::string_view key);

    /** Returns the index in @p choices of the text of @p key, or @p fallback if it is absent; reports a fault for any
     * other text. */
    std::size_t choice(std::string_view key, const std::vector<std::string_view> &choices, std::size_t fallback);

    /** Returns the line of @p key, or of the section if the key is absent. */
    int lineOf(std::string_view key) const;

    /** Adds a fault with @p reason at the line of @p key. */
    void addFault(std::string_view key, std::string reason);

    /** Adds a fault for every key that has not been read. */
    void reportUnknownKeys();

private:
    const IniEntry *consume(std::string_view key);

    const IniSection &m_section;
    std::vector<ConfigFault> &m_faults;
    std::set<std::string, std::less<>> m_consumedKeys;
};

} // namespace Heatherridge
