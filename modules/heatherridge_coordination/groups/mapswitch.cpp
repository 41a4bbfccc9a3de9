#include "heatherridge_coordination/groups/mapswitch.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/**
 * Passes between the present and the held one in addition to those that the status and the order take: the hold arrives
 * while the group works on one of them.
 */
constexpr std::uint64_t SparePasses = 1;
/** From reading the present pass to the arrival of the hold, for a process that gets a fifth of a core. */
constexpr milliseconds HoldLatency{60};
/**
 * Prepare orders that may wait for an answer at a time: each carries the whole map, and sending this many takes only
 * part of the answer timeout on a link of a hundred megabits per second.
 */
constexpr std::size_t MaxPendingPrepares = 32;
/** Longest time that each further copy of an order takes: the answer timeout and the transit time. */
constexpr milliseconds ResendDelay{90};

} // namespace

MapSwitch::MapSwitch(RankControl &control, MapSwitchPlan plan)
    : m_control(control)
    , m_plan(std::move(plan))
    , m_alive(std::make_shared<int>(0))
{
    startPreparing();
}

void MapSwitch::tick(SteadyTime now, bool mayHold)
{
    if (m_startedAt == SteadyTime{}) {
        m_startedAt = now;
        m_phaseStartedAt = now;
    }
    if (m_orders) {
        m_orders->tick(now);
    }
    switch (m_phase) {
    case Phase::Preparing:
        checkPrepared(now);
        break;
    case Phase::Copying:
        if (now - m_phaseStartedAt > m_plan.copyTime + MaxHoldDelay) {
            finish(State::Abandoned, "expired before it held a pass");
        } else if (mayHold && now - m_phaseStartedAt >= m_plan.copyTime) {
            readStep(now);
        }
        break;
    case Phase::ReadingStep:
        if (m_leadingRankStatus) {
            startHold(*std::exchange(m_leadingRankStatus, {}), now);
        } else if (now - m_phaseStartedAt > OrderTimeout) {
            finish(State::Abandoned, "rank 0 does not report the present pass");
        }
        break;
    case Phase::Holding:
        checkHold(now);
        break;
    case Phase::Arming:
        checkArming(now);
        break;
    case Phase::Releasing:
        checkRelease(now);
        break;
    case Phase::Finished:
        break;
    }
}

MapSwitch::State MapSwitch::state() const
{
    return m_state;
}

bool MapSwitch::isHolding() const
{
    return m_phase == Phase::ReadingStep || m_phase == Phase::Holding || m_phase == Phase::Arming
        || m_phase == Phase::Releasing;
}

std::uint64_t MapSwitch::heldStep() const
{
    return m_heldStep;
}

const std::string &MapSwitch::reason() const
{
    return m_reason;
}

int MapSwitch::maxSends() const
{
    return m_maxSends;
}

const MapSwitchPlan &MapSwitch::plan() const
{
    return m_plan;
}

void MapSwitch::startPreparing()
{
    std::vector<OrderBatchItem> items;
    for (std::size_t rank = 0; rank < m_plan.ranks.size(); ++rank) {
        items.push_back(
            {.target = m_plan.ranks[rank], .order = PrepareMap{.map = m_plan.mapNumber, .layout = m_plan.layout}});
    }
    m_orders = std::make_unique<OrderBatch>(m_control, m_plan.epoch, std::move(items), MaxPendingPrepares);
}

void MapSwitch::checkPrepared(SteadyTime now)
{
    if (!m_orders->isDone()) {
        if (now - m_phaseStartedAt > OrderTimeout) {
            finish(State::Abandoned, "a rank does not answer the prepare order");
        }
        return;
    }
    m_maxSends = std::max(m_maxSends, m_orders->maxSends());
    for (std::size_t rank = 0; rank < m_orders->size(); ++rank) {
        // Also after a lost answer: that an earlier copy was executed is not certain, and the number may be another
        // process's.
        if (m_orders->reply(rank) == OrderReply::Refused) {
            finish(State::Abandoned, "rank " + std::to_string(rank) + " refused the prepare order");
            return;
        }
    }
    m_orders.reset();
    m_phase = Phase::Copying;
    m_phaseStartedAt = now;
}

void MapSwitch::readStep(SteadyTime now)
{
    m_phase = Phase::ReadingStep;
    m_phaseStartedAt = now;
    m_control.fetchStatus(m_plan.ranks.front(), [this, alive = std::weak_ptr(m_alive)](Result<RankStatus> status) {
        if (alive.expired()) {
            return;
        }
        if (const auto *error = errorIn(status)) {
            finish(State::Abandoned, "rank 0: " + error->detail);
            return;
        }
        m_leadingRankStatus = std::get<RankStatus>(status);
    });
}

void MapSwitch::startHold(const RankStatus &status, SteadyTime now)
{
    if (status.epoch != m_plan.epoch || !status.isOpen || status.heldStep) {
        finish(State::Abandoned, "the group has changed its epoch, is not open or is held");
        return;
    }
    if (status.prepared && *status.prepared > m_plan.mapNumber) {
        finish(State::Abandoned, "another process has prepared a map");
        return;
    }
    const auto heldStep = std::max(status.step + marginSteps(), m_plan.afterStep + 1);
    if (heldStep > m_plan.untilStep) {
        finish(State::Abandoned, "no pass is left that its map number allows to hold");
        return;
    }
    m_heldStep = heldStep;
    ++m_holdAttempts;
    m_phase = Phase::Holding;
    m_phaseStartedAt = now;
    m_orders = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks.front(), .order = HoldStep{.step = m_heldStep}}});
    m_orders->tick(now);
}

void MapSwitch::checkHold(SteadyTime now)
{
    if (!m_orders->isDone()) {
        if (now - m_phaseStartedAt > OrderTimeout) {
            finish(State::Stuck, "rank 0 does not answer the hold order");
        }
        return;
    }
    m_maxSends = std::max(m_maxSends, m_orders->maxSends());
    if (m_orders->isAmbiguous(0)) {
        finish(State::Stuck, "it is unknown whether the pass is held");
        return;
    }
    if (m_orders->reply(0) == OrderReply::Refused) {
        if (m_holdAttempts >= MaxHoldAttempts) {
            finish(State::Abandoned, "the group had already begun each chosen pass");
            return;
        }
        m_orders.reset();
        readStep(now);
        return;
    }
    startArming(now);
}

void MapSwitch::startArming(SteadyTime now)
{
    std::vector<OrderBatchItem> items;
    for (std::size_t rank = 0; rank < m_plan.ranks.size(); ++rank) {
        items.push_back({.target = m_plan.ranks[rank], .order = ArmMap{.map = m_plan.mapNumber, .step = m_heldStep}});
    }
    m_orders = std::make_unique<OrderBatch>(m_control, m_plan.epoch, std::move(items));
    m_phase = Phase::Arming;
    m_phaseStartedAt = now;
    m_orders->tick(now);
}

void MapSwitch::checkArming(SteadyTime now)
{
    if (now - m_phaseStartedAt > ArmTimeout) {
        finish(State::Stuck, "not armed: " + describeUnarmedRanks());
        return;
    }
    for (std::size_t rank = 0; rank < m_orders->size(); ++rank) {
        if (m_orders->reply(rank) == OrderReply::Refused) {
            m_orders->scheduleResend(rank, now + ArmRetryDelay); // still copying
        }
    }
    if (!m_orders->isDone()) {
        return;
    }
    startRelease(now);
}

std::string MapSwitch::describeUnarmedRanks() const
{
    std::string ranks;
    for (std::size_t rank = 0; rank < m_orders->size(); ++rank) {
        if (!m_orders->isAnswered(rank) || m_orders->reply(rank) == OrderReply::Refused) {
            const auto *outcome = m_orders->reply(rank) == OrderReply::Refused ? " refused" : " no answer";
            ranks += (ranks.empty() ? "" : ", ") + m_plan.ranks[rank].id.text() + outcome;
        }
    }
    return ranks;
}

void MapSwitch::startRelease(SteadyTime now)
{
    m_phase = Phase::Releasing;
    m_phaseStartedAt = now;
    m_orders = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks.front(), .order = ReleaseStep{.step = m_heldStep}}});
    m_orders->tick(now);
}

void MapSwitch::checkRelease(SteadyTime now)
{
    if (!m_orders->isDone()) {
        if (now - m_phaseStartedAt > OrderTimeout) {
            finish(State::Stuck, "rank 0 does not answer the release order");
        }
        return;
    }
    // Refused means that nothing is held any more: an earlier copy was executed, or another process reverted the hold.
    finish(State::Switched, {});
}

void MapSwitch::finish(State state, std::string reason)
{
    m_phase = Phase::Finished;
    m_state = state;
    m_reason = std::move(reason);
    m_maxSends = m_orders ? std::max(m_maxSends, m_orders->maxSends()) : m_maxSends;
    m_orders.reset();
    m_alive.reset();
}

std::uint64_t MapSwitch::marginSteps() const
{
    // Each hold that came too late and each resent order indicates that delays are longer than assumed.
    const auto lag = m_control.maxStatusAge(m_plan.ranks.front());
    const auto expectedDelay = lag + HoldLatency * m_holdAttempts + ResendDelay * (m_maxSends - 1);
    const auto passTime = std::max(m_plan.passTime, milliseconds(5));
    return SparePasses + static_cast<std::uint64_t>((expectedDelay + passTime - milliseconds(1)) / passTime);
}

} // namespace Heatherridge
