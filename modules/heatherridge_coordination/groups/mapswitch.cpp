#include "heatherridge_coordination/groups/mapswitch.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** Passes between the present one and the held one beside those that the status and the order take: the hold arrives
 * while the group works on one of them. */
constexpr std::uint64_t SparePasses = 1;
/** From reading the present pass to the hold's arrival, with a process that gets a fifth of a core. */
constexpr milliseconds HoldTime{60};
/** Orders to prepare a map that wait for an answer at a time: each carries the whole map, and as many take a part of
 * the time that an answer is waited for on links of a hundred megabits a second. */
constexpr std::size_t PreparesAtOnce = 32;
/** What each further copy of an order takes at most: the longest that an answer is waited for, and its way. */
constexpr milliseconds ResendTime{90};

} // namespace

MapSwitch::MapSwitch(RankControl &control, MapSwitchPlan plan)
    : m_control(control)
    , m_plan(std::move(plan))
    , m_alive(std::make_shared<int>(0))
{
    prepare();
}

void MapSwitch::tick(SteadyTime now, bool mayHold)
{
    if (m_began == SteadyTime{}) {
        m_began = now;
        m_phaseBegan = now;
    }
    if (m_round) {
        m_round->tick(now);
    }
    switch (m_phase) {
    case Phase::Preparing:
        prepared(now);
        break;
    case Phase::Copying:
        if (now - m_phaseBegan > m_plan.copyTime + FreshTime) {
            finish(End::Abandoned, "out of date before it held a pass");
        } else if (mayHold && now - m_phaseBegan >= m_plan.copyTime) {
            locate(now);
        }
        break;
    case Phase::Locating:
        if (m_located) {
            hold(*std::exchange(m_located, {}), now);
        } else if (now - m_phaseBegan > Patience) {
            finish(End::Abandoned, "rank 0 does not answer");
        }
        break;
    case Phase::Holding:
        held(now);
        break;
    case Phase::Arming:
        watchArming(now);
        break;
    case Phase::Releasing:
        released(now);
        break;
    case Phase::Over:
        break;
    }
}

MapSwitch::End MapSwitch::end() const
{
    return m_end;
}

bool MapSwitch::isHolding() const
{
    return m_phase == Phase::Locating || m_phase == Phase::Holding || m_phase == Phase::Arming
        || m_phase == Phase::Releasing;
}

std::uint64_t MapSwitch::heldStep() const
{
    return m_step;
}

const std::string &MapSwitch::reason() const
{
    return m_reason;
}

int MapSwitch::mostSends() const
{
    return m_sends;
}

const MapSwitchPlan &MapSwitch::plan() const
{
    return m_plan;
}

void MapSwitch::prepare()
{
    std::vector<OrderBatchItem> items;
    for (std::size_t rank = 0; rank < m_plan.ranks.size(); ++rank) {
        items.push_back(
            {.target = m_plan.ranks[rank], .order = PrepareMap{.map = m_plan.number, .layout = m_plan.layout}});
    }
    m_round = std::make_unique<OrderBatch>(m_control, m_plan.epoch, std::move(items), PreparesAtOnce);
}

void MapSwitch::prepared(SteadyTime now)
{
    if (!m_round->isDone()) {
        if (now - m_phaseBegan > Patience) {
            finish(End::Abandoned, "a rank does not answer to prepare");
        }
        return;
    }
    m_sends = std::max(m_sends, m_round->mostSends());
    for (std::size_t rank = 0; rank < m_round->size(); ++rank) {
        if (m_round->reply(rank) == OrderReply::Refused && !m_round->isAmbiguous(rank)) {
            finish(End::Abandoned, "rank " + std::to_string(rank) + " refused to prepare");
            return;
        }
        // Refused after a lost answer: an earlier copy was carried out. Were it not so, the rank refuses to be armed.
    }
    m_round.reset();
    m_phase = Phase::Copying;
    m_phaseBegan = now;
}

void MapSwitch::locate(SteadyTime now)
{
    m_phase = Phase::Locating;
    m_phaseBegan = now;
    m_control.status(m_plan.ranks.front(), [this, alive = std::weak_ptr(m_alive)](Result<RankStatus> status) {
        if (alive.expired()) {
            return;
        }
        if (const auto *error = errorIn(status)) {
            finish(End::Abandoned, "rank 0: " + error->detail);
            return;
        }
        m_located = std::get<RankStatus>(status);
    });
}

void MapSwitch::hold(const RankStatus &status, SteadyTime now)
{
    if (status.epoch != m_plan.epoch || !status.isOpen || status.heldStep) {
        finish(End::Abandoned, "the group has changed");
        return;
    }
    m_step = std::max(status.step + marginSteps(), m_plan.after + 1);
    ++m_holds;
    m_phase = Phase::Holding;
    m_phaseBegan = now;
    m_round = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks.front(), .order = HoldStep{.step = m_step}}});
    m_round->tick(now);
}

void MapSwitch::held(SteadyTime now)
{
    if (!m_round->isDone()) {
        if (now - m_phaseBegan > Patience) {
            finish(End::Stuck, "rank 0 does not answer to hold");
        }
        return;
    }
    m_sends = std::max(m_sends, m_round->mostSends());
    if (m_round->isAmbiguous(0)) {
        finish(End::Stuck, "the pass may be held");
        return;
    }
    if (m_round->reply(0) == OrderReply::Refused) {
        if (m_holds >= MostHolds) {
            finish(End::Abandoned, "the pass had begun");
            return;
        }
        m_round.reset();
        locate(now);
        return;
    }
    arm(now);
}

void MapSwitch::arm(SteadyTime now)
{
    std::vector<OrderBatchItem> items;
    for (std::size_t rank = 0; rank < m_plan.ranks.size(); ++rank) {
        items.push_back({.target = m_plan.ranks[rank], .order = ArmMap{.map = m_plan.number, .step = m_step}});
    }
    m_round = std::make_unique<OrderBatch>(m_control, m_plan.epoch, std::move(items));
    m_phase = Phase::Arming;
    m_phaseBegan = now;
    m_round->tick(now);
}

void MapSwitch::watchArming(SteadyTime now)
{
    if (now - m_phaseBegan > ArmPatience) {
        finish(End::Stuck, "not armed: " + unarmedRanks());
        return;
    }
    for (std::size_t rank = 0; rank < m_round->size(); ++rank) {
        if (m_round->reply(rank) == OrderReply::Refused) {
            m_round->again(rank, now + ArmPause); // still copying
        }
    }
    if (!m_round->isDone()) {
        return;
    }
    release(now);
}

std::string MapSwitch::unarmedRanks() const
{
    std::string ranks;
    for (std::size_t rank = 0; rank < m_round->size(); ++rank) {
        if (!m_round->isAnswered(rank) || m_round->reply(rank) == OrderReply::Refused) {
            const auto *word = m_round->reply(rank) == OrderReply::Refused ? " refused" : " silent";
            ranks += (ranks.empty() ? "" : ", ") + m_plan.ranks[rank].id.text() + word;
        }
    }
    return ranks;
}

void MapSwitch::release(SteadyTime now)
{
    m_phase = Phase::Releasing;
    m_phaseBegan = now;
    m_round = std::make_unique<OrderBatch>(
        m_control, m_plan.epoch,
        std::vector<OrderBatchItem>{{.target = m_plan.ranks.front(), .order = ReleaseStep{.step = m_step}}});
    m_round->tick(now);
}

void MapSwitch::released(SteadyTime now)
{
    if (!m_round->isDone()) {
        if (now - m_phaseBegan > Patience) {
            finish(End::Stuck, "rank 0 does not answer to release");
        }
        return;
    }
    // Refused means that nothing is held any more: an earlier copy was carried out, or another process took it back.
    finish(End::Switched, {});
}

void MapSwitch::finish(End end, std::string reason)
{
    m_phase = Phase::Over;
    m_end = end;
    m_reason = std::move(reason);
    m_sends = m_round ? std::max(m_sends, m_round->mostSends()) : m_sends;
    m_round.reset();
    m_alive.reset();
}

std::uint64_t MapSwitch::marginSteps() const
{
    // Each hold that came too late and each resent order says that more time goes by than thought.
    const auto lag = m_control.statusLag(m_plan.ranks.front());
    const auto ahead = lag + HoldTime * m_holds + ResendTime * (m_sends - 1);
    const auto pass = std::max(m_plan.passTime, milliseconds(5));
    return SparePasses + static_cast<std::uint64_t>((ahead + pass - milliseconds(1)) / pass);
}

} // namespace Heatherridge
