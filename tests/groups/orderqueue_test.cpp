#include "heatherridge_coordination/groups/orderqueue.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

OrderEngine makeOrder(int number)
{
    return {.run = static_cast<Incarnation>(number), .order = PollEngine{}};
}

struct QueueCase
{
    const char *name;
    int queued; ///< orders that wait behind the one under way
    int addedByReply; ///< orders that are given while its answer is taken
};

// The process of a group's leader ends without a word in the midst of a switch, and all ranks wait for another leader.
// The answer to its only order led to a new one, which was sent twice; the second answer took an order out of an empty
// queue.
const QueueCase QueueCases[] = {
    {"nothing waits, nothing comes of the answer", 0, 0},
    {"nothing waits, an order comes of the answer", 0, 1},
    {"an order waits, two come of the answer", 1, 2},
};

class OrderQueues : public testing::TestWithParam<QueueCase>
{
};

TEST_P(OrderQueues, SendEachOrderOnceInSequence)
{
    const auto &testCase = GetParam();
    std::vector<int> sent;
    OrderQueue queue([&sent](const OrderEngine &order) {
        sent.push_back(static_cast<int>(toNumber(order.run)));
        return true;
    });
    int enqueued = 0;
    const auto enqueue = [&](int count) {
        for (int order = 0; order < count; ++order) {
            queue.enqueue(makeOrder(enqueued++));
        }
    };
    enqueue(1 + testCase.queued);
    for (int reply = 0; reply < 1 + testCase.queued + testCase.addedByReply; ++reply) {
        ASSERT_EQ(sent.size(), static_cast<std::size_t>(reply) + 1) << testCase.name << ": one at a time";
        queue.finishCurrent([&](Incarnation run) {
            EXPECT_EQ(static_cast<int>(toNumber(run)), reply) << testCase.name;
            enqueue(reply == 0 ? testCase.addedByReply : 0);
        });
    }
    std::vector<int> expected(static_cast<std::size_t>(enqueued));
    for (int order = 0; order < enqueued; ++order) {
        expected[static_cast<std::size_t>(order)] = order;
    }
    EXPECT_EQ(sent, expected) << testCase.name;
}

INSTANTIATE_TEST_SUITE_P(All, OrderQueues, testing::ValuesIn(QueueCases));

TEST(OrderQueues, DropAllOrdersWhenSendingFails)
{
    bool canSend = false;
    int sent = 0;
    OrderQueue queue([&](const OrderEngine &) {
        sent += canSend ? 1 : 0;
        return canSend;
    });
    queue.enqueue(makeOrder(1));
    canSend = true;
    queue.enqueue(makeOrder(2));
    EXPECT_EQ(sent, 1);
}

} // namespace
