#include "groups/groupproblems.h"

#include "heatherridge_protocol/groupmessage.h"
#include "heatherridge_protocol/grouprecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

GroupEpoch drawnEpoch(std::uint32_t seed)
{
    SeededRandom random(seed);
    const auto problem = randomProblem(evenShape(3, 6, 4, 2), random, 2);
    return {.number = EpochNumber{7},
            .leader = FencingNumber{3},
            .members = {{0, Incarnation{1}}, {1, Incarnation{2}}, {2, Incarnation{3}}, {3, Incarnation{seed}}},
            .map = firstMap(problem)};
}

std::vector<GroupMessage> allMessages(std::uint32_t seed)
{
    const auto epoch = drawnEpoch(seed);
    return {LoadMap{FencingNumber{3}, EpochNumber{7}, Incarnation{seed}, true, epoch.map},
            MapReady{2, MapNumber{seed}, true},
            VoteRequest{FencingNumber{3}, EpochNumber{7}, MapNumber{seed}},
            CancelMap{FencingNumber{3}, EpochNumber{7}, MapNumber{seed}},
            VoteList{EpochNumber{7}, MapNumber{9}, {{1, true, StepNumber{seed}}, {2, false, {}}}, StepNumber{seed}},
            VoteList{EpochNumber{7}, MapNumber{9}, {}, {}},
            EpochNews{epoch},
            RankStatus{1, Incarnation{2}, EpochNumber{7}, MapNumber{8}, StepNumber{seed}, MapNumber{9}},
            StatusRequest{FencingNumber{seed}},
            RankLoadReport{{.rank = 1, .window = seed, .map = MapNumber{8}, .tokens = {1, 2, seed}}}};
}

RC_GTEST_PROP(GroupMessages, ComeBackAsTheyWere, (std::uint32_t seed))
{
    for (const auto &message : allMessages(seed)) {
        const auto back = decodeGroupFrame(encode(GroupFrame{.group = GroupName("g"), .message = message}));
        const auto *frame = std::get_if<GroupFrame>(&back);
        RC_ASSERT(frame != nullptr);
        RC_ASSERT(frame->group == GroupName("g"));
        RC_ASSERT(frame->message == message);
    }
    const auto epoch = drawnEpoch(seed);
    RC_ASSERT(std::get<GroupEpoch>(decodeEpochRecord(encodeRecord(epoch))) == epoch);
}

RC_GTEST_PROP(GroupMessages, HostileBytesAreRefusedAndNeverReadAsAnInvalidMap, (std::uint32_t seed))
{
    SeededRandom random(seed);
    for (const auto &message : allMessages(seed)) {
        auto bytes = encode(GroupFrame{.group = GroupName("g"), .message = message});
        bytes[random.below(bytes.size())] ^= static_cast<std::uint8_t>(1 + random.below(255));
        bytes.resize(random.below(3) == 0 ? random.below(bytes.size()) : bytes.size());
        const auto back = decodeGroupFrame(bytes);
        if (const auto *error = errorIn(back)) {
            RC_ASSERT(error->kind == ErrorKind::MalformedFrame);
        } else if (const auto *load = std::get_if<LoadMap>(&std::get<GroupFrame>(back).message)) {
            for (const auto &layer : load->map.layers()) {
                int shares = 0;
                for (const auto &slot : layer) {
                    shares += slot.share;
                }
                RC_ASSERT(shares % ExpertSlot::WholeShare == 0);
            }
        }
    }
}

TEST(GroupEpochs, TheFirstRecordOfANumberWinsAndEpochsShareARank)
{
    GroupEpochs epochs;
    auto epoch = drawnEpoch(1);
    EXPECT_TRUE(epochs.apply(epoch));
    auto other = epoch;
    other.leader = FencingNumber{99};
    EXPECT_FALSE(epochs.apply(other));
    EXPECT_EQ(epochs.ignored(), 1U);
    auto strangers = epoch;
    strangers.number = EpochNumber{8};
    strangers.members = {{8, Incarnation{1}}};
    EXPECT_FALSE(epochs.apply(strangers));
    strangers.members = {{3, Incarnation{77}}, {8, Incarnation{1}}};
    EXPECT_TRUE(epochs.apply(strangers));
}

} // namespace
