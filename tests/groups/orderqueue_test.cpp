#include "heatherridge_coordination/groups/orderqueue.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

OrderEngine orderOf(int number)
{
    return {.run = static_cast<Incarnation>(number), .order = PollEngine{}};
}

struct QueueRow
{
    const char *story;
    int before; ///< orders that wait behind the one under way
    int during; ///< orders that are given while its answer is taken
};

// The process of a group's leader ends without a word in the midst of a switch, and all ranks wait for another leader.
// The answer to its only order led to a new one, which was sent twice; the second answer took an order out of an empty
// queue.
const QueueRow QueueRows[] = {
    {"nothing waits, nothing comes of the answer", 0, 0},
    {"nothing waits, an order comes of the answer", 0, 1},
    {"an order waits, two come of the answer", 1, 2},
};

class OrderQueues : public testing::TestWithParam<QueueRow>
{
};

TEST_P(OrderQueues, SendEachOrderOnceAndInTurn)
{
    const auto &row = GetParam();
    std::vector<int> sent;
    OrderQueue queue([&sent](const OrderEngine &order) {
        sent.push_back(static_cast<int>(toNumber(order.run)));
        return true;
    });
    int given = 0;
    const auto give = [&](int count) {
        for (int order = 0; order < count; ++order) {
            queue.give(orderOf(given++));
        }
    };
    give(1 + row.before);
    for (int answer = 0; answer < 1 + row.before + row.during; ++answer) {
        ASSERT_EQ(sent.size(), static_cast<std::size_t>(answer) + 1) << row.story << ": one at a time";
        queue.answered([&](Incarnation run) {
            EXPECT_EQ(static_cast<int>(toNumber(run)), answer) << row.story;
            give(answer == 0 ? row.during : 0);
        });
    }
    std::vector<int> expected(static_cast<std::size_t>(given));
    for (int order = 0; order < given; ++order) {
        expected[static_cast<std::size_t>(order)] = order;
    }
    EXPECT_EQ(sent, expected) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, OrderQueues, testing::ValuesIn(QueueRows));

TEST(OrderQueues, DropAllWhenThereIsNobodyToSendThemTo)
{
    bool isThere = false;
    int sent = 0;
    OrderQueue queue([&](const OrderEngine &) {
        sent += isThere ? 1 : 0;
        return isThere;
    });
    queue.give(orderOf(1));
    isThere = true;
    queue.give(orderOf(2));
    EXPECT_EQ(sent, 1);
}

} // namespace
