#include "groups/groupproblems.h"

#include "heatherridge_protocol/groupmessage.h"
#include "heatherridge_protocol/grouprecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

GroupEpoch randomEpoch(std::uint32_t seed)
{
    SeededRandom random(seed);
    const auto problem = randomProblem(uniformShape(3, 6, 4, 2), random, 2);
    return {.number = EpochNumber{7},
            .leader = FencingNumber{3},
            .members = {{0, Incarnation{1}}, {1, Incarnation{2}}, {2, Incarnation{3}}, {3, Incarnation{seed}}},
            .map = initialMap(problem)};
}

std::vector<GroupMessage> allMessages(std::uint32_t seed)
{
    const auto epoch = randomEpoch(seed);
    return {LoadMap{FencingNumber{3}, EpochNumber{7}, Incarnation{seed}, true, epoch.map},
            MapReady{2, MapNumber{seed}, true},
            VoteRequest{FencingNumber{3}, EpochNumber{7}, MapNumber{seed}},
            CancelMap{FencingNumber{3}, EpochNumber{7}, MapNumber{seed}},
            VoteList{EpochNumber{7}, MapNumber{9}, {{1, true, StepNumber{seed}}, {2, false, {}}}, StepNumber{seed}},
            VoteList{EpochNumber{7}, MapNumber{9}, {}, {}},
            EpochAnnouncement{epoch},
            RankStatus{1, Incarnation{2}, EpochNumber{7}, MapNumber{8}, StepNumber{seed}, MapNumber{9}},
            StatusRequest{FencingNumber{seed}},
            RankLoadReport{{.rank = 1, .window = seed, .map = MapNumber{8}, .tokens = {1, 2, seed}}}};
}

RC_GTEST_PROP(GroupMessages, RoundTrip, (std::uint32_t seed))
{
    for (const auto &message : allMessages(seed)) {
        const auto decoded = decodeGroupFrame(encode(GroupFrame{.group = GroupName("g"), .message = message}));
        const auto *frame = std::get_if<GroupFrame>(&decoded);
        RC_ASSERT(frame != nullptr);
        RC_ASSERT(frame->group == GroupName("g"));
        RC_ASSERT(frame->message == message);
    }
    const auto epoch = randomEpoch(seed);
    for (const GroupRecord &record :
         {GroupRecord(epoch), GroupRecord(GroupClaim{2, Incarnation{seed}, FencingNumber{4}})}) {
        RC_ASSERT(std::get<GroupRecord>(decodeGroupRecord(encodeGroupRecord(record))) == record);
    }
}

RC_GTEST_PROP(GroupMessages, CorruptBytesAreRejectedOrDecodeToAValidMap, (std::uint32_t seed))
{
    SeededRandom random(seed);
    for (const auto &message : allMessages(seed)) {
        auto bytes = encode(GroupFrame{.group = GroupName("g"), .message = message});
        bytes[random.below(bytes.size())] ^= static_cast<std::uint8_t>(1 + random.below(255));
        bytes.resize(random.below(3) == 0 ? random.below(bytes.size()) : bytes.size());
        const auto decoded = decodeGroupFrame(bytes);
        if (const auto *error = errorIn(decoded)) {
            RC_ASSERT(error->kind == ErrorKind::MalformedFrame);
        } else if (const auto *loadMap = std::get_if<LoadMap>(&std::get<GroupFrame>(decoded).message)) {
            for (const auto &layer : loadMap->map.layers()) {
                int shareSum = 0;
                for (const auto &slot : layer) {
                    shareSum += slot.share;
                }
                RC_ASSERT(shareSum % ExpertSlot::WholeShare == 0);
            }
        }
    }
}

TEST(GroupEpochTracker, FirstRecordOfANumberWinsAndSuccessiveEpochsShareARank)
{
    GroupEpochTracker epochs;
    auto epoch = randomEpoch(1);
    EXPECT_TRUE(epochs.apply(epoch));
    auto conflicting = epoch;
    conflicting.leader = FencingNumber{99};
    EXPECT_FALSE(epochs.apply(conflicting));
    EXPECT_EQ(epochs.ignoredCount(), 1U);
    auto successor = epoch;
    successor.number = EpochNumber{8};
    successor.members = {{8, Incarnation{1}}};
    EXPECT_FALSE(epochs.apply(successor));
    successor.members = {{3, Incarnation{77}}, {8, Incarnation{1}}};
    EXPECT_TRUE(epochs.apply(successor));
}

} // namespace
