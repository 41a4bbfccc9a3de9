#include "heatherridge_coordination/groups/orderbatch.h"

#include <algorithm>

namespace Heatherridge
{

OrderBatch::OrderBatch(RankControl &control, std::uint64_t epoch, std::vector<OrderBatchItem> items,
                       std::size_t maxPending)
    : m_state(std::make_shared<State>(State{.control = control, .epoch = epoch, .maxPending = maxPending}))
{
    for (auto &item : items) {
        m_state->entries.push_back({.item = std::move(item)});
    }
}

OrderBatch::~OrderBatch()
{
    m_state->isClosed = true;
}

void OrderBatch::tick(SteadyTime now)
{
    m_state->now = now;
    sendDue(m_state);
}

void OrderBatch::sendDue(const std::shared_ptr<State> &state)
{
    if (state->isSending) {
        return; // an answer arrived synchronously; the loop that is running continues
    }
    state->isSending = true;
    for (std::size_t index = 0; index < state->entries.size() && state->pendingCount < state->maxPending; ++index) {
        const auto &entry = state->entries[index];
        if (!entry.isPending && !entry.isAnswered && state->now >= entry.notBefore) {
            sendEntry(state, index);
        }
    }
    state->isSending = false;
}

void OrderBatch::sendEntry(const std::shared_ptr<State> &state, std::size_t index)
{
    auto &entry = state->entries[index];
    entry.isPending = true;
    ++entry.sends;
    ++state->pendingCount;
    state->control.sendOrder(entry.item.target, entry.item.order, state->epoch, [state, index](OrderReply reply) {
        auto &answered = state->entries[index];
        answered.isPending = false;
        answered.reply = reply;
        answered.isAnswered = reply != OrderReply::NoAnswer;
        answered.hasLostAnswer = answered.hasLostAnswer || reply == OrderReply::NoAnswer;
        // Not before the next tick: an order that fails immediately would be repeated endlessly.
        answered.notBefore = state->now + std::chrono::milliseconds(1);
        --state->pendingCount;
        if (!state->isClosed && state->maxPending != Unlimited) {
            sendDue(state);
        }
    });
}

bool OrderBatch::isDone() const
{
    return std::all_of(m_state->entries.begin(), m_state->entries.end(),
                       [](const auto &entry) { return entry.isAnswered; });
}

std::size_t OrderBatch::size() const
{
    return m_state->entries.size();
}

bool OrderBatch::isAnswered(std::size_t index) const
{
    return m_state->entries[index].isAnswered;
}

OrderReply OrderBatch::reply(std::size_t index) const
{
    return m_state->entries[index].reply;
}

bool OrderBatch::isAmbiguous(std::size_t index) const
{
    const auto &entry = m_state->entries[index];
    return entry.isAnswered && entry.reply == OrderReply::Refused && entry.hasLostAnswer;
}

void OrderBatch::scheduleResend(std::size_t index, SteadyTime notBefore)
{
    auto &entry = m_state->entries[index];
    entry.isAnswered = false;
    entry.notBefore = notBefore;
}

int OrderBatch::maxSends() const
{
    int highest = 0;
    for (const auto &entry : m_state->entries) {
        highest = std::max(highest, entry.sends);
    }
    return highest;
}

} // namespace Heatherridge
