#pragma once

#include "heatherridge_state/fold/configdocument.h"

#include <array>
#include <optional>

namespace Heatherridge
{

/** Why a publish was refused, and which operation it conflicts with. */
struct Refusal
{
    RefusalReason reason = RefusalReason::Conflict;
    OperationId conflictsWith{}; ///< the earlier operation; empty if it is no longer known
    LogOffset conflictOffset{}; ///< the earlier record; 0 unless the reason is a conflict
    std::string detail{}; ///< human-readable

    bool operator==(const Refusal &) const = default;
};

/** The decision of the fold about one operation. */
struct OperationOutcome
{
    OperationId operation{};
    LogOffset decidedAt{}; ///< the record that decided it; gives the order of accepted operations
    std::uint64_t contentHash = 0;
    std::optional<Refusal> refusal{}; ///< not set if the operation was accepted

    bool operator==(const OperationOutcome &) const = default;
};

/** The process that holds a role. */
struct RoleHolder
{
    ProcessName holder{};
    Incarnation incarnation{};
    FencingNumber number{};

    bool operator==(const RoleHolder &) const = default;
};

/** The complete folded state, as contained in a snapshot and covered by the digest. */
struct ConfigImage
{
    LogOffset offset{}; ///< the last record folded
    DocumentImage inventory{};
    DocumentImage rules{};
    std::vector<OperationOutcome> operations{}; ///< the latest operations, ordered by offset
    LogOffset operationsPrunedBelow{}; ///< outcomes at or before this offset are no longer stored
    std::map<RoleName, RoleHolder> roles{};
    SnapshotTaken snapshot{}; ///< the latest announced snapshot
    std::array<std::uint64_t, SkipReasonCount> skipped{}; ///< number of skipped records by reason
    std::array<std::uint64_t, RefusalReasonCount> refused{}; ///< number of refused records by reason

    bool operator==(const ConfigImage &) const = default;
};

/** Returns the digest of @p image. */
Digest digestOf(const ConfigImage &image);

} // namespace Heatherridge
