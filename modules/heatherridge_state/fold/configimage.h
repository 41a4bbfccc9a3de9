#pragma once

#include "heatherridge_state/fold/configdocument.h"

#include <array>
#include <optional>

namespace Heatherridge
{

/** Why a publish was refused, and by what. */
struct Refusal
{
    RefusalReason reason = RefusalReason::Conflict;
    OperationId conflictsWith{}; ///< the operation that came first; empty when it is no longer known
    LogOffset conflictOffset{}; ///< the record that came first; 0 when the reason is no conflict
    std::string detail{}; ///< for people

    bool operator==(const Refusal &) const = default;
};

/** What the fold decided about one operation. */
struct OperationOutcome
{
    OperationId operation{};
    LogOffset decidedAt{}; ///< the record that decided it; for an accepted one its place in the order
    std::uint64_t contentHash = 0;
    std::optional<Refusal> refusal{}; ///< nothing when accepted

    bool operator==(const OperationOutcome &) const = default;
};

/** Who holds a role. */
struct RoleHolder
{
    ProcessName holder{};
    Incarnation incarnation{};
    FencingNumber number{};

    bool operator==(const RoleHolder &) const = default;
};

/** All that a folded state consists of: what a snapshot carries and what the digest covers. */
struct ConfigImage
{
    LogOffset offset{}; ///< the last record folded
    DocumentImage inventory{};
    DocumentImage rules{};
    std::vector<OperationOutcome> operations{}; ///< the newest ones, ordered by offset
    LogOffset operationsPrunedBelow{}; ///< outcomes at or before this offset are no longer known
    std::map<RoleName, RoleHolder> roles{};
    SnapshotTaken snapshot{}; ///< the newest snapshot announced
    std::array<std::uint64_t, SkipReasonCount> skipped{}; ///< records skipped, by reason
    std::array<std::uint64_t, RefusalReasonCount> refused{}; ///< records refused, by reason

    bool operator==(const ConfigImage &) const = default;
};

/** The digest of @p image. */
Digest digestOf(const ConfigImage &image);

} // namespace Heatherridge
