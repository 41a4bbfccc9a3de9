#include "heatherridge_coordination/groups/orderqueue.h"

#include <utility>

namespace Heatherridge
{

OrderQueue::OrderQueue(SendOrder sendOrder)
    : m_sendOrder(std::move(sendOrder))
{
}

void OrderQueue::enqueue(const OrderEngine &order)
{
    m_orders.push_back(order);
    if (m_orders.size() == 1) {
        sendNext();
    }
}

void OrderQueue::finishCurrent(const std::function<void(Incarnation run)> &handleReply)
{
    // The answered order stays in front meanwhile. Taken out first, the queue looked idle while the answer was handled:
    // an order that came of it was sent at once and a second time afterwards, and its second answer took an order out
    // of an empty queue. The process ended, or left orders out and its group never became whole.
    handleReply(m_orders.front().run);
    m_orders.pop_front();
    if (!m_orders.empty()) {
        sendNext();
    }
}

void OrderQueue::sendNext()
{
    if (!m_sendOrder(m_orders.front())) {
        m_orders.clear();
    }
}

} // namespace Heatherridge
