#include "heatherridge_coordination/groups/holdrecovery.h"

#include <algorithm>

namespace Heatherridge
{

HoldRecovery::HoldRecovery(RankControl &control, RecoveryPlan plan, DrawNumber drawNumber)
    : m_control(control)
    , m_plan(std::move(plan))
    , m_drawNumber(std::move(drawNumber))
    , m_ranks(m_plan.ranks.size())
    , m_alive(std::make_shared<int>(0))
{
}

void HoldRecovery::tick(SteadyTime now)
{
    if (m_began == SteadyTime{}) {
        m_began = now;
    }
    if (m_phase != Phase::Over && now - m_began > Patience) {
        finish(End::Failed, "it took too long");
        return;
    }
    switch (m_phase) {
    case Phase::Looking:
        lookAtAll(now);
        if (allLooked()) {
            guard(now);
        }
        break;
    case Phase::Guarding:
        guarded(now);
        break;
    case Phase::Fencing:
        fenceAll(now);
        break;
    case Phase::Verifying:
        lookAtAll(now);
        if (allLooked()) {
            verify(now);
        }
        break;
    case Phase::Releasing:
        m_round->tick(now);
        if (m_round->isDone()) {
            finish(End::Released, {});
        }
        break;
    case Phase::Over:
        break;
    }
}

HoldRecovery::End HoldRecovery::end() const
{
    return m_end;
}

const std::string &HoldRecovery::reason() const
{
    return m_reason;
}

void HoldRecovery::look(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.status || rank.isAsking || now < rank.notBefore) {
        return;
    }
    rank.isAsking = true;
    m_control.status(m_plan.ranks[index],
                     [this, index, now, alive = std::weak_ptr(m_alive)](const Result<RankStatus> &status) {
                         if (alive.expired()) {
                             return;
                         }
                         auto &asked = m_ranks[index];
                         asked.isAsking = false;
                         const auto *known = std::get_if<RankStatus>(&status);
                         if (known == nullptr) {
                             asked.notBefore = now + AskAgainPause;
                             return;
                         }
                         if (now - known->lag < asked.freshFrom) {
                             asked.notBefore = asked.freshFrom + known->lag;
                             return;
                         }
                         if (known->epoch != m_plan.epoch) {
                             finish(End::Gone, "the group has formed anew");
                             return;
                         }
                         asked.status = *known;
                     });
}

void HoldRecovery::lookAtAll(SteadyTime now)
{
    for (std::size_t index = 0; index < m_ranks.size() && m_phase != Phase::Over; ++index) {
        look(index, now);
    }
}

bool HoldRecovery::allLooked() const
{
    return m_phase != Phase::Over
        && std::all_of(m_ranks.begin(), m_ranks.end(), [](const auto &rank) { return rank.status.has_value(); });
}

void HoldRecovery::forgetStatus(Rank &rank, SteadyTime freshFrom)
{
    rank.status.reset();
    rank.freshFrom = freshFrom;
    rank.notBefore = freshFrom;
}

void HoldRecovery::guard(SteadyTime now)
{
    const auto holds = [this](const Rank &rank) { return rank.status->heldStep == m_plan.heldStep; };
    if (std::none_of(m_ranks.begin(), m_ranks.end(), holds)) {
        finish(End::Gone, "nothing is held");
        return;
    }
    if (!m_plan.mayJoin && isOtherUnderWay()) {
        finish(End::LeftToOther, "another recovery is under way");
        return;
    }
    // Rank 0 is where switches hold; a rank that holds another pass refuses a second one.
    m_guard = 0;
    for (std::size_t index = m_ranks.size(); index-- > 1;) {
        if (!m_ranks[index].status->heldStep || holds(m_ranks[index])) {
            m_guard = index;
        }
    }
    if (m_guard == 0) {
        finish(End::Failed, "no rank to hold the pass at");
        return;
    }
    m_phase = Phase::Guarding;
    m_round = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks[m_guard], .order = HoldStep{.step = m_plan.heldStep}}});
    m_round->tick(now);
}

void HoldRecovery::guarded(SteadyTime now)
{
    m_round->tick(now);
    if (!m_round->isDone()) {
        return;
    }
    if (m_round->reply(0) == OrderReply::Refused) {
        finish(End::Gone, "the pass has begun");
        return;
    }
    m_phase = Phase::Fencing;
}

void HoldRecovery::fenceAll(SteadyTime now)
{
    bool isDone = true;
    for (std::size_t index = 0; index < m_ranks.size() && m_phase == Phase::Fencing; ++index) {
        fence(index, now);
        isDone = isDone && m_ranks[index].isFenced;
    }
    if (isDone && m_phase == Phase::Fencing) {
        for (auto &rank : m_ranks) {
            forgetStatus(rank, now);
        }
        m_phase = Phase::Verifying;
    }
}

void HoldRecovery::fence(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.isFenced) {
        return;
    }
    if (rank.orders) {
        rank.orders->tick(now);
        if (rank.orders->isDone()) {
            orderEnded(rank, now);
        }
        return;
    }
    look(index, now);
    if (m_phase == Phase::Fencing && rank.status) {
        disarmOrPrepare(index, now);
    }
}

void HoldRecovery::orderEnded(Rank &rank, SteadyTime now)
{
    const bool isAccepted = rank.orders->reply(0) == OrderReply::Accepted;
    rank.orders.reset();
    rank.isFenced = isAccepted && rank.fence.has_value();
    if (!rank.isFenced) {
        // Disarmed, or refused: what it has now is told by a status that is younger than the order.
        rank.armedSeen.reset();
        forgetStatus(rank, now);
    }
}

void HoldRecovery::disarmOrPrepare(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.fence && rank.status->prepared == rank.fence && !rank.status->armed) {
        rank.isFenced = true; // its answer was lost
        return;
    }
    rank.fence.reset();
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
        layout.push_back(layoutAround(static_cast<int>(index), held, static_cast<int>(m_ranks.size()), m_plan.experts));
    }
    const auto seen = std::max(rank.status->map, rank.status->prepared.value_or(MapNumber{}));
    rank.fence = m_drawNumber(seen);
    give(index, PrepareMap{.map = *rank.fence, .layout = std::move(layout)}, now);
}

void HoldRecovery::disarm(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (!rank.armedSeen) {
        rank.armedSeen = now;
    }
    if (m_guardSeen < *rank.armedSeen) {
        askGuard(now);
        return;
    }
    rank.armedSeen.reset();
    give(index, DisarmMap{.map = *rank.status->armed}, now);
}

void HoldRecovery::askGuard(SteadyTime now)
{
    if (m_isAskingGuard || now < m_guardNotBefore) {
        return;
    }
    m_isAskingGuard = true;
    m_control.status(m_plan.ranks[m_guard],
                     [this, now, alive = std::weak_ptr(m_alive)](const Result<RankStatus> &status) {
                         if (alive.expired()) {
                             return;
                         }
                         m_isAskingGuard = false;
                         const auto *known = std::get_if<RankStatus>(&status);
                         if (known == nullptr) {
                             return; // asked again at the next tick
                         }
                         if (known->heldStep == m_plan.heldStep) {
                             m_guardSeen = now - known->lag;
                             m_guardNotBefore = now + known->lag;
                         } else {
                             finish(End::Gone, "another recovery has ended");
                         }
                     });
}

void HoldRecovery::readExperts(std::size_t index, SteadyTime now)
{
    auto &rank = m_ranks[index];
    if (rank.isAsking || now < rank.notBefore) {
        return;
    }
    rank.isAsking = true;
    m_control.experts(m_plan.ranks[index],
                      [this, index, now, alive = std::weak_ptr(m_alive)](const Result<RankExperts> &experts) {
                          if (alive.expired()) {
                              return;
                          }
                          auto &asked = m_ranks[index];
                          asked.isAsking = false;
                          if (const auto *known = std::get_if<RankExperts>(&experts)) {
                              asked.experts = *known;
                          } else {
                              asked.notBefore = now + AskAgainPause;
                          }
                      });
}

bool HoldRecovery::isOtherUnderWay() const
{
    // Switches hold at rank 0 alone.
    return std::any_of(m_ranks.begin() + 1, m_ranks.end(),
                       [this](const auto &rank) { return rank.status->heldStep == m_plan.heldStep; });
}

bool HoldRecovery::isSound(std::size_t index) const
{
    const auto &rank = m_ranks[index];
    return !rank.status->armed && rank.status->prepared == rank.fence;
}

void HoldRecovery::verify(SteadyTime now)
{
    std::size_t sound = 0;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        sound += isSound(index) ? 1 : 0;
    }
    if (sound == m_ranks.size()) {
        release(now);
        return;
    }
    // Another recovery, or a switch: two that fence each other's fences away would never end. So the one whose fence
    // stands at rank 0 goes on, once, and the other ends.
    if (isSound(0) && !m_hasFencedAgain) {
        fenceAgain(now);
        return;
    }
    finish(End::Failed, "another process is at work");
}

void HoldRecovery::fenceAgain(SteadyTime now)
{
    m_hasFencedAgain = true;
    m_phase = Phase::Fencing;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        if (!isSound(index)) {
            m_ranks[index].isFenced = false;
            m_ranks[index].fence.reset();
        }
    }
    fenceAll(now);
}

void HoldRecovery::release(SteadyTime now)
{
    std::vector<OrderBatchItem> items;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        if (index == 0 || index == m_guard || m_ranks[index].status->heldStep == m_plan.heldStep) {
            items.push_back({.target = m_plan.ranks[index], .order = ReleaseStep{.step = m_plan.heldStep}});
        }
    }
    m_phase = Phase::Releasing;
    m_round = std::make_unique<OrderBatch>(m_control, m_plan.epoch, std::move(items));
    m_round->tick(now);
}

void HoldRecovery::give(std::size_t index, RankOrder order, SteadyTime now)
{
    auto &rank = m_ranks[index];
    rank.orders = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks[index], .order = std::move(order)}});
    rank.orders->tick(now);
}

void HoldRecovery::finish(End end, std::string reason)
{
    m_phase = Phase::Over;
    m_end = end;
    m_reason = std::move(reason);
    m_alive.reset();
}

} // namespace Heatherridge
