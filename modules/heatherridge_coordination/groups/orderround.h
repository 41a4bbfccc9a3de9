#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_state/base/clock.h"

#include <memory>
#include <vector>

namespace Heatherridge
{

/** One order of an OrderRound. */
struct RoundItem
{
    TargetEntry target{};
    RankOrder order{};
};

/**
 * Gives orders to several ranks at once, each again until its rank has answered.
 *
 * An order without an answer may be carried out seconds later, after others. All orders are such that a second copy
 * changes nothing, but an answer "refused" after an answer was lost does not tell whether an earlier copy was carried
 * out; see isAmbiguous(). One thread.
 */
class OrderRound
{
public:
    /** @param epoch in which alone the orders hold */
    OrderRound(RankControl &control, std::uint64_t epoch, std::vector<RoundItem> items);

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
    void again(std::size_t index, SteadyTime notBefore);

    /** Most copies that any rank was sent. */
    int mostSends() const;

private:
    struct Slot
    {
        RoundItem item{};
        OrderReply reply = OrderReply::NoAnswer;
        bool isWaiting = false;
        bool isAnswered = false;
        bool lostAnswer = false;
        int sends = 0;
        SteadyTime notBefore{};
    };

    RankControl &m_control;
    std::uint64_t m_epoch;
    std::shared_ptr<std::vector<Slot>> m_slots; ///< outlives this object in answers that come late
};

} // namespace Heatherridge
