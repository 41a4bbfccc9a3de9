#include "heatherridge_coordination/groups/orderqueue.h"

#include <utility>

namespace Heatherridge
{

OrderQueue::OrderQueue(Send send)
    : m_send(std::move(send))
{
}

void OrderQueue::give(const OrderEngine &order)
{
    m_orders.push_back(order);
    if (m_orders.size() == 1) {
        sendNext();
    }
}

void OrderQueue::answered(const std::function<void(Incarnation run)> &take)
{
    // The answered order stays in front meanwhile. Taken out first, the queue looked idle while the answer was handled:
    // an order that came of it was sent at once and a second time afterwards, and its second answer took an order out
    // of an empty queue. The process ended, or left orders out and its group never became whole.
    take(m_orders.front().run);
    m_orders.pop_front();
    if (!m_orders.empty()) {
        sendNext();
    }
}

void OrderQueue::sendNext()
{
    if (!m_send(m_orders.front())) {
        m_orders.clear();
    }
}

} // namespace Heatherridge
