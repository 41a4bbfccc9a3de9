#include "groups/switchsimulation.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Few, so that ranks often reach their bounds. */
constexpr std::uint64_t LeadSteps = 3;
constexpr int Leaders = 2;

} // namespace

SwitchWorld::SwitchWorld(const Options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_engines(static_cast<std::size_t>(options.ranks))
    , m_gates(static_cast<std::size_t>(options.ranks))
    , m_leaders(Leaders)
{
    for (int rank = 0; rank < options.ranks; ++rank) {
        m_engines[rank].engine.restart(nextRun());
        restartGate(rank);
    }
    replaceLeader(0);
    heal();
}

void SwitchWorld::run(int actions)
{
    m_reliable = false;
    for (int i = 0; i < actions && m_violation.empty(); ++i) {
        act();
    }
}

bool SwitchWorld::heal()
{
    m_reliable = true;
    m_logOut = false;
    replaceLeader(0);
    m_leaders[1] = {};
    auto &leader = *m_leaders[0].leader;
    const int mostRounds = 60;
    const int patience = 4; // rounds that ranks get for entering an epoch
    int waited = 0;
    for (int round = 0; round < mostRounds && m_violation.empty(); ++round) {
        settleRound();
        waited = leader.isWhole() ? 0 : waited + 1;
        if (leader.phase() == GroupLeader::Phase::Idle && waited > patience) {
            waited = 0;
            std::vector<int> ranks(m_engines.size());
            for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
                ranks[rank] = static_cast<int>(rank);
            }
            const auto proposed = leader.proposeEpoch(ranks, drawLayers(ranks));
            (void)proposed; // while a rank is still unknown the next round tries again
        }
    }
    const auto before = leastStep();
    settleRound();
    const bool undecided = std::any_of(m_engines.begin(), m_engines.end(),
                                       [](const auto &engine) { return engine.engine.state().limit.has_value(); });
    const auto &epoch = leader.epoch();
    const bool all = epoch && epoch->members.size() == m_engines.size();
    // A smaller epoch is whole too; then only its members step.
    return leader.isWhole() && !undecided && (!all || leastStep() > before);
}

bool SwitchWorld::switchWithoutLog()
{
    m_logOut = true;
    auto &leader = *m_leaders[0].leader;
    std::vector<int> ranks;
    for (const auto &member : leader.epoch()->members) {
        ranks.push_back(member.rank);
    }
    const auto records = m_log.size();
    if (errorIn(leader.proposeSwitch(drawLayers(ranks))) != nullptr) {
        return false;
    }
    const auto before = leader.counters().switchesCommitted;
    const int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        settleRound();
    }
    const auto map = m_engines[ranks.front()].engine.state().map;
    const bool same = std::all_of(ranks.begin(), ranks.end(), [&](int rank) {
        return m_engines[rank].engine.state().map == map && m_engines[rank].engine.state().mapSince != StepNumber{};
    });
    return same && leader.counters().switchesCommitted == before + 1 && m_log.size() == records;
}

StepNumber SwitchWorld::leastStep() const
{
    StepNumber least{UINT64_MAX};
    for (const auto &engine : m_engines) {
        least = std::min(least, engine.engine.state().next);
    }
    return least;
}

bool SwitchWorld::chance(int percent)
{
    return m_random.below(100) < static_cast<std::uint64_t>(percent);
}

int SwitchWorld::pick(std::size_t count)
{
    return static_cast<int>(m_random.below(count));
}

Incarnation SwitchWorld::nextRun()
{
    return static_cast<Incarnation>(++m_runs);
}

void SwitchWorld::act()
{
    const int rank = pick(m_engines.size());
    const int slot = pick(m_leaders.size());
    auto &leader = m_leaders[slot];
    const int kind = pick(1000);
    if (kind < 400 && !m_network.empty()) {
        // Mostly in order, so that a switch has a chance to get through before its messages are overtaken by faults.
        const auto index = chance(60) ? 0 : static_cast<std::size_t>(pick(m_network.size()));
        if (chance(5)) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            if (chance(m_options.doubled)) {
                m_late.push_back(m_network[index]);
            }
            deliver(index);
        }
    } else if (kind < 650) {
        followOrder(rank, false);
    } else if (kind < 800) {
        step(rank);
    } else if (kind < 840) {
        perform(rank, m_gates[rank].gate->tick());
    } else if (kind < 870) {
        readLog(m_gates[rank], rank);
    } else if (kind < 960) {
        if (leader.leader) {
            actOnLeader(slot);
        }
    } else if (kind < 966) {
        restartGate(rank);
    } else if (kind < 967) {
        if (m_options.rankFaults && chance(40)) {
            m_engines[rank].engine.restart(nextRun());
        }
    } else if (kind < 971) {
        m_logOut = !m_logOut;
    } else if (kind < 985) {
        deliverLate();
    } else if (kind < 995) {
        append();
    } else if (chance(20 * m_options.leaderChanges)) {
        replaceLeader(slot);
    }
}

void SwitchWorld::actOnLeader(int slot)
{
    auto &leader = m_leaders[slot];
    const int kind = pick(90);
    if (kind < 40) {
        perform(slot, leader.leader->tick());
    } else if (kind < 60) {
        readLog(leader, slot);
    } else if (kind < 88) {
        propose(*leader.leader);
    } else {
        perform(slot, leader.leader->cancel());
    }
}

void SwitchWorld::deliverLate()
{
    if (!m_late.empty()) {
        const auto index = pick(m_late.size());
        m_network.push_back(m_late[index]);
        m_late.erase(m_late.begin() + index);
        deliver(m_network.size() - 1);
    }
}

void SwitchWorld::deliver(std::size_t index)
{
    const Packet packet = std::move(m_network[index]);
    m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    if (packet.toRank >= 0) {
        perform(packet.toRank, m_gates[packet.toRank].gate->handle(packet.message, packet.fromRank));
    } else if (m_leaders[packet.toLeader].leader) {
        perform(packet.toLeader,
                m_leaders[packet.toLeader].leader->handle(packet.message, packet.fromRank, packet.fromRun));
    }
}

void SwitchWorld::perform(int rank, GateActions actions)
{
    for (auto &action : actions) {
        std::visit(Visitor{
                       [&](SendToLeader &send) {
                           for (int slot = 0; slot < Leaders; ++slot) {
                               m_network.push_back({.toLeader = slot,
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

void SwitchWorld::perform(int slot, LeaderActions actions)
{
    for (auto &action : actions) {
        std::visit(
            Visitor{
                [&](TellRank &tell) { m_network.push_back({.toRank = tell.rank, .message = std::move(tell.message)}); },
                [&](AppendEpoch &append) {
                    m_appends.push_back(
                        {.slot = slot, .leader = m_leaders[slot].fencing, .epoch = std::move(append.epoch)});
                },
            },
            action);
    }
}

void SwitchWorld::append()
{
    if (m_appends.empty()) {
        return;
    }
    const auto index = m_reliable ? 0 : pick(m_appends.size());
    auto append = std::move(m_appends[index]);
    m_appends.erase(m_appends.begin() + index);
    // In an outage an append fails, or takes effect while its reply is lost.
    if (!m_logOut || chance(30)) {
        m_log.push_back(std::move(append.epoch));
    }
    auto &leader = m_leaders[append.slot];
    if (leader.leader && leader.fencing == append.leader) {
        leader.leader->handleAppend(!m_logOut);
    }
}

void SwitchWorld::followOrder(int rank, bool reliable)
{
    auto &engine = m_engines[rank];
    if (engine.orders.empty()) {
        return;
    }
    // Orders of one run stay in order; those of different runs may overtake each other.
    const auto run = m_options.oldOrders == OldOrders::InOrder ? engine.orders.front().run
                                                               : engine.orders[pick(engine.orders.size())].run;
    const auto found =
        std::find_if(engine.orders.begin(), engine.orders.end(), [run](const auto &order) { return order.run == run; });
    const auto order = std::move(*found);
    engine.orders.erase(found);
    const bool checks = m_options.oldOrders == OldOrders::Refused;
    if (!checks || engine.engine.admits(order.run)) {
        engine.engine.follow(order.order, reliable || chance(97));
    }
    if (order.run == m_gates[rank].run && (reliable || chance(90))) {
        perform(rank, m_gates[rank].gate->handleEngine(engine.engine.state()));
        if (m_gates[rank].gate->isReplaced()) {
            restartGate(rank);
        }
    }
}

void SwitchWorld::step(int rank)
{
    auto &engine = m_engines[rank].engine;
    const auto before = engine.state().map;
    const auto started =
        engine.startStep([this](int other, EpochNumber epoch) { return m_engines[other].engine.progressIn(epoch); });
    if (!started) {
        return;
    }
    m_switches += started->map == before ? 0 : 1;
    const auto [used, first] = m_used.emplace(std::pair{started->epoch, started->step}, started->map);
    if (!first && used->second != started->map) {
        m_violation = "epoch " + std::to_string(toNumber(started->epoch)) + " step "
            + std::to_string(toNumber(started->step)) + ": two maps";
    }
}

void SwitchWorld::readLog(Gate &gate, int rank)
{
    if (!m_logOut && gate.read < m_log.size()) {
        perform(rank, gate.gate->handleEpoch(m_log[gate.read++]));
    }
}

void SwitchWorld::readLog(Leader &leader, int slot)
{
    if (m_logOut) {
        return;
    }
    if (leader.read < m_log.size()) {
        perform(slot, leader.leader->handleEpoch(m_log[leader.read++]));
    } else {
        leader.leader->setCaughtUp();
    }
}

void SwitchWorld::restartGate(int rank)
{
    m_gates[rank].run = nextRun();
    m_gates[rank].read = 0;
    m_gates[rank].gate = std::make_unique<RankGate>(RankGate::Options{
        .rank = rank, .run = m_gates[rank].run, .leadSteps = LeadSteps, .safeguards = m_options.safeguards});
}

void SwitchWorld::replaceLeader(int slot)
{
    std::vector<int> ranks;
    ranks.reserve(m_engines.size());
    for (int rank = 0; rank < m_options.ranks; ++rank) {
        ranks.push_back(rank);
    }
    m_leaders[slot].leader = std::make_unique<GroupLeader>(static_cast<FencingNumber>(++m_claims), ranks);
    m_leaders[slot].fencing = static_cast<FencingNumber>(m_claims);
    m_leaders[slot].read = 0;
    for (auto &gate : m_gates) {
        if (m_reliable || chance(50)) {
            gate.gate->handleClaim(static_cast<FencingNumber>(m_claims));
        }
    }
}

void SwitchWorld::propose(GroupLeader &leader)
{
    if (chance(leader.isWhole() ? 100 - m_options.epochs : 60)) {
        if (leader.epoch()) {
            std::vector<int> ranks;
            for (const auto &member : leader.epoch()->members) {
                ranks.push_back(member.rank);
            }
            const auto proposed = leader.proposeSwitch(drawLayers(ranks));
            (void)proposed; // refused while another is under way
        }
        return;
    }
    std::vector<int> ranks;
    for (int rank = 0; rank < m_options.ranks; ++rank) {
        if (chance(90)) {
            ranks.push_back(rank);
        }
    }
    if (!ranks.empty()) {
        const auto proposed = leader.proposeEpoch(ranks, drawLayers(ranks));
        (void)proposed; // refused while another is under way
    }
}

std::vector<LayerPlacement> SwitchWorld::drawLayers(const std::vector<int> &ranks)
{
    LayerPlacement layer;
    for (std::uint16_t expert = 0; expert < 2; ++expert) {
        layer.push_back({.expert = expert, .rank = static_cast<std::uint16_t>(ranks[pick(ranks.size())])});
    }
    return {layer};
}

void SwitchWorld::settleRound()
{
    for (std::size_t i = 0; i < m_gates.size(); ++i) {
        perform(static_cast<int>(i), m_gates[i].gate->tick());
    }
    perform(0, m_leaders[0].leader->tick());
    const int mostDeliveries = 5000;
    for (int i = 0; i < mostDeliveries; ++i) {
        append();
        bool idle = m_network.empty() && m_appends.empty();
        if (!idle) {
            deliver(0);
        }
        for (std::size_t rank = 0; rank < m_engines.size(); ++rank) {
            idle = idle && m_engines[rank].orders.empty();
            followOrder(static_cast<int>(rank), true);
        }
        if (idle) {
            break;
        }
    }
    for (std::size_t rank = 0; rank < m_engines.size(); ++rank) {
        while (m_gates[rank].read < m_log.size() && !m_logOut) {
            readLog(m_gates[rank], static_cast<int>(rank));
        }
    }
    for (std::size_t reads = 0; reads <= m_log.size(); ++reads) {
        readLog(m_leaders[0], 0);
    }
    for (int i = 0; i < 2; ++i) {
        for (std::size_t rank = 0; rank < m_engines.size(); ++rank) {
            step(static_cast<int>(rank));
        }
    }
}

} // namespace Heatherridge
