#include "heatherridge_state/base/result.h"
#include "heatherridge_state/fold/configstate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr LogOffset logOffset(std::uint64_t number)
{
    return static_cast<LogOffset>(number);
}

std::string workspaceSection(const std::string &name, int weight)
{
    return "[workspace." + name + "]\nweight = " + std::to_string(weight) + "\n";
}

Publish publishRules(const std::string &operation, std::uint64_t basedOn, DocumentContent content)
{
    return {.document = DocumentKind::Rules,
            .operation = OperationId(operation),
            .basedOn = logOffset(basedOn),
            .content = std::move(content)};
}

/** Applies @p record at the offset after the last one that @p state has folded. */
FoldEffect append(ConfigState &state, const ControlRecord &record)
{
    return state.apply(next(state.offset()), record);
}

struct PublishRow
{
    const char *description;
    Publish second; ///< follows the publish "first", which set the weights mill = 1 and yard = 1 at offset 1
    std::optional<RefusalReason> refusal;
};

const PublishRow PublishRows[] = {
    {"both publishes replace the whole document, based on the same offset",
     publishRules("second", 0, WholeDocument{workspaceSection("mill", 2)}), RefusalReason::Conflict},
    {"changes a section that the first publish changed",
     publishRules("second", 0, DocumentChange{workspaceSection("mill", 2), {}}), RefusalReason::Conflict},
    {"removes a section that the first publish changed",
     publishRules("second", 0, DocumentChange{"", {"workspace.yard"}}), RefusalReason::Conflict},
    {"changes another section, based on an old offset",
     publishRules("second", 0, DocumentChange{workspaceSection("estate", 2), {}}), std::nullopt},
    {"is based on the first publish", publishRules("second", 1, DocumentChange{workspaceSection("mill", 2), {}}),
     std::nullopt},
    {"is based on its own offset", publishRules("second", 2, DocumentChange{workspaceSection("mill", 2), {}}),
     RefusalReason::BasedOnFuture},
    {"text has a fault", publishRules("second", 1, DocumentChange{"[workspace.mill]\ncolour = red\n", {}}),
     RefusalReason::InvalidContent},
    {"only the merged document has a fault",
     publishRules("second", 1,
                  DocumentChange{"[workspace.estate]\nkey = shared\n[workspace.mill]\nkey = shared\n", {}}),
     RefusalReason::InvalidContent},
    {"rule names a target that is not in the inventory",
     publishRules("second", 1, DocumentChange{"[planned-stop.x]\ntarget = gone\n", {}}), std::nullopt},
    {"changes the other document, based on an old offset",
     {.document = DocumentKind::Inventory, .operation = OperationId("second"), .content = WholeDocument{}},
     std::nullopt},
};

class RacingPublish : public testing::TestWithParam<PublishRow>
{
};

// Guards against readers that disagree when two operators publish at almost the same time, without having read each
// other's publish. The log accepts both records; only the fold decides which one takes effect, and all readers must
// decide the same way.
TEST_P(RacingPublish, LowerOffsetWinsAndTheOtherPublishIsRefused)
{
    ConfigState state;
    append(state, publishRules("first", 0, WholeDocument{workspaceSection("mill", 1) + workspaceSection("yard", 1)}));
    const auto before = state.rules();
    append(state, GetParam().second);
    const auto *outcome = state.outcomeOf(OperationId("second"));
    ASSERT_NE(outcome, nullptr);
    EXPECT_EQ(outcome->decidedAt, logOffset(2));
    ASSERT_EQ(outcome->refusal.has_value(), GetParam().refusal.has_value()) << GetParam().description;
    if (!outcome->refusal) {
        return;
    }
    EXPECT_EQ(outcome->refusal->reason, *GetParam().refusal) << GetParam().description;
    EXPECT_EQ(state.rules(), before);
    EXPECT_EQ(state.refused(*GetParam().refusal), 1U);
    if (outcome->refusal->reason == RefusalReason::Conflict) {
        EXPECT_EQ(outcome->refusal->conflictsWith, OperationId("first"));
        EXPECT_EQ(outcome->refusal->conflictOffset, logOffset(1));
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RacingPublish, testing::ValuesIn(PublishRows));

// Guards against a duplicate record that reverts another operator's change: an append succeeds, its reply is lost, and
// the command appends the record again after another operator has published.
TEST(Fold, DuplicateRecordIsAppliedOnceEvenAfterItsOutcomeIsPruned)
{
    ConfigState state;
    const auto repeated = publishRules("lost", 0, DocumentChange{workspaceSection("mill", 1), {}});
    append(state, repeated);
    append(state, publishRules("other", 1, DocumentChange{"", {"workspace.mill"}}));
    EXPECT_EQ(append(state, repeated), FoldEffect::Skipped);
    EXPECT_EQ(state.skipped(SkipReason::Doubled), 1U);
    for (std::size_t i = 0; i < ConfigState::MaxOperations; ++i) {
        append(state,
               publishRules("later-" + std::to_string(i), toNumber(state.offset()),
                            DocumentChange{workspaceSection("yard", static_cast<int>(i) + 1), {}}));
    }
    EXPECT_EQ(state.outcomeOf(OperationId("lost")), nullptr);
    EXPECT_EQ(append(state, repeated), FoldEffect::Refused);
    EXPECT_EQ(state.refused(RefusalReason::BasisTooOld), 1U);
    EXPECT_EQ(state.rules()->find(WorkspaceName("mill")), nullptr);
    EXPECT_EQ(state.image().operations.size(), ConfigState::MaxOperations);
}

TEST(Fold, ReusedOperationIdWithOtherContentIsSkippedAndCounted)
{
    ConfigState state;
    append(state, publishRules("op", 0, DocumentChange{workspaceSection("mill", 1), {}}));
    append(state, publishRules("op", 1, DocumentChange{workspaceSection("mill", 2), {}}));
    EXPECT_EQ(state.skipped(SkipReason::OperationReused), 1U);
    EXPECT_EQ(state.outcomeOf(OperationId("op"))->decidedAt, logOffset(1));
}

// Guards against readers that stay diverged after some of them lost a record. A reset by the operator must bring all
// readers to the same state, and a delayed duplicate of the reset must not revert later changes.
TEST(Fold, ResetConvergesDivergedReadersAndAppliesOnlyAtItsOffset)
{
    ConfigState one;
    ConfigState other;
    append(one, publishRules("seen", 0, DocumentChange{workspaceSection("mill", 1), {}}));
    other.applyUnreadable(logOffset(1), SkipReason::Malformed);
    EXPECT_NE(one.digest(), other.digest());
    const ResetFold reset{
        .operation = OperationId("r"), .basedOn = logOffset(1), .inventory = "", .rules = workspaceSection("yard", 3)};
    for (auto *state : {&one, &other}) {
        EXPECT_EQ(append(*state, reset), FoldEffect::Reset);
        append(*state, publishRules("after", 2, DocumentChange{workspaceSection("yard", 4), {}}));
        EXPECT_EQ(append(*state, reset), FoldEffect::Refused);
        EXPECT_EQ(state->rules()->find(WorkspaceName("yard"))->weight, 4);
    }
    EXPECT_EQ(one.digest(), other.digest());
    EXPECT_EQ(ConfigState::fromReset(logOffset(2), reset)->digest(), [&] {
        ConfigState fresh;
        fresh.applyUnreadable(logOffset(1), SkipReason::Oversized);
        append(fresh, reset);
        return fresh.digest();
    }());
}

/** Generates an arbitrary record from a small set of names, so that many records conflict. */
ControlRecord arbitraryRecord(std::uint64_t offset)
{
    const auto basedOn = *rc::gen::inRange<std::uint64_t>(0, offset + 1);
    const auto name = std::string(1, *rc::gen::inRange('a', 'e'));
    const auto operation = "op-" + std::to_string(*rc::gen::inRange(0, 30));
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return ClaimRole{.role = RoleName(name),
                         .claimant = ProcessName(operation),
                         .replaces = static_cast<FencingNumber>(basedOn)};
    case 1:
        return SnapshotTaken{.covers = logOffset(basedOn)};
    case 2:
        return publishRules(operation, basedOn, WholeDocument{workspaceSection(name, *rc::gen::inRange(1, 5))});
    case 3:
        return ResetFold{
            .operation = OperationId(operation), .basedOn = logOffset(basedOn), .rules = workspaceSection(name, 9)};
    case 4:
        return publishRules(operation, basedOn, DocumentChange{"", {"workspace." + name}});
    default:
        return publishRules(operation, basedOn, DocumentChange{workspaceSection(name, *rc::gen::inRange(0, 5)), {}});
    }
}

RC_GTEST_PROP(FoldProperty, AllReadersOfAStreamReachTheSameState, ())
{
    ConfigState reader;
    ConfigState lateReader;
    const auto length = *rc::gen::inRange<std::uint64_t>(1, 60);
    const auto joinOffset = *rc::gen::inRange<std::uint64_t>(0, length);
    for (std::uint64_t offset = 1; offset <= length; ++offset) {
        if (offset == joinOffset + 1) {
            lateReader = *ConfigState::fromImage(reader.image());
        }
        const auto record = arbitraryRecord(offset);
        reader.apply(logOffset(offset), record);
        if (offset > joinOffset) {
            lateReader.apply(logOffset(offset), record);
        }
    }
    RC_ASSERT(lateReader.digest() == reader.digest());
    RC_ASSERT(lateReader.image() == reader.image());
    RC_ASSERT(*lateReader.rules() == *reader.rules());
}

RC_GTEST_PROP(FoldProperty, AcceptedPublishNeverOverwritesAnUnseenChange, ())
{
    ConfigState state;
    const auto length = *rc::gen::inRange<std::uint64_t>(1, 60);
    for (std::uint64_t offset = 1; offset <= length; ++offset) {
        const auto before = state.document(DocumentKind::Rules).image().sections;
        const auto record = arbitraryRecord(offset);
        const auto effect = state.apply(logOffset(offset), record);
        const auto &after = state.document(DocumentKind::Rules).image().sections;
        const auto *publish = std::get_if<Publish>(&record);
        if (effect != FoldEffect::RulesChanged) {
            RC_ASSERT(effect == FoldEffect::Reset || before == after);
            continue;
        }
        for (const auto &[header, section] : before) {
            const auto kept = after.find(header);
            RC_ASSERT((kept != after.end() && kept->second == section) || section.changedAt <= publish->basedOn);
        }
    }
}

RC_GTEST_PROP(FoldProperty, EachFencingNumberHasOneHolderAndNumbersOnlyIncrease, ())
{
    ConfigState state;
    std::map<RoleName, RoleHolder> seen;
    for (std::uint64_t offset = 1; offset <= 60; ++offset) {
        state.apply(logOffset(offset), arbitraryRecord(offset));
        for (const auto &[role, holder] : state.image().roles) {
            auto &last = seen[role];
            RC_ASSERT(holder.number > last.number || holder == last);
            last = holder;
        }
    }
}

} // namespace
