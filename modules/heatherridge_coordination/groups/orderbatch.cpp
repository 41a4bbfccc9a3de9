#include "heatherridge_coordination/groups/orderbatch.h"

#include <algorithm>

namespace Heatherridge
{

OrderBatch::OrderBatch(RankControl &control, std::uint64_t epoch, std::vector<OrderBatchItem> items,
                       std::size_t mostOpen)
    : m_state(std::make_shared<State>(State{.control = control, .epoch = epoch, .mostOpen = mostOpen}))
{
    for (auto &item : items) {
        m_state->slots.push_back({.item = std::move(item)});
    }
}

OrderBatch::~OrderBatch()
{
    m_state->isOver = true;
}

void OrderBatch::tick(SteadyTime now)
{
    m_state->now = now;
    sendDue(m_state);
}

void OrderBatch::sendDue(const std::shared_ptr<State> &state)
{
    if (state->isSending) {
        return; // an answer came at once; whoever sends goes on
    }
    state->isSending = true;
    for (std::size_t index = 0; index < state->slots.size() && state->open < state->mostOpen; ++index) {
        const auto &slot = state->slots[index];
        if (!slot.isWaiting && !slot.isAnswered && state->now >= slot.notBefore) {
            send(state, index);
        }
    }
    state->isSending = false;
}

void OrderBatch::send(const std::shared_ptr<State> &state, std::size_t index)
{
    auto &slot = state->slots[index];
    slot.isWaiting = true;
    ++slot.sends;
    ++state->open;
    state->control.order(slot.item.target, slot.item.order, state->epoch, [state, index](OrderReply reply) {
        auto &answered = state->slots[index];
        answered.isWaiting = false;
        answered.reply = reply;
        answered.isAnswered = reply != OrderReply::NoAnswer;
        answered.lostAnswer = answered.lostAnswer || reply == OrderReply::NoAnswer;
        // Not before the next tick: an answer that fails at once would be asked for without end.
        answered.notBefore = state->now + std::chrono::milliseconds(1);
        --state->open;
        if (!state->isOver && state->mostOpen != AllAtOnce) {
            sendDue(state);
        }
    });
}

bool OrderBatch::isDone() const
{
    return std::all_of(m_state->slots.begin(), m_state->slots.end(), [](const auto &slot) { return slot.isAnswered; });
}

std::size_t OrderBatch::size() const
{
    return m_state->slots.size();
}

bool OrderBatch::isAnswered(std::size_t index) const
{
    return m_state->slots[index].isAnswered;
}

OrderReply OrderBatch::reply(std::size_t index) const
{
    return m_state->slots[index].reply;
}

bool OrderBatch::isAmbiguous(std::size_t index) const
{
    const auto &slot = m_state->slots[index];
    return slot.isAnswered && slot.reply == OrderReply::Refused && slot.lostAnswer;
}

void OrderBatch::again(std::size_t index, SteadyTime notBefore)
{
    auto &slot = m_state->slots[index];
    slot.isAnswered = false;
    slot.notBefore = notBefore;
}

int OrderBatch::mostSends() const
{
    int most = 0;
    for (const auto &slot : m_state->slots) {
        most = std::max(most, slot.sends);
    }
    return most;
}

} // namespace Heatherridge
