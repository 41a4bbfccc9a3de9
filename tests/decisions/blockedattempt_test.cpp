#include "heatherridge_state/decisions/blockedattempt.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct BlockedRow
{
    const char *name;
    RequestKind kind;
    std::chrono::milliseconds blockedAfter; ///< since it was sent
    std::chrono::milliseconds refusalTime;
    std::chrono::milliseconds endsAfter; ///< since it was sent
};

const BlockedRow BlockedRows[] = {
    {"BookingBlockedAtOnce", RequestKind::NonIdempotent, 0ms, 25ms, 25ms},
    {"BookingBlockedBeforeRefusalsAreDue", RequestKind::NonIdempotent, 10ms, 25ms, 25ms},
    {"BookingBlockedAsRefusalsAreDue", RequestKind::NonIdempotent, 24ms, 25ms, 26ms},
    {"BookingThatTheTargetHasAccepted", RequestKind::NonIdempotent, 400ms, 25ms, 402ms},
    {"LookUp", RequestKind::Idempotent, 10ms, 25ms, 10ms},
    {"Stream", RequestKind::EventStream, 10ms, 25ms, 10ms},
};

class BlockedAttempts : public testing::TestWithParam<BlockedRow>
{
};

// Guards against a booking whose refusal is on its way and that is answered as if it might have run, and against a
// request that is left at a target that has accepted it and that it may crash.
TEST_P(BlockedAttempts, AreLeftAtTheTargetOnlyWhileItMayRefuseThem)
{
    const auto &row = GetParam();
    const auto sentAt = SteadyTime{} + 1h;
    EXPECT_EQ(refusalDeadline({.kind = row.kind,
                               .sentAt = sentAt,
                               .blockedAt = sentAt + row.blockedAfter,
                               .refusalTime = row.refusalTime}),
              sentAt + row.endsAfter);
}

INSTANTIATE_TEST_SUITE_P(All, BlockedAttempts, testing::ValuesIn(BlockedRows),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
