#pragma once

#include "heatherridge_state/config/inidocument.h"
#include "heatherridge_state/fold/controlrecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** One section of a folded document. */
struct FoldedSection
{
    std::string body{}; ///< its lines "key = value", ordered by key
    LogOffset changedAt{}; ///< the record that last changed it

    bool operator==(const FoldedSection &) const = default;
};

/** All that a folded document consists of; a plain value for snapshots and digests. */
struct DocumentImage
{
    LogOffset changedAt{}; ///< the last accepted record; 0 when there was none
    LogOffset removalsPrunedBelow{}; ///< removals before this offset are no longer known one by one
    std::map<std::string, FoldedSection> sections{}; ///< by header
    std::map<std::string, LogOffset> removed{}; ///< removed sections and the record that removed them

    bool operator==(const DocumentImage &) const = default;
};

/**
 * One of the operators' documents as the fold keeps it: section by section, each with the offset of its last change.
 *
 * Two publishes conflict only where they touch the same section, so operators who work on different targets do not
 * refuse one another. A whole document touches all. Value type, deterministic.
 */
class ConfigDocument
{
public:
    /** Removed headers that are remembered for conflicts; older ones are folded into one bound. */
    static constexpr std::size_t MaxTrackedRemovals = 1024;

    ConfigDocument() = default;

    /** Takes up @p image. */
    explicit ConfigDocument(DocumentImage image);

    /**
     * The record that changed, after @p basedOn, something that @p content touches; nothing when there is no conflict.
     * A change based on an offset before the remembered removals counts as in conflict with the newest forgotten one.
     */
    std::optional<LogOffset> findConflict(const DocumentContent &content, LogOffset basedOn) const;

    /**
     * This document with @p content applied by the record at @p offset.
     * @returns the new document, or the faults of the text as INI
     */
    std::variant<ConfigDocument, std::vector<ConfigFault>> withContent(const DocumentContent &content,
                                                                       LogOffset offset) const;

    /** The canonical text: sections ordered by header. */
    std::string text() const;

    /** What it consists of. */
    const DocumentImage &image() const;

    /** The sections that turn this document into @p text, or nothing when @p text is no INI. */
    std::optional<DocumentChange> diffTo(std::string_view text) const;

private:
    void put(const std::string &header, std::string body, LogOffset offset);
    void remove(const std::string &header, LogOffset offset);
    void pruneOldRemovals();

    DocumentImage m_image;
};

} // namespace Heatherridge
