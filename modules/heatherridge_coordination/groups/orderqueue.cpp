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
    // The answered order stays at the front in the meantime. If it were removed first, the queue would look idle while
    // the reply is handled: an order enqueued by the handler was sent at once and a second time afterwards, and its
    // second reply removed an order from an empty queue. The process crashed, or skipped orders and its group never
    // became complete.
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
