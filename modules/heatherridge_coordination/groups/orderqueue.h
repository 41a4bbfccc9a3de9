#pragma once

#include "heatherridge_coordination/groups/rankgate.h"

#include <deque>
#include <functional>

namespace Heatherridge
{

/**
 * Gives orders to an engine one after the other, so that the engine follows them in the order in which they were given.
 *
 * One thread. An answer may lead to further orders while it is being taken: they go behind the one that was answered.
 */
class OrderQueue
{
public:
    /** Sends an order on its way. @returns false when there is nobody to send it to; then all orders are dropped */
    using SendOrder = std::function<bool(const OrderEngine &order)>;

    explicit OrderQueue(SendOrder sendOrder);

    /** Adds @p order, and sends it if none is under way. */
    void enqueue(const OrderEngine &order);

    /**
     * The order under way has been answered, or its answer has been given up.
     * @param take is called with the run that gave the order, before the next one is sent
     */
    void finishCurrent(const std::function<void(Incarnation run)> &handleReply);

private:
    void sendNext();

    SendOrder m_sendOrder;
    std::deque<OrderEngine> m_orders; ///< the first is under way
};

} // namespace Heatherridge
