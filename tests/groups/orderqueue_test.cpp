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
    int queued; ///< orders that wait behind the one in progress
    int addedByReply; ///< orders that are enqueued while its reply is handled
};

// Guards against orders that are sent twice: the reply to the only order caused a new one, which was sent at once and
// again afterwards; its second reply removed an order from an empty queue. The process of the group's leader then
// crashed in the middle of a switch, and all ranks waited for another leader.
const QueueCase QueueCases[] = {
    {"nothing queued, the reply adds nothing", 0, 0},
    {"nothing queued, the reply adds one order", 0, 1},
    {"one order queued, the reply adds two", 1, 2},
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
