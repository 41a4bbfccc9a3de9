#include "heatherridge_coordination/groups/holdrecovery.h"

#include "heatherridge_coordination/groups/rankmonitor.h"

#include <algorithm>

namespace Heatherridge
{

HoldRecovery::HoldRecovery(RankControl &control, RecoveryPlan plan, AllocateMapNumber allocateMapNumber)
    : m_control(control)
    , m_plan(std::move(plan))
    , m_allocateMapNumber(std::move(allocateMapNumber))
    , m_ranks(m_plan.ranks.size())
    , m_alive(std::make_shared<int>(0))
{
}

void HoldRecovery::tick(SteadyTime now)
{
    if (m_startedAt == SteadyTime{}) {
        m_startedAt = now;
    }
    if (m_phase != Phase::Finished && now - m_startedAt > Timeout) {
        finish(State::Failed, "timed out");
        return;
    }
    switch (m_phase) {
    case Phase::ReadingStatuses:
        queryAllStatuses(now);
        if (hasAllStatuses()) {
            placeSecondHold(now);
        }
        break;
    case Phase::PlacingSecondHold:
        checkSecondHold(now);
        break;
    case Phase::Fencing:
        fenceRanks(now);
        break;
    case Phase::Verifying:
        queryAllStatuses(now);
        if (hasAllStatuses()) {
            verifyFences(now);
        }
        break;
    case Phase::Releasing:
        m_orders->tick(now);
        if (m_orders->isDone()) {
            finish(State::Released, {});
        }
        break;
    case Phase::Finished:
        break;
    }
}

HoldRecovery::State HoldRecovery::state() const
{
    return m_state;
}

const std::string &HoldRecovery::reason() const
{
    return m_reason;
}

void HoldRecovery::queryStatus(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.status || rank.isQueryPending || now < rank.nextQueryAt) {
        return;
    }
    rank.isQueryPending = true;
    m_control.fetchStatus(m_plan.ranks[index],
                          [this, index, now, alive = std::weak_ptr(m_alive)](const Result<RankStatus> &status) {
                              if (alive.expired()) {
                                  return;
                              }
                              auto &queried = m_ranks[index];
                              queried.isQueryPending = false;
                              const auto *known = std::get_if<RankStatus>(&status);
                              if (known == nullptr) {
                                  queried.nextQueryAt = now + RetryDelay;
                                  return;
                              }
                              if (now - known->maxAge < queried.minStatusTime) {
                                  queried.nextQueryAt = queried.minStatusTime + known->maxAge;
                                  return;
                              }
                              if (known->epoch != m_plan.epoch) {
                                  finish(State::NothingHeld, "the group has entered another epoch");
                                  return;
                              }
                              queried.status = *known;
                          });
}

void HoldRecovery::queryAllStatuses(SteadyTime now)
{
    for (std::size_t index = 0; index < m_ranks.size() && m_phase != Phase::Finished; ++index) {
        queryStatus(index, now);
    }
}

bool HoldRecovery::hasAllStatuses() const
{
    return m_phase != Phase::Finished
        && std::all_of(m_ranks.begin(), m_ranks.end(), [](const auto &rank) { return rank.status.has_value(); });
}

void HoldRecovery::invalidateStatus(RankState &rank, SteadyTime minStatusTime)
{
    rank.status.reset();
    rank.minStatusTime = minStatusTime;
    rank.nextQueryAt = minStatusTime;
}

void HoldRecovery::placeSecondHold(SteadyTime now)
{
    const auto holdsThisStep = [this](const RankState &rank) { return rank.status->heldStep == m_plan.heldStep; };
    if (std::none_of(m_ranks.begin(), m_ranks.end(), holdsThisStep)) {
        finish(State::NothingHeld, "the pass is not held any more");
        return;
    }
    if (std::all_of(m_ranks.begin(), m_ranks.end(),
                    [this](const auto &rank) { return hasBeenReleased(*rank.status); })) {
        releaseHolds(now);
        return;
    }
    if (!m_plan.mayJoin && isOtherRecoveryRunning()) {
        finish(State::YieldedToOther, "another recovery is running");
        return;
    }
    // Switches hold at rank 0, so the second hold needs another rank; a rank that holds another pass refuses a second
    // hold.
    m_secondHoldRank = 0;
    for (std::size_t index = m_ranks.size(); index-- > 1;) {
        if (!m_ranks[index].status->heldStep || holdsThisStep(m_ranks[index])) {
            m_secondHoldRank = index;
        }
    }
    if (m_secondHoldRank == 0) {
        finish(State::Failed, "no rank is free to take the second hold");
        return;
    }
    m_phase = Phase::PlacingSecondHold;
    m_orders = std::make_unique<OrderBatch>(m_control, m_plan.epoch,
                                            std::vector<OrderBatchItem>{{.target = m_plan.ranks[m_secondHoldRank],
                                                                         .order = HoldStep{.step = m_plan.heldStep}}});
    m_orders->tick(now);
}

void HoldRecovery::checkSecondHold(SteadyTime now)
{
    m_orders->tick(now);
    if (!m_orders->isDone()) {
        return;
    }
    if (m_orders->reply(0) == OrderReply::Refused) {
        finish(State::NothingHeld, "the group has already begun the pass");
        return;
    }
    m_phase = Phase::Fencing;
}

void HoldRecovery::fenceRanks(SteadyTime now)
{
    bool areAllFenced = true;
    for (std::size_t index = 0; index < m_ranks.size() && m_phase == Phase::Fencing; ++index) {
        fenceRank(index, now);
        areAllFenced = areAllFenced && m_ranks[index].isFenced;
    }
    if (areAllFenced && m_phase == Phase::Fencing) {
        for (auto &rank : m_ranks) {
            invalidateStatus(rank, now);
        }
        m_phase = Phase::Verifying;
    }
}

void HoldRecovery::fenceRank(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.isFenced) {
        return;
    }
    if (rank.pendingOrder) {
        rank.pendingOrder->tick(now);
        if (rank.pendingOrder->isDone()) {
            handleOrderReply(rank, now);
        }
        return;
    }
    queryStatus(index, now);
    if (m_phase == Phase::Fencing && rank.status) {
        disarmOrPrepare(index, now);
    }
}

void HoldRecovery::handleOrderReply(RankState &rank, SteadyTime now)
{
    const bool isAccepted = rank.pendingOrder->reply(0) == OrderReply::Accepted;
    rank.pendingOrder.reset();
    rank.isFenced = isAccepted && rank.fenceMap.has_value();
    if (!rank.isFenced) {
        // Disarmed, or refused: only a status that is younger than the order shows the rank's present state.
        rank.armedSince.reset();
        invalidateStatus(rank, now);
    }
}

void HoldRecovery::disarmOrPrepare(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.fenceMap && rank.status->prepared == rank.fenceMap && !rank.status->armed) {
        rank.isFenced = true; // the order was executed, its answer was lost
        return;
    }
    rank.fenceMap.reset();
    if (rank.status->armed) {
        disarm(index, now);
        return;
    }
    if (!rank.experts) {
        readExperts(index, now);
        return;
    }
    ExpertLayout layout;
    for (const auto &held : rank.experts->bySet) {
        layout.push_back(
            layoutWithFixedRank(static_cast<int>(index), held, static_cast<int>(m_ranks.size()), m_plan.experts));
    }
    rank.fenceMap = m_allocateMapNumber(*rank.status);
    startOrder(index, PrepareMap{.map = *rank.fenceMap, .layout = std::move(layout)}, now);
}

void HoldRecovery::disarm(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (hasBeenReleased(*rank.status)) {
        finish(State::NothingHeld, "another recovery has released the pass, and a later switch is in progress");
        return;
    }
    if (!rank.armedSince) {
        rank.armedSince = now;
    }
    if (m_secondHoldConfirmedAt < *rank.armedSince) {
        confirmSecondHold(now);
        return;
    }
    rank.armedSince.reset();
    startOrder(index, DisarmMap{.map = *rank.status->armed}, now);
}

void HoldRecovery::confirmSecondHold(SteadyTime now)
{
    if (m_isConfirmingSecondHold || now < m_nextConfirmationAt) {
        return;
    }
    m_isConfirmingSecondHold = true;
    m_control.fetchStatus(m_plan.ranks[m_secondHoldRank],
                          [this, now, alive = std::weak_ptr(m_alive)](const Result<RankStatus> &status) {
                              if (alive.expired()) {
                                  return;
                              }
                              m_isConfirmingSecondHold = false;
                              const auto *known = std::get_if<RankStatus>(&status);
                              if (known == nullptr) {
                                  return; // retried at the next tick
                              }
                              if (known->heldStep == m_plan.heldStep) {
                                  m_secondHoldConfirmedAt = now - known->maxAge;
                                  m_nextConfirmationAt = now + known->maxAge;
                              } else {
                                  finish(State::NothingHeld, "another recovery has released the pass");
                              }
                          });
}

void HoldRecovery::readExperts(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.isQueryPending || now < rank.nextQueryAt) {
        return;
    }
    rank.isQueryPending = true;
    m_control.fetchExperts(m_plan.ranks[index],
                           [this, index, now, alive = std::weak_ptr(m_alive)](const Result<RankExperts> &experts) {
                               if (alive.expired()) {
                                   return;
                               }
                               auto &queried = m_ranks[index];
                               queried.isQueryPending = false;
                               if (const auto *known = std::get_if<RankExperts>(&experts)) {
                                   queried.experts = *known;
                               } else {
                                   queried.nextQueryAt = now + RetryDelay;
                               }
                           });
}

bool HoldRecovery::isOtherRecoveryRunning() const
{
    // Switches hold at rank 0 only.
    return std::any_of(m_ranks.begin() + 1, m_ranks.end(),
                       [this](const auto &rank) { return rank.status->heldStep == m_plan.heldStep; });
}

bool HoldRecovery::hasBeenReleased(const RankStatus &status) const
{
    return RankMonitor::heldStepBoundsOf(status).used >= m_plan.heldStep;
}

bool HoldRecovery::isFenceIntact(std::size_t index) const
{
    const auto &rank = m_ranks[index];
    return !rank.status->armed && rank.status->prepared == rank.fenceMap;
}

void HoldRecovery::verifyFences(SteadyTime now)
{
    std::size_t intact = 0;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        intact += isFenceIntact(index) ? 1 : 0;
    }
    if (intact == m_ranks.size()) {
        releaseHolds(now);
        return;
    }
    // Another recovery or a switch is running. Two recoveries that replace each other's fences would never end, so the
    // one whose fence is in place at rank 0 continues, once, and the other ends.
    if (isFenceIntact(0) && !m_hasRepeatedFencing) {
        repeatFencing(now);
        return;
    }
    finish(State::Failed, "another process has changed the ranks in the meantime");
}

void HoldRecovery::repeatFencing(SteadyTime now)
{
    m_hasRepeatedFencing = true;
    m_phase = Phase::Fencing;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        if (!isFenceIntact(index)) {
            m_ranks[index].isFenced = false;
            m_ranks[index].fenceMap.reset();
        }
    }
    fenceRanks(now);
}

void HoldRecovery::releaseHolds(SteadyTime now)
{
    std::vector<OrderBatchItem> items;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        if (index == 0 || index == m_secondHoldRank || m_ranks[index].status->heldStep == m_plan.heldStep) {
            items.push_back({.target = m_plan.ranks[index], .order = ReleaseStep{.step = m_plan.heldStep}});
        }
    }
    m_phase = Phase::Releasing;
    m_orders = std::make_unique<OrderBatch>(m_control, m_plan.epoch, std::move(items));
    m_orders->tick(now);
}

void HoldRecovery::startOrder(std::size_t index, RankOrder order, SteadyTime now)
{
    auto &rank = m_ranks[index];
    rank.pendingOrder = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks[index], .order = std::move(order)}});
    rank.pendingOrder->tick(now);
}

void HoldRecovery::finish(State state, std::string reason)
{
    m_phase = Phase::Finished;
    m_state = state;
    m_reason = std::move(reason);
    m_alive.reset();
}

} // namespace Heatherridge
