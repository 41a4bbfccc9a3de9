#pragma once

#include "heatherridge_state/config/inidocument.h"
#include "heatherridge_state/fold/controlrecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** A section of a folded document. */
struct FoldedSection
{
    std::string body{}; ///< lines "key = value", ordered by key
    LogOffset changedAt{}; ///< offset of the record that last changed it

    bool operator==(const FoldedSection &) const = default;
};

/** The complete contents of a folded document, as a plain value for snapshots and digests. */
struct DocumentImage
{
    LogOffset changedAt{}; ///< offset of the last accepted record; 0 if there was none
    LogOffset removalsPrunedBelow{}; ///< individual removals before this offset are no longer known
    std::map<std::string, FoldedSection> sections{}; ///< by header
    std::map<std::string, LogOffset> removed{}; ///< by header; the record that removed the section

    bool operator==(const DocumentImage &) const = default;
};

/**
 * One of the operators' documents in the folded state, stored by section with the offset of each section's last change.
 *
 * Two publishes conflict only if they change the same section, so operators who work on different targets don't block
 * each other. A publish of a whole document changes all sections. Value type, deterministic.
 */
class ConfigDocument
{
public:
    /** Number of removed headers tracked for conflict detection; older removals are covered by removalsPrunedBelow. */
    static constexpr std::size_t MaxTrackedRemovals = 1024;

    ConfigDocument() = default;

    /** Restores a document from @p image. */
    explicit ConfigDocument(DocumentImage image);

    /**
     * Returns the offset of a record after @p basedOn that changed a section which @p content changes too, or
     * std::nullopt if there is no conflict. A change based on an offset before the tracked removals conflicts with the
     * newest pruned removal.
     */
    std::optional<LogOffset> findConflict(const DocumentContent &content, LogOffset basedOn) const;

    /**
     * Returns a copy of this document with @p content applied by the record at @p offset.
     * @returns the new document, or the INI syntax faults of the text
     */
    std::variant<ConfigDocument, std::vector<ConfigFault>> withContent(const DocumentContent &content,
                                                                       LogOffset offset) const;

    /** Returns the canonical text, with sections ordered by header. */
    std::string text() const;

    /** Returns the contents as a plain value. */
    const DocumentImage &image() const;

    /** Returns the change that turns this document into @p text, or std::nullopt if @p text is not valid INI. */
    std::optional<DocumentChange> diffTo(std::string_view text) const;

private:
    void put(const std::string &header, std::string body, LogOffset offset);
    void remove(const std::string &header, LogOffset offset);
    void pruneOldRemovals();

    DocumentImage m_image;
};

} // namespace Heatherridge
