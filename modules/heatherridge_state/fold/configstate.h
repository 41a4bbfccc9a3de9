#pragma once

#include "heatherridge_state/config/inventory.h"
#include "heatherridge_state/config/ruleset.h"
#include "heatherridge_state/fold/configimage.h"

#include <memory>

namespace Heatherridge
{

/** The effect of one record on the state. */
enum class FoldEffect : std::uint8_t {
    InventoryChanged,
    RulesChanged,
    RoleChanged,
    SnapshotRecorded,
    Reset, ///< all parts of the state may have changed
    Refused, ///< readable, but not accepted
    Skipped, ///< only counted
};

/**
 * The agreed configuration: a deterministic fold of the control stream's records in the order of their offsets.
 *
 * All processes fold the same records and therefore reach the same state, byte for byte; digest() allows comparing it.
 * Of two conflicting records, the one with the lower offset wins at every reader, and the other is refused with the
 * operation that it conflicts with. The size of the state is bounded, independent of the length of the stream. Value
 * type; the documents are shared and immutable. Must be used from one thread.
 */
class ConfigState
{
public:
    /** Maximum number of stored operation outcomes, accepted and refused together. */
    static constexpr std::size_t MaxOperations = 1024;
    /** Maximum number of stored roles; beyond it, the role claimed longest ago is dropped and has no holder. */
    static constexpr std::size_t MaxRoles = 4096;

    /** Constructs the state before the first record. */
    ConfigState();

    /** Restores the state from @p image, as from a snapshot; std::nullopt if its inventory or rules are not valid. */
    static std::optional<ConfigState> fromImage(ConfigImage image);

    /** Returns the state directly after the reset at @p offset, independent of earlier records; std::nullopt if the
     * reset is refused. */
    static std::optional<ConfigState> fromReset(LogOffset offset, const ResetFold &reset);

    /** Folds the record at @p offset, which must directly follow offset(). */
    FoldEffect apply(LogOffset offset, const ControlRecord &record);

    /** Folds a record that can't be read, which is only counted. For @p offset, see apply(). */
    FoldEffect applyUnreadable(LogOffset offset, SkipReason reason);

    /** Returns the offset of the last folded record; 0 before the first. */
    LogOffset offset() const;

    /** Returns the current inventory. */
    const std::shared_ptr<const Inventory> &inventory() const;

    /** Returns the current rules. */
    const std::shared_ptr<const RuleSet> &rules() const;

    /** Returns the offset of the record that last changed the inventory. */
    LogOffset inventoryOffset() const;

    /** Returns the offset of the record that last changed the rules. */
    LogOffset rulesOffset() const;

    /** Returns the folded document of @p kind. */
    const ConfigDocument &document(DocumentKind kind) const;

    /** Returns the outcome of @p operation, or nullptr if none is stored. */
    const OperationOutcome *outcomeOf(const OperationId &operation) const;

    /** Returns the holder of @p role, or nullptr if there is none. */
    const RoleHolder *holderOf(const RoleName &role) const;

    /** Returns the latest announced snapshot; its `covers` is 0 if there is none. */
    const SnapshotTaken &snapshot() const;

    /** Returns the number of records skipped for @p reason. */
    std::uint64_t skipped(SkipReason reason) const;

    /** Returns the number of records refused for @p reason. */
    std::uint64_t refused(RefusalReason reason) const;

    /** Returns targets that are named by rules but missing from the inventory. Such rules are accepted and have no
     * effect, so that a target can be removed from the inventory without changing the rules first. */
    std::vector<TargetName> missingTargets() const;

    /** Returns the digest of the whole state; computed at most once per record. */
    Digest digest() const;

    /** Returns a copy of the complete state. */
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

    ConfigImage m_image; ///< without the two documents, which are stored in m_documents
    std::array<ConfigDocument, 2> m_documents;
    std::shared_ptr<const Inventory> m_inventory;
    std::shared_ptr<const RuleSet> m_rules;
    std::map<OperationId, LogOffset> m_operationIndex;
    mutable std::optional<Digest> m_digest;
};

} // namespace Heatherridge
