#pragma once

#include "heatherridge_state/config/inventory.h"
#include "heatherridge_state/config/ruleset.h"
#include "heatherridge_state/fold/configimage.h"

#include <memory>

namespace Heatherridge
{

/** What one record did to the state. */
enum class FoldEffect : std::uint8_t {
    InventoryChanged,
    RulesChanged,
    RoleChanged,
    SnapshotRecorded,
    Reset, ///< everything may have changed
    Refused, ///< readable, but decided against
    Skipped, ///< without any effect but a count
};

/**
 * The agreed configuration: a deterministic fold of the control stream's records in the order of their offsets.
 *
 * Every process folds the same records and so reaches the same state, byte for byte; digest() shows it. Of two
 * records in conflict the one with the lower offset wins at every reader, and the other is refused by name. What it
 * keeps is bounded, however long the stream runs. Value type; the documents are shared and immutable. One thread.
 */
class ConfigState
{
public:
    /** Outcomes of operations that are remembered, accepted and refused together. */
    static constexpr std::size_t MaxOperations = 1024;
    /** Roles that are remembered; beyond it the one claimed longest ago counts as held by nobody. */
    static constexpr std::size_t MaxRoles = 4096;

    /** The state before the first record. */
    ConfigState();

    /** Takes up @p image, as from a snapshot; nothing when its documents do not read as an inventory and rules. */
    static std::optional<ConfigState> fromImage(ConfigImage image);

    /** The state right after the reset at @p offset, whatever came before; nothing when the reset is refused. */
    static std::optional<ConfigState> fromReset(LogOffset offset, const ResetFold &reset);

    /** Folds the record at @p offset, which must be the one after offset(). */
    FoldEffect apply(LogOffset offset, const ControlRecord &record);

    /** Folds a record that nobody can read: only counted. @p offset as for apply(). */
    FoldEffect applyUnreadable(LogOffset offset, SkipReason reason);

    /** The last record folded; 0 before the first. */
    LogOffset offset() const;

    /** The inventory in force. */
    const std::shared_ptr<const Inventory> &inventory() const;

    /** The rules in force. */
    const std::shared_ptr<const RuleSet> &rules() const;

    /** The record that last changed the inventory. */
    LogOffset inventoryOffset() const;

    /** The record that last changed the rules. */
    LogOffset rulesOffset() const;

    /** The folded document of @p kind. */
    const ConfigDocument &document(DocumentKind kind) const;

    /** What was decided about @p operation, or nullptr when no remembered record carries it. */
    const OperationOutcome *outcomeOf(const OperationId &operation) const;

    /** Who holds @p role, or nullptr. */
    const RoleHolder *holderOf(const RoleName &role) const;

    /** The newest snapshot announced; covers offset 0 when there is none. */
    const SnapshotTaken &snapshot() const;

    /** Records skipped for @p reason. */
    std::uint64_t skipped(SkipReason reason) const;

    /** Records refused for @p reason. */
    std::uint64_t refused(RefusalReason reason) const;

    /** Targets that rules name and the inventory lacks. Such rules are accepted and have no effect, so that a target
     * can leave the inventory without anybody having to change the rules first. */
    std::vector<TargetName> missingTargets() const;

    /** The digest of the whole state; computed once a record. */
    Digest digest() const;

    /** A copy of all that the state consists of. */
    ConfigImage image() const;

private:
    FoldEffect fold(const Publish &publish);
    FoldEffect fold(const ClaimRole &claim);
    FoldEffect fold(const SnapshotTaken &snapshot);
    FoldEffect fold(const ResetFold &reset);
    std::optional<SkipReason> duplicateReason(const OperationId &operation, std::uint64_t hash) const;
    std::optional<Refusal> applyPublish(const Publish &publish);
    std::optional<Refusal> install(DocumentKind kind, ConfigDocument document);
    Refusal conflictRefusal(LogOffset offset) const;
    FoldEffect skip(SkipReason reason);
    FoldEffect refuse(RefusalReason reason);
    void recordOutcome(OperationOutcome outcome);
    void advanceTo(LogOffset offset);

    ConfigImage m_image; ///< without the two documents, which stand below
    std::array<ConfigDocument, 2> m_documents;
    std::shared_ptr<const Inventory> m_inventory;
    std::shared_ptr<const RuleSet> m_rules;
    std::map<OperationId, LogOffset> m_operationIndex;
    mutable std::optional<Digest> m_digest;
};

} // namespace Heatherridge
