#include "heatherridge_state/config/inidocument.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace Heatherridge
{

namespace
{

constexpr std::string_view WhiteSpace = " \t\r";

/** Splits the text between the brackets of `[kind.name]` at the first dot. */
IniSection sectionFrom(std::string_view header, int line)
{
    const auto dot = header.find('.');
    if (dot == std::string_view::npos) {
        return IniSection{.kind = std::string(trimmed(header)), .line = line};
    }
    return IniSection{.kind = std::string(trimmed(header.substr(0, dot))),
                      .name = std::string(trimmed(header.substr(dot + 1))),
                      .line = line};
}

} // namespace

const IniEntry *IniSection::find(std::string_view key) const
{
    const auto entry =
        std::find_if(entries.begin(), entries.end(), [key](const auto &candidate) { return candidate.key == key; });
    return entry == entries.end() ? nullptr : &*entry;
}

IniDocument IniDocument::parse(std::string_view text)
{
    IniDocument document;
    if (text.size() > MaxBytes) {
        document.m_faults.push_back(
            {.line = 0, .reason = "the document is larger than " + std::to_string(MaxBytes) + " bytes"});
        return document;
    }
    std::set<std::string> headers;
    int line = 0;
    while (!text.empty()) {
        ++line;
        const auto end = text.find('\n');
        const auto content = trimmed(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (content.empty() || content.front() == '#' || content.front() == ';') {
            continue;
        }
        if (content.front() == '[') {
            if (content.back() != ']') {
                document.m_faults.push_back({.line = line, .reason = "section header without ']'"});
                continue;
            }
            const auto header = content.substr(1, content.size() - 2);
            if (!headers.emplace(header).second) {
                document.m_faults.push_back(
                    {.line = line, .reason = "section [" + std::string(header) + "] stands twice"});
            }
            document.m_sections.push_back(sectionFrom(header, line));
            continue;
        }
        const auto equals = content.find('=');
        if (equals == std::string_view::npos || document.m_sections.empty()) {
            document.m_faults.push_back(
                {.line = line, .reason = "neither a section, an entry in a section, nor a comment"});
            continue;
        }
        auto &section = document.m_sections.back();
        IniEntry entry{.key = std::string(trimmed(content.substr(0, equals))),
                       .value = std::string(trimmed(content.substr(equals + 1))),
                       .line = line};
        if (section.find(entry.key) != nullptr) {
            document.m_faults.push_back(
                {.line = line, .reason = "key '" + entry.key + "' stands twice in its section"});
            continue;
        }
        section.entries.push_back(std::move(entry));
    }
    return document;
}

const std::vector<IniSection> &IniDocument::sections() const
{
    return m_sections;
}

const std::vector<ConfigFault> &IniDocument::faults() const
{
    return m_faults;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(WhiteSpace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(WhiteSpace) - first + 1);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto part = trimmed(text.substr(0, comma));
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return parts;
}

std::optional<long long> parseNumber(std::string_view text, long long lowest, long long highest)
{
    long long number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number < lowest || number > highest) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseFraction(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<bool> parseBool(std::string_view text)
{
    if (text == "yes" || text == "true" || text == "on") {
        return true;
    }
    if (text == "no" || text == "false" || text == "off") {
        return false;
    }
    return std::nullopt;
}

} // namespace Heatherridge
