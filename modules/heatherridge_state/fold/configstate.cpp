#include "heatherridge_state/fold/configstate.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>
#include <cassert>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxDetailLength = 200;

Refusal invalidContent(const std::vector<ConfigFault> &faults)
{
    std::string detail;
    if (!faults.empty()) {
        detail = "line " + std::to_string(faults.front().line) + ": " + faults.front().reason;
    }
    return {.reason = RefusalReason::InvalidContent, .detail = detail.substr(0, MaxDetailLength)};
}

constexpr std::size_t indexOf(DocumentKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

ConfigState::ConfigState()
    : m_inventory(std::make_shared<const Inventory>())
    , m_rules(std::make_shared<const RuleSet>())
{
}

std::optional<ConfigState> ConfigState::fromImage(ConfigImage image)
{
    ConfigState state;
    if (state.install(DocumentKind::Inventory, ConfigDocument(std::move(image.inventory)))
        || state.install(DocumentKind::Rules, ConfigDocument(std::move(image.rules)))) {
        return std::nullopt;
    }
    image.inventory = {};
    image.rules = {};
    state.m_image = std::move(image);
    for (const auto &outcome : state.m_image.operations) {
        state.m_operationIndex[outcome.operation] = outcome.decidedAt;
    }
    return state;
}

std::optional<ConfigState> ConfigState::fromReset(LogOffset offset, const ResetFold &reset)
{
    // A reset names the offset directly before its own, so whether it is valid depends only on its position in the
    // stream. Readers that have lost records decide the same way, and a duplicate or delayed copy, which has a
    // different offset, is refused.
    if (next(reset.basedOn) != offset) {
        return std::nullopt;
    }
    ConfigState state;
    for (const auto &[kind, text] :
         {std::pair(DocumentKind::Inventory, &reset.inventory), std::pair(DocumentKind::Rules, &reset.rules)}) {
        auto document = ConfigDocument().withContent(WholeDocument{.text = *text}, offset);
        if (!std::holds_alternative<ConfigDocument>(document)
            || state.install(kind, std::get<ConfigDocument>(std::move(document)))) {
            return std::nullopt;
        }
    }
    state.m_image.offset = offset;
    state.m_image.operationsPrunedBelow = reset.basedOn;
    state.recordOutcome({.operation = reset.operation, .decidedAt = offset, .contentHash = contentHash(reset)});
    return state;
}

FoldEffect ConfigState::apply(LogOffset offset, const ControlRecord &record)
{
    advanceTo(offset);
    return std::visit([this](const auto &typed) { return fold(typed); }, record);
}

FoldEffect ConfigState::applyUnreadable(LogOffset offset, SkipReason reason)
{
    advanceTo(offset);
    return skip(reason);
}

void ConfigState::advanceTo(LogOffset offset)
{
    assert(offset == next(m_image.offset));
    m_image.offset = offset;
    m_digest.reset();
}

FoldEffect ConfigState::fold(const Publish &publish)
{
    const auto hash = contentHash(publish);
    if (const auto reason = duplicateReason(publish.operation, hash)) {
        return skip(*reason);
    }
    const auto refusal = applyPublish(publish);
    recordOutcome({.operation = publish.operation, .decidedAt = offset(), .contentHash = hash, .refusal = refusal});
    if (refusal) {
        return refuse(refusal->reason);
    }
    return publish.document == DocumentKind::Inventory ? FoldEffect::InventoryChanged : FoldEffect::RulesChanged;
}

FoldEffect ConfigState::fold(const ClaimRole &claim)
{
    const auto *holder = holderOf(claim.role);
    // Two claims may race, and a claim whose reply was lost may be appended twice. Each claim names the fencing number
    // that it replaces, so only the first one still matches the current number.
    if ((holder != nullptr ? holder->number : FencingNumber{}) != claim.replaces) {
        return refuse(RefusalReason::RoleTaken);
    }
    m_image.roles[claim.role] = {.holder = claim.claimant,
                                 .incarnation = claim.incarnation,
                                 .number = static_cast<FencingNumber>(toNumber(offset()))};
    if (m_image.roles.size() > MaxRoles) {
        // Dropping a holder is safe: the next process to claim the role gets a higher fencing number, and gates refuse
        // the lower number of the dropped holder.
        m_image.roles.erase(
            std::min_element(m_image.roles.begin(), m_image.roles.end(),
                             [](const auto &a, const auto &b) { return a.second.number < b.second.number; }));
    }
    return FoldEffect::RoleChanged;
}

FoldEffect ConfigState::fold(const SnapshotTaken &snapshot)
{
    if (snapshot.covers <= m_image.snapshot.covers || snapshot.covers >= offset()) {
        return skip(SkipReason::Doubled);
    }
    m_image.snapshot = snapshot;
    return FoldEffect::SnapshotRecorded;
}

FoldEffect ConfigState::fold(const ResetFold &reset)
{
    if (auto state = fromReset(offset(), reset)) {
        *this = std::move(*state);
        return FoldEffect::Reset;
    }
    return refuse(next(reset.basedOn) == offset() ? RefusalReason::InvalidContent : RefusalReason::Conflict);
}

std::optional<SkipReason> ConfigState::duplicateReason(const OperationId &operation, std::uint64_t hash) const
{
    const auto *before = outcomeOf(operation);
    if (before == nullptr) {
        return std::nullopt;
    }
    return before->contentHash == hash ? SkipReason::Doubled : SkipReason::OperationReused;
}

std::optional<Refusal> ConfigState::applyPublish(const Publish &publish)
{
    if (publish.basedOn >= offset()) {
        return Refusal{.reason = RefusalReason::BasedOnFuture};
    }
    // A duplicate of a record whose outcome has been pruned must not be decided again. It is based on an offset before
    // that outcome, so this bound refuses it.
    if (publish.basedOn < m_image.operationsPrunedBelow) {
        return Refusal{.reason = RefusalReason::BasisTooOld};
    }
    const auto &current = document(publish.document);
    if (const auto conflict = current.findConflict(publish.content, publish.basedOn)) {
        return conflictRefusal(*conflict);
    }
    auto changed = current.withContent(publish.content, offset());
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&changed)) {
        return invalidContent(*faults);
    }
    return install(publish.document, std::get<ConfigDocument>(std::move(changed)));
}

std::optional<Refusal> ConfigState::install(DocumentKind kind, ConfigDocument document)
{
    const auto parsed = IniDocument::parse(document.text());
    if (kind == DocumentKind::Inventory) {
        auto inventory = Inventory::fromDocument(parsed);
        if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&inventory)) {
            return invalidContent(*faults);
        }
        m_inventory = std::make_shared<const Inventory>(std::get<Inventory>(std::move(inventory)));
    } else {
        auto rules = RuleSet::fromDocument(parsed);
        if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&rules)) {
            return invalidContent(*faults);
        }
        m_rules = std::make_shared<const RuleSet>(std::get<RuleSet>(std::move(rules)));
    }
    m_documents.at(indexOf(kind)) = std::move(document);
    return std::nullopt;
}

Refusal ConfigState::conflictRefusal(LogOffset offset) const
{
    Refusal refusal{.reason = RefusalReason::Conflict, .conflictOffset = offset};
    const auto winner = std::find_if(m_image.operations.begin(), m_image.operations.end(),
                                     [offset](const auto &outcome) { return outcome.decidedAt == offset; });
    if (winner != m_image.operations.end()) {
        refusal.conflictsWith = winner->operation;
    }
    return refusal;
}

FoldEffect ConfigState::skip(SkipReason reason)
{
    ++m_image.skipped.at(static_cast<std::size_t>(reason));
    return FoldEffect::Skipped;
}

FoldEffect ConfigState::refuse(RefusalReason reason)
{
    ++m_image.refused.at(static_cast<std::size_t>(reason));
    return FoldEffect::Refused;
}

void ConfigState::recordOutcome(OperationOutcome outcome)
{
    m_operationIndex[outcome.operation] = outcome.decidedAt;
    m_image.operations.push_back(std::move(outcome));
    if (m_image.operations.size() > MaxOperations) {
        const auto &oldest = m_image.operations.front();
        m_image.operationsPrunedBelow = oldest.decidedAt;
        m_operationIndex.erase(oldest.operation);
        m_image.operations.erase(m_image.operations.begin());
    }
}

LogOffset ConfigState::offset() const
{
    return m_image.offset;
}

const std::shared_ptr<const Inventory> &ConfigState::inventory() const
{
    return m_inventory;
}

const std::shared_ptr<const RuleSet> &ConfigState::rules() const
{
    return m_rules;
}

LogOffset ConfigState::inventoryOffset() const
{
    return document(DocumentKind::Inventory).image().changedAt;
}

LogOffset ConfigState::rulesOffset() const
{
    return document(DocumentKind::Rules).image().changedAt;
}

const ConfigDocument &ConfigState::document(DocumentKind kind) const
{
    return m_documents.at(indexOf(kind));
}

const OperationOutcome *ConfigState::outcomeOf(const OperationId &operation) const
{
    const auto entry = m_operationIndex.find(operation);
    if (entry == m_operationIndex.end()) {
        return nullptr;
    }
    const auto outcome =
        std::lower_bound(m_image.operations.begin(), m_image.operations.end(), entry->second,
                         [](const auto &candidate, LogOffset offset) { return candidate.decidedAt < offset; });
    return outcome == m_image.operations.end() ? nullptr : &*outcome;
}

const RoleHolder *ConfigState::holderOf(const RoleName &role) const
{
    const auto holder = m_image.roles.find(role);
    return holder == m_image.roles.end() ? nullptr : &holder->second;
}

const SnapshotTaken &ConfigState::snapshot() const
{
    return m_image.snapshot;
}

std::uint64_t ConfigState::skipped(SkipReason reason) const
{
    return m_image.skipped.at(static_cast<std::size_t>(reason));
}

std::uint64_t ConfigState::refused(RefusalReason reason) const
{
    return m_image.refused.at(static_cast<std::size_t>(reason));
}

std::vector<TargetName> ConfigState::missingTargets() const
{
    std::vector<TargetName> missing;
    for (const auto &stop : m_rules->plannedStops()) {
        if (m_inventory->find(stop.target) == nullptr) {
            missing.push_back(stop.target);
        }
    }
    return missing;
}

Digest ConfigState::digest() const
{
    if (!m_digest) {
        m_digest = digestOf(image());
    }
    return *m_digest;
}

ConfigImage ConfigState::image() const
{
    auto image = m_image;
    image.inventory = document(DocumentKind::Inventory).image();
    image.rules = document(DocumentKind::Rules).image();
    return image;
}

} // namespace Heatherridge
