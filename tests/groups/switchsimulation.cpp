#include "groups/switchsimulation.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Small, so that ranks often reach their bounds. */
constexpr std::uint64_t LeadSteps = 3;
constexpr int LeaderSlots = 2;

} // namespace

SwitchSimulation::SwitchSimulation(const Options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_engines(static_cast<std::size_t>(options.ranks))
    , m_gates(static_cast<std::size_t>(options.ranks))
    , m_leaders(LeaderSlots)
{
    for (int rank = 0; rank < options.ranks; ++rank) {
        m_engines[rank].engine.restart(nextRun());
        restartGate(rank);
    }
    replaceLeader(0);
    recover();
}

void SwitchSimulation::run(int actions)
{
    m_isReliable = false;
    for (int i = 0; i < actions && m_violation.empty(); ++i) {
        runRandomAction();
    }
}

bool SwitchSimulation::recover()
{
    m_isReliable = true;
    m_isLogOut = false;
    replaceLeader(0);
    m_leaders[1] = {};
    auto &leader = *m_leaders[0].leader;
    const int maxRounds = 60;
    const int maxRoundsWaited = 4; // rounds allowed for entering an epoch
    int roundsWaited = 0;
    for (int round = 0; round < maxRounds && m_violation.empty(); ++round) {
        runReliableRound();
        roundsWaited = leader.hasAllMembers() ? 0 : roundsWaited + 1;
        if (leader.phase() == GroupLeader::Phase::Idle && roundsWaited > maxRoundsWaited) {
            roundsWaited = 0;
            std::vector<int> ranks(m_engines.size());
            for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
                ranks[rank] = static_cast<int>(rank);
            }
            const auto proposed = leader.proposeEpoch(ranks, randomLayers(ranks));
            (void)proposed; // fails while a rank is unknown; the next round tries again
        }
    }
    const auto before = minStep();
    runReliableRound();
    const bool hasUndecided = std::any_of(m_engines.begin(), m_engines.end(),
                                          [](const auto &engine) { return engine.engine.state().limit.has_value(); });
    const auto &epoch = leader.epoch();
    const bool includesAllRanks = epoch && epoch->members.size() == m_engines.size();
    // An epoch without some ranks is complete too, but then only its members step.
    return leader.hasAllMembers() && !hasUndecided && (!includesAllRanks || minStep() > before);
}

bool SwitchSimulation::switchWithoutLog()
{
    m_isLogOut = true;
    auto &leader = *m_leaders[0].leader;
    std::vector<int> ranks;
    for (const auto &member : leader.epoch()->members) {
        ranks.push_back(member.rank);
    }
    const auto records = m_log.size();
    if (errorIn(leader.proposeSwitch(randomLayers(ranks))) != nullptr) {
        return false;
    }
    const auto before = leader.counters().switchesCommitted;
    const int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        runReliableRound();
    }
    const auto map = m_engines[ranks.front()].engine.state().map;
    const bool isSwitched = std::all_of(ranks.begin(), ranks.end(), [&](int rank) {
        return m_engines[rank].engine.state().map == map && m_engines[rank].engine.state().mapSince != StepNumber{};
    });
    return isSwitched && leader.counters().switchesCommitted == before + 1 && m_log.size() == records;
}

StepNumber SwitchSimulation::minStep() const
{
    StepNumber lowestStep{UINT64_MAX};
    for (const auto &engine : m_engines) {
        lowestStep = std::min(lowestStep, engine.engine.state().next);
    }
    return lowestStep;
}

bool SwitchSimulation::randomChance(int percent)
{
    return m_random.below(100) < static_cast<std::uint64_t>(percent);
}

int SwitchSimulation::randomIndex(std::size_t count)
{
    return static_cast<int>(m_random.below(count));
}

Incarnation SwitchSimulation::nextRun()
{
    return static_cast<Incarnation>(++m_runs);
}

void SwitchSimulation::runRandomAction()
{
    const int rank = randomIndex(m_engines.size());
    const int leaderIndex = randomIndex(m_leaders.size());
    auto &leader = m_leaders[leaderIndex];
    const int kind = randomIndex(1000);
    if (kind < 400 && !m_network.empty()) {
        // Mostly in order, so that switches can complete before a fault interrupts them.
        const auto index = randomChance(60) ? 0 : static_cast<std::size_t>(randomIndex(m_network.size()));
        if (randomChance(5)) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            if (randomChance(m_options.duplicatePercent)) {
                m_duplicates.push_back(m_network[index]);
            }
            deliver(index);
        }
    } else if (kind < 650) {
        executeOrder(rank, false);
    } else if (kind < 800) {
        startStepOf(rank);
    } else if (kind < 840) {
        performActions(rank, m_gates[rank].gate->tick());
    } else if (kind < 870) {
        readLog(m_gates[rank], rank);
    } else if (kind < 960) {
        if (leader.leader) {
            runLeaderAction(leaderIndex);
        }
    } else if (kind < 966) {
        restartGate(rank);
    } else if (kind < 967) {
        if (m_options.engineFaults && randomChance(40)) {
            m_engines[rank].engine.restart(nextRun());
        }
    } else if (kind < 971) {
        m_isLogOut = !m_isLogOut;
    } else if (kind < 985) {
        deliverDuplicate();
    } else if (kind < 995) {
        completeAppend();
    } else if (randomChance(20 * m_options.leaderChangesPerMille)) {
        replaceLeader(leaderIndex);
    }
}

void SwitchSimulation::runLeaderAction(int leaderIndex)
{
    auto &leader = m_leaders[leaderIndex];
    const int kind = randomIndex(90);
    if (kind < 40) {
        performActions(leaderIndex, leader.leader->tick());
    } else if (kind < 60) {
        readLog(leader, leaderIndex);
    } else if (kind < 88) {
        proposeRandomChange(*leader.leader);
    } else {
        performActions(leaderIndex, leader.leader->cancel());
    }
}

void SwitchSimulation::deliverDuplicate()
{
    if (!m_duplicates.empty()) {
        const auto index = randomIndex(m_duplicates.size());
        m_network.push_back(m_duplicates[index]);
        m_duplicates.erase(m_duplicates.begin() + index);
        deliver(m_network.size() - 1);
    }
}

void SwitchSimulation::deliver(std::size_t index)
{
    const Packet packet = std::move(m_network[index]);
    m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    if (packet.toRank >= 0) {
        performActions(packet.toRank, m_gates[packet.toRank].gate->handle(packet.message, packet.fromRank));
    } else if (m_leaders[packet.toLeader].leader) {
        performActions(packet.toLeader,
                       m_leaders[packet.toLeader].leader->handle(packet.message, packet.fromRank, packet.fromRun));
    }
}

void SwitchSimulation::performActions(int rank, GateActions actions)
{
    for (auto &action : actions) {
        std::visit(Visitor{
                       [&](SendToLeader &send) {
                           for (int leaderIndex = 0; leaderIndex < LeaderSlots; ++leaderIndex) {
                               m_network.push_back({.toLeader = leaderIndex,
                                                    .fromRank = rank,
                                                    .fromRun = m_gates[rank].run,
                                                    .message = send.message});
                           }
                       },
                       [&](SendToRank &send) {
                           m_network.push_back({.toRank = send.rank, .fromRank = rank, .message = send.message});
                       },
                       [&](OrderEngine &order) { m_engines[rank].orders.push_back(std::move(order)); },
                   },
                   action);
    }
}

void SwitchSimulation::performActions(int leaderIndex, LeaderActions actions)
{
    for (auto &action : actions) {
        std::visit(Visitor{
                       [&](SendToGate &send) {
                           m_network.push_back({.toRank = send.rank, .message = std::move(send.message)});
                       },
                       [&](AppendEpoch &append) {
                           m_appends.push_back({.leaderIndex = leaderIndex,
                                                .leader = m_leaders[leaderIndex].fencing,
                                                .epoch = std::move(append.epoch)});
                       },
                   },
                   action);
    }
}

void SwitchSimulation::completeAppend()
{
    if (m_appends.empty()) {
        return;
    }
    const auto index = m_isReliable ? 0 : randomIndex(m_appends.size());
    auto append = std::move(m_appends[index]);
    m_appends.erase(m_appends.begin() + index);
    // During an outage an append fails, or takes effect but its reply is lost.
    if (!m_isLogOut || randomChance(30)) {
        m_log.push_back(std::move(append.epoch));
    }
    auto &leader = m_leaders[append.leaderIndex];
    if (leader.leader && leader.fencing == append.leader) {
        leader.leader->handleAppendResult(!m_isLogOut);
    }
}

void SwitchSimulation::executeOrder(int rank, bool reliable)
{
    auto &engine = m_engines[rank];
    if (engine.orders.empty()) {
        return;
    }
    // Orders of one run stay in order; orders of different runs may be reordered.
    const auto run = m_options.staleOrders == StaleOrders::InOrder
        ? engine.orders.front().run
        : engine.orders[randomIndex(engine.orders.size())].run;
    const auto found =
        std::find_if(engine.orders.begin(), engine.orders.end(), [run](const auto &order) { return order.run == run; });
    const auto order = std::move(*found);
    engine.orders.erase(found);
    const bool rejectsStale = m_options.staleOrders == StaleOrders::Rejected;
    if (!rejectsStale || engine.engine.acceptsRun(order.run)) {
        engine.engine.execute(order.order, reliable || randomChance(97));
    }
    if (order.run == m_gates[rank].run && (reliable || randomChance(90))) {
        performActions(rank, m_gates[rank].gate->handleEngineState(engine.engine.state()));
        if (m_gates[rank].gate->isReplaced()) {
            restartGate(rank);
        }
    }
}

void SwitchSimulation::startStepOf(int rank)
{
    auto &engine = m_engines[rank].engine;
    const auto before = engine.state().map;
    const auto started =
        engine.startStep([this](int other, EpochNumber epoch) { return m_engines[other].engine.progressIn(epoch); });
    if (!started) {
        return;
    }
    m_switchCount += started->map == before ? 0 : 1;
    const auto [entry, isFirst] = m_mapByStep.emplace(std::pair{started->epoch, started->step}, started->map);
    if (!isFirst && entry->second != started->map) {
        m_violation = "epoch " + std::to_string(toNumber(started->epoch)) + " step "
            + std::to_string(toNumber(started->step)) + ": two maps";
    }
}

void SwitchSimulation::readLog(Gate &gate, int rank)
{
    if (!m_isLogOut && gate.recordsRead < m_log.size()) {
        performActions(rank, gate.gate->handleEpoch(m_log[gate.recordsRead++]));
    }
}

void SwitchSimulation::readLog(Leader &leader, int leaderIndex)
{
    if (m_isLogOut) {
        return;
    }
    if (leader.recordsRead < m_log.size()) {
        performActions(leaderIndex, leader.leader->handleEpoch(m_log[leader.recordsRead++]));
    } else {
        leader.leader->setCaughtUp();
    }
}

void SwitchSimulation::restartGate(int rank)
{
    m_gates[rank].run = nextRun();
    m_gates[rank].recordsRead = 0;
    m_gates[rank].gate = std::make_unique<RankGate>(RankGate::Options{
        .rank = rank, .run = m_gates[rank].run, .leadSteps = LeadSteps, .safeguards = m_options.safeguards});
}

void SwitchSimulation::replaceLeader(int leaderIndex)
{
    std::vector<int> ranks;
    ranks.reserve(m_engines.size());
    for (int rank = 0; rank < m_options.ranks; ++rank) {
        ranks.push_back(rank);
    }
    m_leaders[leaderIndex].leader = std::make_unique<GroupLeader>(static_cast<FencingNumber>(++m_claims), ranks);
    m_leaders[leaderIndex].fencing = static_cast<FencingNumber>(m_claims);
    m_leaders[leaderIndex].recordsRead = 0;
    for (auto &gate : m_gates) {
        if (m_isReliable || randomChance(50)) {
            gate.gate->handleClaim(static_cast<FencingNumber>(m_claims));
        }
    }
}

void SwitchSimulation::proposeRandomChange(GroupLeader &leader)
{
    if (randomChance(leader.hasAllMembers() ? 100 - m_options.epochPercent : 60)) {
        if (leader.epoch()) {
            std::vector<int> ranks;
            for (const auto &member : leader.epoch()->members) {
                ranks.push_back(member.rank);
            }
            const auto proposed = leader.proposeSwitch(randomLayers(ranks));
            (void)proposed; // refused while another change is in progress
        }
        return;
    }
    std::vector<int> ranks;
    for (int rank = 0; rank < m_options.ranks; ++rank) {
        if (randomChance(90)) {
            ranks.push_back(rank);
        }
    }
    if (!ranks.empty()) {
        const auto proposed = leader.proposeEpoch(ranks, randomLayers(ranks));
        (void)proposed; // refused while another change is in progress
    }
}

std::vector<LayerPlacement> SwitchSimulation::randomLayers(const std::vector<int> &ranks)
{
    LayerPlacement layer;
    for (std::uint16_t expert = 0; expert < 2; ++expert) {
        layer.push_back({.expert = expert, .rank = static_cast<std::uint16_t>(ranks[randomIndex(ranks.size())])});
    }
    return {layer};
}

void SwitchSimulation::runReliableRound()
{
    for (std::size_t i = 0; i < m_gates.size(); ++i) {
        performActions(static_cast<int>(i), m_gates[i].gate->tick());
    }
    performActions(0, m_leaders[0].leader->tick());
    const int maxDeliveries = 5000;
    for (int i = 0; i < maxDeliveries; ++i) {
        completeAppend();
        bool idle = m_network.empty() && m_appends.empty();
        if (!idle) {
            deliver(0);
        }
        for (std::size_t rank = 0; rank < m_engines.size(); ++rank) {
            idle = idle && m_engines[rank].orders.empty();
            executeOrder(static_cast<int>(rank), true);
        }
        if (idle) {
            break;
        }
    }
    for (std::size_t rank = 0; rank < m_engines.size(); ++rank) {
        while (m_gates[rank].recordsRead < m_log.size() && !m_isLogOut) {
            readLog(m_gates[rank], static_cast<int>(rank));
        }
    }
    for (std::size_t reads = 0; reads <= m_log.size(); ++reads) {
        readLog(m_leaders[0], 0);
    }
    for (int i = 0; i < 2; ++i) {
        for (std::size_t rank = 0; rank < m_engines.size(); ++rank) {
            startStepOf(static_cast<int>(rank));
        }
    }
}

} // namespace Heatherridge
