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
    using Send = std::function<bool(const OrderEngine &order)>;

    explicit OrderQueue(Send send);

    /** Adds @p order, and sends it if none is under way. */
    void give(const OrderEngine &order);

    /**
     * The order under way has been answered, or its answer has been given up.
     * @param take is called with the run that gave the order, before the next one is sent
     */
    void answered(const std::function<void(Incarnation run)> &take);

private:
    void sendNext();

    Send m_send;
    std::deque<OrderEngine> m_orders; ///< the first is under way
};

} // namespace Heatherridge
