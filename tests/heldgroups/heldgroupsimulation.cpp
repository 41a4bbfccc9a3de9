#include "heldgroupsimulation.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

constexpr int Sets = 2;
constexpr int Experts = 16;
constexpr int SparePlaces = 2;
constexpr std::uint64_t Epoch = 1;
constexpr std::int64_t PassMs = 50;
constexpr std::int64_t TickMs = 20;
constexpr std::int64_t OrderTimeoutMs = 150;
constexpr std::int64_t LongestLateMs = 12'000;
constexpr std::int64_t ShiftEveryMs = 3'000;
constexpr std::int64_t PausedHolderMs = 4'000;
constexpr std::int64_t LeaseMs = 1'500;

GroupName theGroup()
{
    return GroupName("g");
}

} // namespace

/** One engine: the rules of its orders, and what it was told. */
struct HeldWorld::Rank
{
    TargetEntry target{};
    MapNumber map{};
    ExpertLayout layout{};
    MapNumber highestMap{};
    std::optional<MapNumber> prepared{};
    ExpertLayout preparedLayout{};
    std::optional<ArmMap> armed{};
    std::optional<std::uint64_t> held{};
    std::vector<double> chosen{};
    std::vector<std::pair<std::int64_t, RankStatus>> history{}; ///< statuses lag
    std::map<MapNumber, bool> fencesPretended{};
    std::optional<std::uint64_t> holdPretended{};
};

/** The way of one keeper to the ranks. */
class HeldWorld::Way final : public RankControl
{
public:
    explicit Way(HeldWorld &world)
        : m_world(world)
    {
    }

    milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return m_world.m_options.statusLag;
    }

    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override
    {
        const auto rank = indexOf(target);
        later([this, rank, done = std::move(done)] { done(m_world.statusOf(rank)); });
    }

    void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) override
    {
        const auto rank = indexOf(target);
        later([this, rank, done = std::move(done)] {
            done(RankCounts{.epoch = Epoch, .chosen = m_world.m_ranks[rank]->chosen});
        });
    }

    void fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done) override
    {
        const auto rank = indexOf(target);
        later([this, rank, done = std::move(done)] {
            const auto &engine = *m_world.m_ranks[rank];
            RankExperts experts{.map = engine.map};
            for (const auto &set : engine.layout) {
                experts.bySet.push_back(set[rank]);
            }
            done(experts);
        });
    }

    void sendOrder(const TargetEntry &target, const RankOrder &order, std::uint64_t epoch,
                   std::function<void(OrderReply)> done) override
    {
        const auto rank = indexOf(target);
        if (pretends(rank, order)) {
            later([done = std::move(done)] { done(OrderReply::Accepted); });
            return;
        }
        const bool isUnanswered = m_world.m_faults && m_world.m_random.fraction() < m_world.m_options.unanswered;
        if (!isUnanswered) {
            later([this, rank, order, epoch, done = std::move(done)] { done(m_world.carryOut(rank, order, epoch)); });
            return;
        }
        if (m_world.m_random.fraction() < m_world.m_options.late) {
            const auto delay = 1 + static_cast<std::int64_t>(m_world.m_random.below(LongestLateMs));
            m_world.later(milliseconds(delay), [this, rank, order, epoch] { m_world.carryOut(rank, order, epoch); });
        }
        const bool isArm = std::holds_alternative<ArmMap>(order);
        const auto word = m_world.m_options.broken == BrokenSafeguard::ArmedBlindly && isArm ? OrderReply::Accepted
                                                                                             : OrderReply::NoAnswer;
        m_world.later(milliseconds(OrderTimeoutMs), [this, word, done = std::move(done)] { deliver(word, done); });
    }

    /** Answers wait while the keeper is paused. */
    bool isPaused = false;
    std::vector<std::function<void()>> waiting{};

private:
    std::size_t indexOf(const TargetEntry &target) const
    {
        for (std::size_t rank = 0; rank < m_world.m_ranks.size(); ++rank) {
            if (m_world.m_ranks[rank]->target.id == target.id) {
                return rank;
            }
        }
        return 0;
    }

    bool pretends(std::size_t rank, const RankOrder &order)
    {
        const auto broken = m_world.m_options.broken;
        if (const auto *hold = std::get_if<HoldStep>(&order)) {
            const bool isPretended = broken == (rank == 0 ? BrokenSafeguard::NoHold : BrokenSafeguard::NoSecondHold);
            if (isPretended) {
                m_world.m_ranks[rank]->holdPretended = hold->step;
            }
            return isPretended;
        }
        const auto *prepare = std::get_if<PrepareMap>(&order);
        if (prepare == nullptr || broken != BrokenSafeguard::NoFence) {
            return false;
        }
        // A fence changes nothing on its own rank; a switch's map does, on some rank.
        const auto &engine = *m_world.m_ranks[rank];
        const bool isFence = prepare->layout != m_world.m_ranks[0]->layout
            && std::equal(prepare->layout.begin(), prepare->layout.end(), engine.layout.begin(), engine.layout.end(),
                          [rank](const auto &a, const auto &b) { return a[rank] == b[rank]; });
        if (isFence) {
            m_world.m_ranks[rank]->fencesPretended[prepare->map] = true;
        }
        return isFence;
    }

    void later(std::function<void()> answer)
    {
        const auto delay = 1 + static_cast<std::int64_t>(m_world.m_random.below(8));
        m_world.later(milliseconds(delay), [this, answer = std::move(answer)] { pass(answer); });
    }

    void deliver(OrderReply word, const std::function<void(OrderReply)> &done)
    {
        pass([word, done] { done(word); });
    }

    void pass(std::function<void()> answer)
    {
        if (isPaused) {
            waiting.push_back(std::move(answer));
        } else {
            answer();
        }
    }

    HeldWorld &m_world;
};

/** One keeper with its way. */
struct HeldWorld::KeeperProcess
{
    std::unique_ptr<Way> way{};
    std::unique_ptr<ExpertRebalancer> keeper{};
    std::int64_t pausedUntil = 0;
    std::int64_t nextTick = 0;
};

namespace
{

/** A clock at a fixed time: numbers of maps then grow by what keepers have seen alone. */
class StandingClock final : public Clock
{
public:
    SteadyTime steadyNow() const override
    {
        return {};
    }

    WallTime wallNow() const override
    {
        return {};
    }
};

const StandingClock &standingClock()
{
    static const StandingClock Standing;
    return Standing;
}

} // namespace

HeldWorld::HeldWorld(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_demand(Sets * Experts, 1)
{
    const auto ranks = static_cast<std::size_t>(m_options.ranks);
    ExpertLayout layout(Sets, SetLayout(ranks));
    for (auto &set : layout) {
        for (std::uint16_t expert = 0; expert < Experts; ++expert) {
            set[expert % ranks].push_back(expert);
        }
    }
    std::vector<TargetEntry> targets;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        auto engine = std::make_unique<Rank>();
        engine->target.id = TargetName("r" + std::to_string(rank));
        engine->layout = layout;
        engine->chosen.assign(m_demand.size(), 0);
        targets.push_back(engine->target);
        m_ranks.push_back(std::move(engine));
    }
    const EngineProfile profile{.layerSets = Sets,
                                .experts = Experts,
                                .places = Experts / m_options.ranks + SparePlaces,
                                .sparePlaces = SparePlaces};
    for (int index = 0; index < m_options.keepers; ++index) {
        auto process = std::make_unique<KeeperProcess>();
        process->way = std::make_unique<Way>(*this);
        process->keeper = std::make_unique<ExpertRebalancer>(
            *process->way, ExpertRebalancerOptions{.countPeriod = milliseconds(400), .minGainWhenCalm = 0.06},
            ExpertRebalancerEvents{.decisionMade =
                                       [this, index](auto what, const auto &, const auto &details) {
                                           if (m_options.isTraced) {
                                               std::printf("%6lld keeper %d step %llu %.*s %s\n",
                                                           static_cast<long long>(m_now), index,
                                                           static_cast<unsigned long long>(m_step),
                                                           static_cast<int>(what.size()), what.data(), details.c_str());
                                           }
                                       }},
            standingClock(), [this] { return m_random.draw(); });
        process->keeper->setTargets(targets, profile, milliseconds(120));
        process->keeper->setActive(true, true);
        m_keepers.push_back(std::move(process));
    }
    shiftDemand();
}

HeldWorld::~HeldWorld() = default;

void HeldWorld::run(milliseconds duration)
{
    advance(duration, true);
}

void HeldWorld::calm(milliseconds duration)
{
    for (auto &process : m_keepers) {
        process->pausedUntil = 0;
        process->keeper->setActive(process == m_keepers.front(), true);
    }
    advance(duration, false);
}

milliseconds HeldWorld::haltWhenHolderPauses()
{
    calm(milliseconds(500));
    while (!isHeldAhead()) {
        calm(milliseconds(1));
    }
    auto &holder = *m_keepers.front();
    holder.pausedUntil = m_now + PausedHolderMs;
    holder.way->isPaused = true;
    const auto leaseEnd = m_now + LeaseMs;
    return longestHalt(milliseconds(PausedHolderMs), [&] {
        if (m_now == leaseEnd) {
            holder.keeper->setActive(false, false);
            m_keepers.at(1)->keeper->setActive(true, true);
        }
    });
}

milliseconds HeldWorld::haltWithTwoActive(milliseconds duration)
{
    calm(milliseconds(2'500));
    m_keepers.at(0)->keeper->setActive(true, false);
    advance(milliseconds(LeaseMs), false); // before that nobody gets the share
    m_keepers.at(1)->keeper->setActive(true, true);
    return longestHalt(duration, [] {});
}

milliseconds HeldWorld::longestHalt(milliseconds duration, const std::function<void()> &eachTick)
{
    std::int64_t lastPass = m_now;
    std::int64_t longest = 0;
    const auto end = m_now + duration.count();
    for (auto step = m_step; m_now < end; step = m_step) {
        eachTick();
        advance(milliseconds(1), false);
        lastPass = m_step != step ? m_now : lastPass;
        longest = std::max(longest, m_now - lastPass);
    }
    return milliseconds(longest);
}

const std::string &HeldWorld::violation() const
{
    return m_violation;
}

bool HeldWorld::isHeld() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
                       [this](const auto &rank) { return rank->held && *rank->held == m_step + 1; });
}

bool HeldWorld::isHeldAhead() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
                       [this](const auto &rank) { return rank->held && *rank->held > m_step; });
}

std::uint64_t HeldWorld::step() const
{
    return m_step;
}

int HeldWorld::switches() const
{
    return m_switches;
}

void HeldWorld::advance(milliseconds duration, bool withFaults)
{
    m_faults = withFaults;
    const auto end = m_now + duration.count();
    for (; m_now < end && m_violation.empty(); ++m_now) {
        if (m_now % ShiftEveryMs == 0) {
            shiftDemand();
        }
        for (std::size_t index = 0; index < m_tasks.size();) {
            if (m_tasks[index].first > m_now) {
                ++index;
                continue;
            }
            const auto task = std::move(m_tasks[index].second);
            m_tasks.erase(m_tasks.begin() + static_cast<std::ptrdiff_t>(index));
            task();
        }
        for (auto &process : m_keepers) {
            if (m_now < process->pausedUntil) {
                continue;
            }
            if (process->way->isPaused) {
                process->way->isPaused = false;
                for (const auto &answer : std::exchange(process->way->waiting, {})) {
                    answer();
                }
            }
            if (m_now >= process->nextTick) {
                process->nextTick = m_now + TickMs;
                process->keeper->tick(now());
                const bool isPausing = withFaults && m_options.pausesKeepers && m_random.below(300) == 0;
                if (isPausing) {
                    process->pausedUntil = m_now + 200 + static_cast<std::int64_t>(m_random.below(5'000));
                    process->way->isPaused = true;
                }
            }
        }
        if (m_now >= m_nextPass) {
            m_nextPass = m_now + PassMs;
            beginPass();
        }
    }
}

void HeldWorld::beginPass()
{
    if (m_options.idles && m_faults && m_now >= m_idleUntil && m_random.below(80) == 0) {
        m_idleUntil = m_now + static_cast<std::int64_t>(m_random.below(6'000));
    }
    if (m_now < m_idleUntil || isHeld()) {
        return;
    }
    ++m_step;
    const auto before = m_ranks.front()->map;
    for (auto &rank : m_ranks) {
        if (rank->armed && rank->armed->step == m_step) {
            rank->map = rank->armed->map;
            rank->layout = rank->preparedLayout;
            rank->prepared.reset();
            rank->armed.reset();
        }
        for (std::size_t index = 0; index < m_demand.size(); ++index) {
            rank->chosen[index] += m_demand[index];
        }
    }
    m_switches += m_ranks.front()->map != before ? 1 : 0;
    for (const auto &rank : m_ranks) {
        const auto &first = *m_ranks.front();
        if (m_violation.empty() && (rank->map != first.map || rank->layout != first.layout)) {
            m_violation = "pass " + std::to_string(m_step) + ": " + rank->target.id.text() + " uses map "
                + std::to_string(toNumber(rank->map)) + ", r0 " + std::to_string(toNumber(first.map));
        }
    }
}

void HeldWorld::shiftDemand()
{
    for (auto &part : m_demand) {
        part = m_random.below(5) == 0 ? 20.0 : 1.0;
    }
}

OrderReply HeldWorld::carryOut(std::size_t rank, const RankOrder &order, std::uint64_t epoch)
{
    if (epoch != Epoch) {
        return OrderReply::Refused;
    }
    const auto reply = apply(*m_ranks[rank], order);
    if (m_options.isTraced) {
        constexpr const char *names[] = {"prepare", "arm", "disarm", "hold", "release"};
        const auto number = std::visit(Visitor{[](const PrepareMap &one) { return toNumber(one.map); },
                                               [](const ArmMap &one) { return toNumber(one.map); },
                                               [](const DisarmMap &one) { return toNumber(one.map); },
                                               [](const HoldStep &one) { return one.step; },
                                               [](const ReleaseStep &one) { return one.step; }},
                                       order);
        std::printf("%6lld r%zu step %llu %s %llu -> %s\n", static_cast<long long>(m_now), rank,
                    static_cast<unsigned long long>(m_step), names[order.index()],
                    static_cast<unsigned long long>(number), reply == OrderReply::Accepted ? "accepted" : "refused");
    }
    return reply;
}

OrderReply HeldWorld::apply(Rank &engine, const RankOrder &order)
{
    return std::visit(Visitor{[&](const PrepareMap &prepare) {
                                  if (prepare.map <= engine.highestMap || engine.armed) {
                                      return OrderReply::Refused;
                                  }
                                  engine.highestMap = prepare.map;
                                  engine.prepared = prepare.map;
                                  engine.preparedLayout = prepare.layout;
                                  return OrderReply::Accepted;
                              },
                              [&](const ArmMap &arm) {
                                  if (engine.armed && engine.armed->map == arm.map && engine.armed->step == arm.step) {
                                      return OrderReply::Accepted;
                                  }
                                  if (engine.armed || engine.prepared != arm.map || arm.step <= m_step) {
                                      return OrderReply::Refused;
                                  }
                                  engine.armed = arm;
                                  return OrderReply::Accepted;
                              },
                              [&](const DisarmMap &disarm) {
                                  if (engine.map == disarm.map) {
                                      return OrderReply::Refused;
                                  }
                                  if (engine.armed && engine.armed->map == disarm.map) {
                                      engine.armed.reset();
                                  }
                                  return OrderReply::Accepted;
                              },
                              [&](const HoldStep &hold) {
                                  if (hold.step <= m_step
                                      || (engine.held && *engine.held > m_step && *engine.held != hold.step)) {
                                      return OrderReply::Refused;
                                  }
                                  engine.held = hold.step;
                                  return OrderReply::Accepted;
                              },
                              [&](const ReleaseStep &release) {
                                  if (engine.held != release.step) {
                                      return OrderReply::Refused;
                                  }
                                  engine.held.reset();
                                  return OrderReply::Accepted;
                              }},
                      order);
}

RankStatus HeldWorld::statusOf(std::size_t rank) const
{
    auto &engine = *m_ranks[rank];
    RankStatus fresh{.group = theGroup(),
                     .epoch = Epoch,
                     .rank = static_cast<int>(rank),
                     .size = m_options.ranks,
                     .isOpen = true,
                     .step = m_step,
                     .map = engine.map,
                     .prepared = engine.prepared,
                     .heldStep = engine.held,
                     .lag = m_options.statusLag};
    if (engine.armed) {
        fresh.armed = engine.armed->map;
    }
    if (engine.holdPretended && *engine.holdPretended > m_step) {
        fresh.heldStep = engine.holdPretended;
    }
    if (!engine.fencesPretended.empty() && !engine.armed) {
        fresh.prepared = engine.fencesPretended.rbegin()->first;
    }
    // A status may be as old as the lag says, and is drawn from what was true in that time.
    engine.history.emplace_back(m_now, fresh);
    std::erase_if(engine.history,
                  [this](const auto &entry) { return entry.first < m_now - m_options.statusLag.count(); });
    return engine.history.front().second;
}

void HeldWorld::later(milliseconds delay, std::function<void()> task)
{
    m_tasks.emplace_back(m_now + delay.count(), std::move(task));
}

SteadyTime HeldWorld::now() const
{
    return SteadyTime(milliseconds(m_now));
}

} // namespace Heatherridge
