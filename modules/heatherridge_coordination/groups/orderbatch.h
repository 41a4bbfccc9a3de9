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
 * Gives orders to several ranks at once, each again until its rank has answered.
 *
 * Large orders are given to some ranks at a time, the next as soon as one has answered: a hundred of them at once fill
 * the link for longer than an answer is waited for, and are all given again.
 *
 * An order without an answer may be carried out seconds later, after others. All orders are such that a second copy
 * changes nothing, but an answer "refused" after an answer was lost does not tell whether an earlier copy was carried
 * out; see isAmbiguous(). One thread.
 */
class OrderBatch
{
public:
    /** No bound on orders without an answer. */
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

    /** @param epoch in which alone the orders hold @param mostOpen orders that wait for an answer at a time */
    OrderBatch(RankControl &control, std::uint64_t epoch, std::vector<OrderBatchItem> items,
               std::size_t maxPending = Unlimited);

    /** Sends what has had no answer yet. */
    void tick(SteadyTime now);

    /** Whether all ranks have answered. */
    bool isDone() const;

    /** Ranks asked. */
    std::size_t size() const;

    /** Whether item @p index has been answered. */
    bool isAnswered(std::size_t index) const;

    /** The last word on item @p index. */
    OrderReply reply(std::size_t index) const;

    /** Whether item @p index was refused after an earlier copy got no answer. */
    bool isAmbiguous(std::size_t index) const;

    /** Sends item @p index again, at @p notBefore or later. */
    void scheduleResend(std::size_t index, SteadyTime notBefore);

    /** Most copies that any rank was sent. */
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

    /** What answers that come late need of this object, which may be gone. */
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
