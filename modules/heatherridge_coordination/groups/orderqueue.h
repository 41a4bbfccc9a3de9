#pragma once

#include "heatherridge_coordination/groups/rankgate.h"

#include <deque>
#include <functional>

namespace Heatherridge
{

/**
 * Sends orders to an engine one at a time, so that the engine executes them in the order in which they were enqueued.
 *
 * One thread. Handling a reply may enqueue further orders: they are placed behind the one that was answered.
 */
class OrderQueue
{
public:
    /** Sends an order to the engine. @returns false if there is no engine to send to; then all orders are dropped */
    using SendOrder = std::function<bool(const OrderEngine &order)>;

    explicit OrderQueue(SendOrder sendOrder);

    /** Appends @p order, and sends it if no other is in progress. */
    void enqueue(const OrderEngine &order);

    /**
     * Called when the order in progress was answered, or its answer is no longer awaited.
     * @param handleReply is called with the run that issued the order, before the next one is sent
     */
    void finishCurrent(const std::function<void(Incarnation run)> &handleReply);

private:
    void sendNext();

    SendOrder m_sendOrder;
    std::deque<OrderEngine> m_orders; ///< the first is in progress
};

} // namespace Heatherridge
