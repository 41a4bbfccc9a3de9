#include "heldgroupsimulation.h"

#include "heldgroups/groupassignments.h"
#include "heldgroups/simulatedengine.h"

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
constexpr std::int64_t MaxLateMs = 12'000;
constexpr std::int64_t DemandShiftPeriodMs = 3'000;
constexpr std::int64_t HolderPauseMs = 4'000;
constexpr std::int64_t LeaseMs = 1'500;
constexpr std::int64_t RestartMs = 500;
constexpr std::uint64_t MeanTicksBetweenRestarts = 150;

GroupName testGroup()
{
    return GroupName("g");
}

} // namespace

/** One engine, and what its reports say. */
struct HeldGroupSimulation::Engine : SimulatedEngine
{
    TargetEntry target{};
    std::vector<double> expertCounts{};
    std::vector<std::pair<std::int64_t, RankStatus>> history{}; ///< older statuses, for reports that lag
    std::map<MapNumber, bool> fakedFences{};
    std::optional<std::uint64_t> fakedHold{};
};

/** The lossy connection of one rebalancer to the ranks. */
class HeldGroupSimulation::FaultyRankControl final : public RankControl
{
public:
    explicit FaultyRankControl(HeldGroupSimulation &simulation)
        : m_simulation(simulation)
    {
    }

    milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return m_simulation.m_options.maxStatusAge;
    }

    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override
    {
        const auto rank = indexOf(target);
        answerLater([this, rank, done = std::move(done)] { done(m_simulation.statusOf(rank)); });
    }

    void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) override
    {
        const auto rank = indexOf(target);
        answerLater([this, rank, done = std::move(done)] {
            done(RankCounts{.epoch = Epoch, .selectionCounts = m_simulation.m_engines[rank]->expertCounts});
        });
    }

    void fetchExperts(const TargetEntry &target, std::function<void(Result<RankExperts>)> done) override
    {
        const auto rank = indexOf(target);
        answerLater([this, rank, done = std::move(done)] {
            const auto &engine = *m_simulation.m_engines[rank];
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
        if (fakesAcceptance(rank, order)) {
            answerLater([done = std::move(done)] { done(OrderReply::Accepted); });
            return;
        }
        const bool isUnanswered =
            m_simulation.m_hasFaults && m_simulation.m_random.fraction() < m_simulation.m_options.unansweredFraction;
        if (!isUnanswered) {
            answerLater([this, rank, order, epoch, done = std::move(done)] {
                done(m_simulation.executeOrder(rank, order, epoch));
            });
            return;
        }
        if (m_simulation.m_random.fraction() < m_simulation.m_options.lateFraction) {
            const auto delay = 1 + static_cast<std::int64_t>(m_simulation.m_random.below(MaxLateMs));
            m_simulation.schedule(milliseconds(delay),
                                  [this, rank, order, epoch] { m_simulation.executeOrder(rank, order, epoch); });
        }
        const bool isArm = std::holds_alternative<ArmMap>(order);
        const auto reply = m_simulation.m_options.brokenSafeguard == BrokenSafeguard::SilenceCountsAsArmed && isArm
            ? OrderReply::Accepted
            : OrderReply::NoAnswer;
        m_simulation.schedule(milliseconds(OrderTimeoutMs),
                              [this, reply, done = std::move(done)] { deliverReply(reply, done); });
    }

    /** While the process is paused, answers wait in pendingAnswers. */
    bool isPaused = false;
    std::vector<std::function<void()>> pendingAnswers{};

private:
    std::size_t indexOf(const TargetEntry &target) const
    {
        for (std::size_t rank = 0; rank < m_simulation.m_engines.size(); ++rank) {
            if (m_simulation.m_engines[rank]->target.id == target.id) {
                return rank;
            }
        }
        return 0;
    }

    bool fakesAcceptance(std::size_t rank, const RankOrder &order)
    {
        const auto brokenSafeguard = m_simulation.m_options.brokenSafeguard;
        if (const auto *hold = std::get_if<HoldStep>(&order)) {
            const bool isFaked =
                brokenSafeguard == (rank == 0 ? BrokenSafeguard::NoHold : BrokenSafeguard::NoSecondHold);
            if (isFaked) {
                m_simulation.m_engines[rank]->fakedHold = hold->step;
            }
            return isFaked;
        }
        const auto *prepare = std::get_if<PrepareMap>(&order);
        if (prepare == nullptr || brokenSafeguard != BrokenSafeguard::NoFence) {
            return false;
        }
        // A fence does not change the experts of its own rank; the map of a switch changes those of some rank.
        const auto &engine = *m_simulation.m_engines[rank];
        const bool isFence = prepare->layout != m_simulation.m_engines[0]->layout
            && std::equal(prepare->layout.begin(), prepare->layout.end(), engine.layout.begin(), engine.layout.end(),
                          [rank](const auto &a, const auto &b) { return a[rank] == b[rank]; });
        if (isFence) {
            m_simulation.m_engines[rank]->fakedFences[prepare->map] = true;
        }
        return isFence;
    }

    void answerLater(std::function<void()> answer)
    {
        const auto delay = 1 + static_cast<std::int64_t>(m_simulation.m_random.below(8));
        m_simulation.schedule(milliseconds(delay), [this, answer = std::move(answer)] { deliver(answer); });
    }

    void deliverReply(OrderReply reply, const std::function<void(OrderReply)> &done)
    {
        deliver([reply, done] { done(reply); });
    }

    void deliver(std::function<void()> answer)
    {
        if (isPaused) {
            pendingAnswers.push_back(std::move(answer));
        } else {
            answer();
        }
    }

    HeldGroupSimulation &m_simulation;
};

/** One rebalancer and its connection to the ranks. */
struct HeldGroupSimulation::RebalancerProcess
{
    std::unique_ptr<FaultyRankControl> control{};
    std::unique_ptr<ExpertRebalancer> rebalancer{};
    std::int64_t pausedUntil = 0;
    std::int64_t nextTick = 0;
};

namespace
{

/** A clock at a fixed time, so that map numbers grow only by the numbers that rebalancers have seen. */
class FixedClock final : public Clock
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

const FixedClock &fixedClock()
{
    static const FixedClock Instance;
    return Instance;
}

} // namespace

HeldGroupSimulation::HeldGroupSimulation(Options options)
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
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        auto engine = std::make_unique<Engine>();
        engine->target.id = TargetName("r" + std::to_string(rank));
        engine->layout = layout;
        engine->expertCounts.assign(m_demand.size(), 0);
        m_engines.push_back(std::move(engine));
    }
    for (int index = 0; index < m_options.processes; ++index) {
        m_processes.push_back(std::make_unique<RebalancerProcess>());
        m_processes.back()->control = std::make_unique<FaultyRankControl>(*this);
        startProcess(index);
    }
    shiftDemand();
}

HeldGroupSimulation::~HeldGroupSimulation() = default;

void HeldGroupSimulation::startProcess(int index)
{
    auto &process = *m_processes.at(static_cast<std::size_t>(index));
    const EngineProfile profile{.layerSets = Sets,
                                .experts = Experts,
                                .expertSlots = Experts / m_options.ranks + SparePlaces,
                                .spareExpertSlots = SparePlaces};
    process.rebalancer = std::make_unique<ExpertRebalancer>(
        *process.control, ExpertRebalancerOptions{.countPeriod = milliseconds(400), .minGainWhenCalm = 0.06},
        ExpertRebalancerEvents{.decisionMade =
                                   [this, index](auto what, const auto &, const auto &details) {
                                       if (m_options.isTraced) {
                                           std::printf("%6lld rebalancer %d step %llu %.*s %s\n",
                                                       static_cast<long long>(m_now), index,
                                                       static_cast<unsigned long long>(m_step),
                                                       static_cast<int>(what.size()), what.data(), details.c_str());
                                       }
                                   }},
        fixedClock(), [this] { return m_random.draw(); });
    std::vector<TargetEntry> targets;
    for (const auto &engine : m_engines) {
        targets.push_back(engine->target);
    }
    process.rebalancer->setTargets(targets, profile, milliseconds(120));
    process.rebalancer->setActive(everyGroup, true);
}

void HeldGroupSimulation::restartAtRandom(int index)
{
    if (!m_options.restartsProcesses || m_random.below(MeanTicksBetweenRestarts) != 0) {
        return;
    }
    if (m_options.isTraced) {
        std::printf("%6lld rebalancer %d is killed\n", static_cast<long long>(m_now), index);
    }
    startProcess(index);
    auto &process = *m_processes.at(static_cast<std::size_t>(index));
    process.pausedUntil = m_now + RestartMs;
    process.control->isPaused = true;
    process.control->pendingAnswers.clear();
}

void HeldGroupSimulation::runWithFaults(milliseconds duration)
{
    advance(duration, true);
}

void HeldGroupSimulation::runWithoutFaults(milliseconds duration)
{
    for (auto &process : m_processes) {
        process->pausedUntil = 0;
        process->rebalancer->setActive(process == m_processes.front() ? everyGroup : noGroup, true);
    }
    advance(duration, false);
}

milliseconds HeldGroupSimulation::haltAfterHolderPauses()
{
    runWithoutFaults(milliseconds(500));
    while (!isAnyPassHeld()) {
        runWithoutFaults(milliseconds(1));
    }
    auto &holder = *m_processes.front();
    holder.pausedUntil = m_now + HolderPauseMs;
    holder.control->isPaused = true;
    const auto leaseEnd = m_now + LeaseMs;
    return longestHalt(milliseconds(HolderPauseMs), [&] {
        if (m_now == leaseEnd) {
            holder.rebalancer->setActive(noGroup, false);
            m_processes.at(1)->rebalancer->setActive(everyGroup, true);
        }
    });
}

milliseconds HeldGroupSimulation::haltAfterHolderLeaves(SwitchStage stage)
{
    runWithoutFaults(milliseconds(500));
    while (stage == SwitchStage::Holding ? !isAnyPassHeld() : !isAnyMapPrepared()) {
        runWithoutFaults(milliseconds(1));
    }
    m_processes.at(0)->rebalancer->setActive(noGroup, true);
    m_processes.at(1)->rebalancer->setActive(everyGroup, true);
    return longestHalt(milliseconds(HolderPauseMs), [] {});
}

milliseconds HeldGroupSimulation::haltWithTwoActiveRebalancers(milliseconds duration)
{
    runWithoutFaults(milliseconds(2'500));
    m_processes.at(0)->rebalancer->setActive(everyGroup, false);
    advance(milliseconds(LeaseMs), false); // no other process is given the share before the lease has expired
    m_processes.at(1)->rebalancer->setActive(everyGroup, true);
    return longestHalt(duration, [] {});
}

milliseconds HeldGroupSimulation::longestHalt(milliseconds duration, const std::function<void()> &eachTick)
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

const std::string &HeldGroupSimulation::violation() const
{
    return m_violation;
}

bool HeldGroupSimulation::isNextPassHeld() const
{
    return std::any_of(m_engines.begin(), m_engines.end(),
                       [this](const auto &engine) { return engine->heldStep && *engine->heldStep == m_step + 1; });
}

bool HeldGroupSimulation::isAnyPassHeld() const
{
    return std::any_of(m_engines.begin(), m_engines.end(),
                       [this](const auto &engine) { return engine->heldStep && *engine->heldStep > m_step; });
}

bool HeldGroupSimulation::isAnyMapPrepared() const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [](const auto &engine) { return engine->prepared; });
}

std::uint64_t HeldGroupSimulation::step() const
{
    return m_step;
}

int HeldGroupSimulation::switches() const
{
    return m_switches;
}

void HeldGroupSimulation::advance(milliseconds duration, bool hasFaults)
{
    m_hasFaults = hasFaults;
    const auto end = m_now + duration.count();
    for (; m_now < end && m_violation.empty(); ++m_now) {
        if (m_now % DemandShiftPeriodMs == 0) {
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
        for (int index = 0; index < m_options.processes; ++index) {
            auto &process = m_processes[static_cast<std::size_t>(index)];
            if (m_now < process->pausedUntil) {
                continue;
            }
            if (process->control->isPaused) {
                process->control->isPaused = false;
                for (const auto &answer : std::exchange(process->control->pendingAnswers, {})) {
                    answer();
                }
            }
            if (m_now >= process->nextTick) {
                process->nextTick = m_now + TickMs;
                process->rebalancer->tick(now());
                const bool isPausing = hasFaults && m_options.pausesProcesses && m_random.below(300) == 0;
                if (isPausing) {
                    process->pausedUntil = m_now + 200 + static_cast<std::int64_t>(m_random.below(5'000));
                    process->control->isPaused = true;
                } else if (hasFaults) {
                    restartAtRandom(index);
                }
            }
        }
        if (m_now >= m_nextPassAt) {
            m_nextPassAt = m_now + PassMs;
            beginPass();
        }
    }
}

void HeldGroupSimulation::beginPass()
{
    if (m_options.hasIdlePeriods && m_hasFaults && m_now >= m_idleUntil && m_random.below(80) == 0) {
        m_idleUntil = m_now
            + static_cast<std::int64_t>(
                          m_random.below(static_cast<std::uint64_t>(m_options.longestIdlePeriod.count())));
    }
    if (m_now < m_idleUntil || isNextPassHeld()) {
        return;
    }
    ++m_step;
    const auto before = m_engines.front()->map;
    for (auto &engine : m_engines) {
        engine->beginPass(m_step);
        for (std::size_t index = 0; index < m_demand.size(); ++index) {
            engine->expertCounts[index] += m_demand[index];
        }
    }
    m_switches += m_engines.front()->map != before ? 1 : 0;
    for (const auto &engine : m_engines) {
        const auto &first = *m_engines.front();
        if (m_violation.empty() && (engine->map != first.map || engine->layout != first.layout)) {
            m_violation = "pass " + std::to_string(m_step) + ": " + engine->target.id.text() + " uses map "
                + std::to_string(toNumber(engine->map)) + ", r0 " + std::to_string(toNumber(first.map));
        }
    }
}

void HeldGroupSimulation::shiftDemand()
{
    for (auto &weight : m_demand) {
        weight = m_random.below(5) == 0 ? 20.0 : 1.0;
    }
}

OrderReply HeldGroupSimulation::executeOrder(std::size_t rank, const RankOrder &order, std::uint64_t epoch)
{
    if (epoch != Epoch) {
        return OrderReply::Refused;
    }
    const auto reply = m_engines[rank]->apply(order, m_step);
    if (m_options.isTraced) {
        constexpr const char *orderNames[] = {"prepare", "arm", "disarm", "hold", "release"};
        const auto number = std::visit(Visitor{[](const PrepareMap &one) { return toNumber(one.map); },
                                               [](const ArmMap &one) { return toNumber(one.map); },
                                               [](const DisarmMap &one) { return toNumber(one.map); },
                                               [](const HoldStep &one) { return one.step; },
                                               [](const ReleaseStep &one) { return one.step; }},
                                       order);
        std::printf("%6lld r%zu step %llu %s %llu -> %s\n", static_cast<long long>(m_now), rank,
                    static_cast<unsigned long long>(m_step), orderNames[order.index()],
                    static_cast<unsigned long long>(number), reply == OrderReply::Accepted ? "accepted" : "refused");
    }
    return reply;
}

RankStatus HeldGroupSimulation::statusOf(std::size_t rank) const
{
    auto &engine = *m_engines[rank];
    RankStatus fresh{.group = testGroup(),
                     .epoch = Epoch,
                     .rank = static_cast<int>(rank),
                     .size = m_options.ranks,
                     .isOpen = true,
                     .step = m_step,
                     .map = engine.map,
                     .prepared = engine.prepared,
                     .heldStep = engine.heldStep,
                     .maxAge = m_options.maxStatusAge};
    if (engine.armed) {
        fresh.armed = engine.armed->map;
    }
    if (engine.fakedHold && *engine.fakedHold > m_step) {
        fresh.heldStep = engine.fakedHold;
    }
    if (!engine.fakedFences.empty() && !engine.armed) {
        fresh.prepared = engine.fakedFences.rbegin()->first;
    }
    // Returns the oldest status within maxStatusAge.
    engine.history.emplace_back(m_now, fresh);
    std::erase_if(engine.history,
                  [this](const auto &entry) { return entry.first < m_now - m_options.maxStatusAge.count(); });
    return engine.history.front().second;
}

void HeldGroupSimulation::schedule(milliseconds delay, std::function<void()> task)
{
    m_tasks.emplace_back(m_now + delay.count(), std::move(task));
}

SteadyTime HeldGroupSimulation::now() const
{
    return SteadyTime(milliseconds(m_now));
}

} // namespace Heatherridge
