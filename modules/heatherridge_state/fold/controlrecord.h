#pragma once

#include "heatherridge_state/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Name of a role that is held by one process at a time, such as the leader of a group. */
using RoleName = Name<struct RoleTag>;

/** Hash of the canonical form of a folded state; equal states have equal digests. */
enum class Digest : std::uint64_t {};

/** Returns the numeric value of @p digest. */
constexpr std::uint64_t toNumber(Digest digest)
{
    return static_cast<std::uint64_t>(digest);
}

/** Identifies one of the operators' two documents; each has its own history. */
enum class DocumentKind : std::uint8_t {
    Inventory = 0,
    Rules = 1,
};

/** Returns "inventory" or "rules". */
std::string_view toString(DocumentKind kind);

/** A complete document in INI format. */
struct WholeDocument
{
    std::string text{};

    bool operator==(const WholeDocument &) const = default;
};

/** Changes to sections of a document; other sections are kept. Its size depends on the change, not on the fleet. */
struct DocumentChange
{
    std::string put{}; ///< sections to add or replace completely, in INI format
    std::vector<std::string> removed{}; ///< headers of sections to remove, without brackets

    bool operator==(const DocumentChange &) const = default;
};

using DocumentContent = std::variant<WholeDocument, DocumentChange>;

/** Record of an operator that publishes an inventory or a rule set. */
struct Publish
{
    DocumentKind document = DocumentKind::Inventory;
    OperationId operation{}; ///< the same for all attempts of one publish
    LogOffset basedOn{}; ///< the publisher had read the stream up to this offset
    DocumentContent content{};

    bool operator==(const Publish &) const = default;
};

/** Record of a process that claims a role. Accepted only if `replaces` is still current, like a compare-and-swap. */
struct ClaimRole
{
    RoleName role{};
    ProcessName claimant{};
    Incarnation incarnation{};
    FencingNumber replaces{}; ///< fencing number of the previous holder; 0 for none

    bool operator==(const ClaimRole &) const = default;
};

/** Announces that all parts of a snapshot have been appended to the snapshot stream. */
struct SnapshotTaken
{
    LogOffset covers{}; ///< the snapshot includes records up to and including this offset
    Digest digest{}; ///< of the state at that offset

    bool operator==(const SnapshotTaken &) const = default;
};

/**
 * Record of an operator that restarts the fold from complete documents, independent of all earlier records.
 *
 * Used for recovery when records have expired before any process folded them: readers with and without the lost
 * records reach the same state again.
 */
struct ResetFold
{
    OperationId operation{};
    LogOffset basedOn{}; ///< must be the offset directly before its own; otherwise refused
    std::string inventory{};
    std::string rules{};

    bool operator==(const ResetFold &) const = default;
};

using ControlRecord = std::variant<Publish, ClaimRole, SnapshotTaken, ResetFold>;

/** Why all readers skip a record of the stream. */
enum class SkipReason : std::uint8_t {
    Malformed, ///< not a known record, or a field is missing or out of range
    Oversized, ///< exceeds the maximum size of a record
    UnknownVersion, ///< written by a newer release
    Doubled, ///< its operation has already been decided
    OperationReused, ///< its operation id was already used for other content
};

constexpr std::size_t SkipReasonCount = 5;

/** Returns the stable name of @p reason, for counters. */
std::string_view toString(SkipReason reason);

/** Why the fold refuses a readable record. */
enum class RefusalReason : std::uint8_t {
    Conflict, ///< a section that it changes was changed after its base offset
    InvalidContent, ///< the resulting document has faults
    BasedOnFuture, ///< its base offset is not before its own offset
    BasisTooOld, ///< its base offset is before the oldest stored outcome
    RoleTaken, ///< another process has claimed the role first
};

constexpr std::size_t RefusalReasonCount = 5;

/** Returns the stable name of @p reason, for counters and operators. */
std::string_view toString(RefusalReason reason);

/** Returns the hash of @p publish without its operation id; distinguishes a repeated record from a reused id. */
std::uint64_t contentHash(const Publish &publish);

/** Returns the hash of @p reset without its operation id. */
std::uint64_t contentHash(const ResetFold &reset);

} // namespace Heatherridge
