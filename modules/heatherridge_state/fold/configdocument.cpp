#include "heatherridge_state/fold/configdocument.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>
#include <set>

namespace Heatherridge
{

namespace
{

std::string headerOf(const IniSection &section)
{
    return section.name.empty() ? section.kind : section.kind + "." + section.name;
}

std::string bodyOf(const IniSection &section)
{
    auto entries = section.entries;
    std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    std::string body;
    for (const auto &entry : entries) {
        body += entry.key + " = " + entry.value + "\n";
    }
    return body;
}

std::set<std::string> sectionHeadersIn(std::string_view text)
{
    std::set<std::string> headers;
    const auto document = IniDocument::parse(text);
    for (const auto &section : document.sections()) {
        headers.insert(headerOf(section));
    }
    return headers;
}

} // namespace

ConfigDocument::ConfigDocument(DocumentImage image)
    : m_image(std::move(image))
{
}

std::optional<LogOffset> ConfigDocument::findConflict(const DocumentContent &content, LogOffset basedOn) const
{
    const auto *change = std::get_if<DocumentChange>(&content);
    if (change == nullptr) {
        return m_image.changedAt > basedOn ? std::optional(m_image.changedAt) : std::nullopt;
    }
    if (m_image.removalsPrunedBelow > basedOn) {
        return m_image.removalsPrunedBelow;
    }
    auto touched = sectionHeadersIn(change->put);
    touched.insert(change->removed.begin(), change->removed.end());
    for (const auto &header : touched) {
        const auto section = m_image.sections.find(header);
        if (section != m_image.sections.end() && section->second.changedAt > basedOn) {
            return section->second.changedAt;
        }
        const auto removal = m_image.removed.find(header);
        if (removal != m_image.removed.end() && removal->second > basedOn) {
            return removal->second;
        }
    }
    return std::nullopt;
}

std::variant<ConfigDocument, std::vector<ConfigFault>> ConfigDocument::withContent(const DocumentContent &content,
                                                                                   LogOffset offset) const
{
    const auto *whole = std::get_if<WholeDocument>(&content);
    const auto *change = std::get_if<DocumentChange>(&content);
    const auto document = IniDocument::parse(whole != nullptr ? whole->text : change->put);
    if (!document.faults().empty()) {
        return document.faults();
    }
    ConfigDocument result = *this;
    std::set<std::string> named;
    for (const auto &section : document.sections()) {
        const auto header = headerOf(section);
        named.insert(header);
        result.put(header, bodyOf(section), offset);
    }
    if (whole != nullptr) {
        for (const auto &[header, section] : m_image.sections) {
            if (!named.contains(header)) {
                result.remove(header, offset);
            }
        }
    } else {
        for (const auto &header : change->removed) {
            result.remove(header, offset);
        }
    }
    result.m_image.changedAt = offset;
    result.pruneOldRemovals();
    return result;
}

std::string ConfigDocument::text() const
{
    std::string text;
    for (const auto &[header, section] : m_image.sections) {
        text.append("[").append(header).append("]\n").append(section.body);
    }
    return text;
}

const DocumentImage &ConfigDocument::image() const
{
    return m_image;
}

std::optional<DocumentChange> ConfigDocument::diffTo(std::string_view text) const
{
    const auto document = IniDocument::parse(text);
    if (!document.faults().empty()) {
        return std::nullopt;
    }
    DocumentChange change;
    std::set<std::string> named;
    for (const auto &section : document.sections()) {
        const auto header = headerOf(section);
        const auto body = bodyOf(section);
        named.insert(header);
        const auto current = m_image.sections.find(header);
        if (current == m_image.sections.end() || current->second.body != body) {
            change.put.append("[").append(header).append("]\n").append(body);
        }
    }
    for (const auto &[header, section] : m_image.sections) {
        if (!named.contains(header)) {
            change.removed.push_back(header);
        }
    }
    return change;
}

void ConfigDocument::put(const std::string &header, std::string body, LogOffset offset)
{
    m_image.removed.erase(header);
    auto &section = m_image.sections[header];
    if (section.body != body || section.changedAt == LogOffset{}) {
        section = {.body = std::move(body), .changedAt = offset};
    }
}

void ConfigDocument::remove(const std::string &header, LogOffset offset)
{
    if (m_image.sections.erase(header) > 0) {
        m_image.removed[header] = offset;
    }
}

void ConfigDocument::pruneOldRemovals()
{
    while (m_image.removed.size() > MaxTrackedRemovals) {
        const auto oldest = std::min_element(m_image.removed.begin(), m_image.removed.end(),
                                             [](const auto &a, const auto &b) { return a.second < b.second; });
        m_image.removalsPrunedBelow = std::max(m_image.removalsPrunedBelow, oldest->second);
        m_image.removed.erase(oldest);
    }
}

} // namespace Heatherridge
