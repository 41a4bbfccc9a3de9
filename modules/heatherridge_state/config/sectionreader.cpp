#include "heatherridge_state/config/sectionreader.h"

#include <algorithm>

namespace Heatherridge
{

SectionReader::SectionReader(const IniSection &section, std::vector<ConfigFault> &faults)
    : m_section(section)
    , m_faults(faults)
{
}

std::string SectionReader::text(std::string_view key, std::string_view fallback)
{
    const auto *entry = consume(key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::string SectionReader::requiredText(std::string_view key)
{
    const auto *entry = consume(key);
    if (entry == nullptr || entry->value.empty()) {
        addFault(key, "'" + std::string(key) + "' is missing");
        return {};
    }
    return entry->value;
}

long long SectionReader::number(std::string_view key, long long fallback, long long lowest, long long highest)
{
    const auto *entry = consume(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber(entry->value, lowest, highest);
    if (!value) {
        addFault(key,
                 "'" + std::string(key) + "' must be a whole number from " + std::to_string(lowest) + " to "
                     + std::to_string(highest));
    }
    return value.value_or(fallback);
}

double SectionReader::fraction(std::string_view key, double fallback, double lowest, double highest)
{
    const auto *entry = consume(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseFraction(entry->value);
    if (!value || *value < lowest || *value > highest) {
        addFault(key,
                 "'" + std::string(key) + "' must be a number from " + std::to_string(lowest) + " to "
                     + std::to_string(highest));
        return fallback;
    }
    return *value;
}

bool SectionReader::flag(std::string_view key, bool fallback)
{
    const auto *entry = consume(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseBool(entry->value);
    if (!value) {
        addFault(key, "'" + std::string(key) + "' must be yes or no");
    }
    return value.value_or(fallback);
}

std::chrono::milliseconds SectionReader::duration(std::string_view key, std::chrono::milliseconds fallback,
                                                  std::chrono::milliseconds lowest, std::chrono::milliseconds highest)
{
    return std::chrono::milliseconds(number(key, fallback.count(), lowest.count(), highest.count()));
}

std::vector<std::string> SectionReader::list(std::string_view key)
{
    const auto *entry = consume(key);
    return entry == nullptr ? std::vector<std::string>{} : splitList(entry->value);
}

std::size_t SectionReader::choice(std::string_view key, const std::vector<std::string_view> &choices,
                                  std::size_t fallback)
{
    const auto *entry = consume(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto match = std::find(choices.begin(), choices.end(), entry->value);
    if (match == choices.end()) {
        std::string allChoices;
        for (const auto &candidate : choices) {
            allChoices += (allChoices.empty() ? "" : ", ") + std::string(candidate);
        }
        addFault(key, "'" + std::string(key) + "' must be one of " + allChoices);
        return fallback;
    }
    return static_cast<std::size_t>(match - choices.begin());
}

int SectionReader::lineOf(std::string_view key) const
{
    const auto *entry = m_section.find(key);
    return entry == nullptr ? m_section.line : entry->line;
}

void SectionReader::addFault(std::string_view key, std::string reason)
{
    m_faults.push_back({.line = lineOf(key), .reason = std::move(reason)});
}

void SectionReader::reportUnknownKeys()
{
    for (const auto &entry : m_section.entries) {
        if (!m_consumedKeys.contains(entry.key)) {
            m_faults.push_back({.line = entry.line, .reason = "unknown key '" + entry.key + "'"});
        }
    }
}

const IniEntry *SectionReader::consume(std::string_view key)
{
    m_consumedKeys.emplace(key);
    return m_section.find(key);
}

} // namespace Heatherridge
