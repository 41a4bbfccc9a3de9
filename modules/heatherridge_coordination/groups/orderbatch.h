#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_state/base/clock.h"

#include <limits>
#include <memory>
#include <vector>

namespace Heatherridge
{

/** One order of an OrderBatch. */
struct OrderBatchItem
{
    TargetEntry target{};
    RankOrder order{};
};

/**
 * Sends orders to several ranks in parallel and repeats each until its rank has answered.
 *
 * The number of large orders in flight is limited, and the next is sent as soon as one was answered: a hundred of them
 * at once occupy the link for longer than the answer timeout, and all of them are sent again.
 *
 * An order without an answer may be executed seconds later, after others. All orders are idempotent, but an answer
 * "refused" after a lost answer does not tell whether an earlier copy was executed; see isAmbiguous(). One thread.
 */
class OrderBatch
{
public:
    /** No limit on orders that wait for an answer. */
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

    /**
     * @param epoch in which alone the orders are valid @param maxPending orders that may wait for an answer at a time
     */
    OrderBatch(RankControl &control, std::uint64_t epoch, std::vector<OrderBatchItem> items,
               std::size_t maxPending = Unlimited);

    /** Sends the orders that are due and not answered yet. */
    void tick(SteadyTime now);

    /** Returns whether all ranks have answered. */
    bool isDone() const;

    /** Returns the number of orders. */
    std::size_t size() const;

    /** Returns whether item @p index was answered. */
    bool isAnswered(std::size_t index) const;

    /** Returns the last reply to item @p index. */
    OrderReply reply(std::size_t index) const;

    /** Returns whether item @p index was refused after an earlier copy had got no answer. */
    bool isAmbiguous(std::size_t index) const;

    /** Sends item @p index again, not earlier than @p notBefore. */
    void scheduleResend(std::size_t index, SteadyTime notBefore);

    /** Returns how many copies were sent of the order that needed most. */
    int maxSends() const;

    ~OrderBatch();

    OrderBatch(const OrderBatch &) = delete;
    OrderBatch &operator=(const OrderBatch &) = delete;

private:
    struct Entry
    {
        OrderBatchItem item{};
        OrderReply reply = OrderReply::NoAnswer;
        bool isPending = false;
        bool isAnswered = false;
        bool hasLostAnswer = false;
        int sends = 0;
        SteadyTime notBefore{};
    };

    /** What late answers need; they may outlive the batch. */
    struct State
    {
        RankControl &control;
        std::uint64_t epoch = 0;
        std::size_t maxPending = Unlimited;
        std::vector<Entry> entries{};
        std::size_t pendingCount = 0; ///< orders that wait for an answer
        SteadyTime now{}; ///< of the last tick
        bool isSending = false;
        bool isClosed = false; ///< nothing more is sent
    };

    static void sendDue(const std::shared_ptr<State> &state);
    static void sendEntry(const std::shared_ptr<State> &state, std::size_t index);

    std::shared_ptr<State> m_state;
};

} // namespace Heatherridge
