#pragma once

#include "heatherridge_state/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Name of a role that one process at a time holds, such as the leader of a group. */
using RoleName = Name<struct RoleTag>;

/** Hash over the canonical form of a folded state; equal states have equal digests. */
enum class Digest : std::uint64_t {};

/** The number as such. */
constexpr std::uint64_t toNumber(Digest digest)
{
    return static_cast<std::uint64_t>(digest);
}

/** Which of the operators' two documents a publish changes; each has a history of its own. */
enum class DocumentKind : std::uint8_t {
    Inventory = 0,
    Rules = 1,
};

/** "inventory" or "rules". */
std::string_view toString(DocumentKind kind);

/** A document as a whole, in INI. */
struct WholeDocument
{
    std::string text{};

    bool operator==(const WholeDocument &) const = default;
};

/** Some sections of a document; the others stay as they are. Its size follows the change, not the fleet. */
struct DocumentChange
{
    std::string put{}; ///< sections to add or to replace whole, in INI
    std::vector<std::string> removed{}; ///< headers of sections to remove, without brackets

    bool operator==(const DocumentChange &) const = default;
};

using DocumentContent = std::variant<WholeDocument, DocumentChange>;

/** An operator publishes an inventory or a rule set. */
struct Publish
{
    DocumentKind document = DocumentKind::Inventory;
    OperationId operation{}; ///< the same over all tries of one publish
    LogOffset basedOn{}; ///< the publisher had seen the stream up to here
    DocumentContent content{};

    bool operator==(const Publish &) const = default;
};

/** A process claims a role. Accepted only while the role's number is still the one named, like a compare-and-swap. */
struct ClaimRole
{
    RoleName role{};
    ProcessName claimant{};
    Incarnation incarnation{};
    FencingNumber replaces{}; ///< number of the holder it takes over from; 0 for none

    bool operator==(const ClaimRole &) const = default;
};

/** All parts of a snapshot have been appended to the snapshot stream. */
struct SnapshotTaken
{
    LogOffset covers{}; ///< the fold up to and including this offset
    Digest digest{}; ///< of the state at that offset

    bool operator==(const SnapshotTaken &) const = default;
};

/**
 * An operator starts the fold anew from whole documents, whatever came before.
 *
 * The way out when records expired that no process has folded: readers with and without the lost records reach
 * the same state again.
 */
struct ResetFold
{
    OperationId operation{};
    LogOffset basedOn{}; ///< the offset right before its own; anywhere else in the stream it is refused
    std::string inventory{};
    std::string rules{};

    bool operator==(const ResetFold &) const = default;
};

using ControlRecord = std::variant<Publish, ClaimRole, SnapshotTaken, ResetFold>;

/** Why a record of the stream is skipped by all readers alike. */
enum class SkipReason : std::uint8_t {
    Malformed, ///< no record of ours, or a field missing or out of range
    Oversized, ///< larger than any record that is read
    UnknownVersion, ///< written by a later release
    Doubled, ///< its operation has been decided before
    OperationReused, ///< its operation id was used for other content
};

constexpr std::size_t SkipReasonCount = 5;

/** The stable name of @p reason, for counters. */
std::string_view toString(SkipReason reason);

/** Why the fold refuses a record that can be read. */
enum class RefusalReason : std::uint8_t {
    Conflict, ///< what it changes was changed after the offset that it is based on
    InvalidContent, ///< the resulting document has faults
    BasedOnFuture, ///< based on an offset that is not before its own
    BasisTooOld, ///< based on an offset before which outcomes are no longer remembered
    RoleTaken, ///< the role was claimed by another first
};

constexpr std::size_t RefusalReasonCount = 5;

/** The stable name of @p reason, for counters and operators. */
std::string_view toString(RefusalReason reason);

/** Hash of what @p publish would do, without its operation id: tells a repeated record from a reused id. */
std::uint64_t contentHash(const Publish &publish);

/** As above, for a reset. */
std::uint64_t contentHash(const ResetFold &reset);

} // namespace Heatherridge
