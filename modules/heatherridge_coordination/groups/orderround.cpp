#include "heatherridge_coordination/groups/orderround.h"

#include <algorithm>

namespace Heatherridge
{

OrderRound::OrderRound(RankControl &control, std::uint64_t epoch, std::vector<RoundItem> items)
    : m_control(control)
    , m_epoch(epoch)
    , m_slots(std::make_shared<std::vector<Slot>>())
{
    for (auto &item : items) {
        m_slots->push_back({.item = std::move(item)});
    }
}

void OrderRound::tick(SteadyTime now)
{
    for (std::size_t index = 0; index < m_slots->size(); ++index) {
        auto &slot = (*m_slots)[index];
        if (slot.isWaiting || slot.isAnswered || now < slot.notBefore) {
            continue;
        }
        slot.isWaiting = true;
        ++slot.sends;
        m_control.order(slot.item.target, slot.item.order, m_epoch, [slots = m_slots, index](OrderReply reply) {
            auto &answered = (*slots)[index];
            answered.isWaiting = false;
            answered.reply = reply;
            answered.isAnswered = reply != OrderReply::NoAnswer;
            answered.lostAnswer = answered.lostAnswer || reply == OrderReply::NoAnswer;
        });
    }
}

bool OrderRound::isDone() const
{
    return std::all_of(m_slots->begin(), m_slots->end(), [](const auto &slot) { return slot.isAnswered; });
}

std::size_t OrderRound::size() const
{
    return m_slots->size();
}

bool OrderRound::isAnswered(std::size_t index) const
{
    return (*m_slots)[index].isAnswered;
}

OrderReply OrderRound::reply(std::size_t index) const
{
    return (*m_slots)[index].reply;
}

bool OrderRound::isAmbiguous(std::size_t index) const
{
    const auto &slot = (*m_slots)[index];
    return slot.isAnswered && slot.reply == OrderReply::Refused && slot.lostAnswer;
}

void OrderRound::again(std::size_t index, SteadyTime notBefore)
{
    auto &slot = (*m_slots)[index];
    slot.isAnswered = false;
    slot.notBefore = notBefore;
}

int OrderRound::mostSends() const
{
    int most = 0;
    for (const auto &slot : *m_slots) {
        most = std::max(most, slot.sends);
    }
    return most;
}

} // namespace Heatherridge
