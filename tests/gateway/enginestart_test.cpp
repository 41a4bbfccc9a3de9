#include "heatherridge_transport/direct/gatewaytargets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start = SteadyTime{} + 1h;
const ServiceName Service("chat");
const GroupName Group("g");
constexpr int Engines = 63;
constexpr int Slots = 10;
constexpr int PassesPerStream = 19;
constexpr milliseconds Step{5};
constexpr milliseconds QueuePeriod{20};
constexpr milliseconds StatementPeriod{200};
constexpr milliseconds CallTime{50}; ///< from a statement to its arrival at the other gateways, each way
constexpr milliseconds StatusPeriod{1'200}; ///< of one engine at one gateway
constexpr milliseconds FirstStatusDelay{600}; ///< after the start of a gateway
constexpr milliseconds MaxEventGap{150};

RoutingConfig makeConfig()
{
    return {.routes = {{.maxEventGap = MaxEventGap, .services = {{.service = Service}}}},
            .services = {{.name = Service,
                          .engine = EngineProfile{.stepTime = 22.75ms,
                                                  .stepTimePerRequest = 24ms,
                                                  .promptTime = 13.3ms,
                                                  .typicalAnswerTokens = PassesPerStream,
                                                  .layerSets = 8}}}};
}

TargetName engineName(int index)
{
    return TargetName("e" + std::to_string(index));
}

std::vector<TargetEntry> makeEntries()
{
    std::vector<TargetEntry> entries;
    entries.reserve(Engines);
    for (int engine = 0; engine < Engines; ++engine) {
        entries.push_back({.id = engineName(engine), .service = Service, .zone = ZoneName("z"), .slots = Slots});
    }
    return entries;
}

/** One engine group whose passes get longer with its requests. */
struct ModelGroup
{
    struct Stream
    {
        int engine = 0;
        int gateway = 0;
        int passesLeft = PassesPerStream;
        bool isRead = false; ///< its prompt has been processed
        bool wasLate = false; ///< one of its pauses was too long
    };

    std::vector<Stream> streams{};
    SteadyTime passEnds = Start;
    milliseconds pass{0};
};

/** One gateway with its callers' waiting streams. */
struct ModelGateway
{
    std::unique_ptr<GatewayTargets> targets{};
    SteadyTime startedAt{};
    std::deque<SteadyTime> arrivals{}; ///< within the last second
    int waiting = 0;
    int inProgress = 0;
    ServiceDemand stated{}; ///< last statement
    std::optional<SteadyTime> statedAt{};
};

/** Gateways that start one after the other or together, in front of one group. */
class StartingGateways
{
public:
    explicit StartingGateways(int gateways)
    {
        for (int index = 0; index < gateways; ++index) {
            auto &gateway = *m_gateways.emplace_back(std::make_unique<ModelGateway>());
            gateway.targets = std::make_unique<GatewayTargets>(
                ZoneName("z"), ZoneRegions{}, WarmUpTolerance{},
                EngineShares::Options{.ownDemand = [&gateway](const auto &, SteadyTime) { return demandOf(gateway); }});
            gateway.targets->setServices(makeConfig());
            gateway.targets->setEntries(makeEntries(), Start);
            gateway.targets->engineShares().setEvenShare(1.0 / gateways, gateways - 1);
        }
    }

    /** Starts @p count more gateways. */
    void start(std::size_t count)
    {
        for (; count > 0; --count) {
            m_gateways[m_started++]->startedAt = m_now;
        }
    }

    /** Lets @p count streams arrive evenly over @p time at the started gateways from @p first on. */
    void run(int count, milliseconds time, std::size_t first)
    {
        const auto begin = m_now;
        int arrived = 0;
        for (; m_now < begin + time; m_now += Step) {
            const auto due = static_cast<int>(count * ((m_now - begin + Step) / std::chrono::duration<double>(time)));
            for (; arrived < due; ++arrived) {
                auto &gateway = *m_gateways[drawGateway(first)];
                ++gateway.waiting;
                gateway.arrivals.push_back(m_now);
            }
            advance();
        }
    }

    std::size_t lateStreams() const
    {
        return m_late;
    }

    std::size_t served() const
    {
        return m_sent;
    }

private:
    static ServiceDemand demandOf(const ModelGateway &gateway)
    {
        return {.service = Service,
                .ranks = {{0,
                           {.arrivalsPerSecond = static_cast<double>(gateway.arrivals.size()),
                            .waiting = static_cast<double>(gateway.waiting),
                            .inProgress = static_cast<double>(gateway.inProgress)}}}};
    }

    /** One gateway in three gets five times as many streams as the others. */
    std::size_t drawGateway(int first)
    {
        while (true) {
            const auto index = first + m_random.below(m_started - first);
            if (index % 3 == 0 || m_random.below(5) == 0) {
                return index;
            }
        }
    }

    void advance()
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_now - Start);
        for (std::size_t index = 0; index < m_started; ++index) {
            auto &gateway = *m_gateways[index];
            while (!gateway.arrivals.empty() && m_now - gateway.arrivals.front() > 1s) {
                gateway.arrivals.pop_front();
            }
            readStatuses(gateway, index, elapsed);
            if ((elapsed + Step * index * 7) % StatementPeriod < Step) {
                exchange(gateway);
            }
            if (elapsed % QueuePeriod < Step) {
                while (gateway.waiting > 0 && send(gateway, static_cast<int>(index))) {
                }
            }
        }
        if (m_now >= m_group.passEnds) {
            endPass();
        }
    }

    bool send(ModelGateway &gateway, int index)
    {
        const auto choice = gateway.targets->choose({.service = Service}, m_now, m_random);
        if (choice.target == nullptr) {
            return false;
        }
        choice.target->load.recordSent();
        ++choice.target->sentSinceReport;
        gateway.targets->recordSend(choice.target->engine ? Group : GroupName(), m_now);
        const auto engine = std::stoi(choice.target->entry.id.text().substr(1));
        m_group.streams.push_back({.engine = engine, .gateway = index});
        choice.target->lastReceivedAt = m_now;
        --gateway.waiting;
        ++gateway.inProgress;
        ++m_sent;
        return true;
    }

    void readStatuses(ModelGateway &gateway, std::size_t index, milliseconds elapsed)
    {
        std::vector<EngineView> views;
        for (int engine = 0; engine < Engines; ++engine) {
            const auto phase = Step * ((engine * 37 + index * 101) % (StatusPeriod / Step));
            if ((elapsed + phase) % StatusPeriod >= Step || m_now - gateway.startedAt < FirstStatusDelay) {
                continue;
            }
            const auto running = std::count_if(m_group.streams.begin(), m_group.streams.end(),
                                               [&](const auto &stream) { return stream.engine == engine; });
            views.push_back({.target = engineName(engine),
                             .group = Group,
                             .isGroupOpen = true,
                             .isOpen = true,
                             .running = static_cast<int>(running),
                             .passTime = m_group.pass,
                             .requestedAt = m_now});
        }
        gateway.targets->updateEngines(views);
    }

    /** States the demand of @p gateway and receives that of the others, each as old as it is. */
    void exchange(ModelGateway &gateway)
    {
        FleetDemand fleet{.isKnown = true, .isShared = true, .services = {{.service = Service}}};
        auto &sum = fleet.services.front().ranks[0];
        for (const auto &other : m_gateways) {
            if (other.get() == &gateway || !other->statedAt) {
                continue;
            }
            const auto &rank = other->stated.ranks.at(0);
            ++fleet.gateways;
            fleet.age =
                std::max(fleet.age, std::chrono::duration_cast<milliseconds>(m_now - *other->statedAt) + CallTime);
            sum.arrivalsPerSecond += rank.arrivalsPerSecond;
            sum.waiting += rank.waiting;
            sum.inProgress += rank.inProgress;
        }
        gateway.targets->engineShares().setFleetDemand(fleet, m_now);
        gateway.stated = demandOf(gateway);
        gateway.statedAt = m_now;
    }

    void endPass()
    {
        const bool isLate = m_group.pass > MaxEventGap;
        double prompts = 0;
        std::vector<bool> hasStream(m_gateways.size(), false);
        for (auto &stream : m_group.streams) {
            if (!stream.isRead) {
                ++prompts;
                stream.isRead = true;
                continue;
            }
            hasStream[stream.gateway] = true;
            m_late += isLate && !stream.wasLate ? 1 : 0;
            stream.wasLate = stream.wasLate || isLate;
            if (--stream.passesLeft == 0) {
                auto &gateway = *m_gateways[stream.gateway];
                --gateway.inProgress;
                gateway.targets->find(engineName(stream.engine))->load.recordEnded();
            }
            gatewayTarget(stream).lastReceivedAt = m_now;
        }
        std::erase_if(m_group.streams, [](const auto &stream) { return stream.passesLeft == 0; });
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            if (hasStream[index] && m_group.pass.count() > 0) {
                m_gateways[index]->targets->recordPause(Group, m_group.pass, m_now);
            }
        }
        const auto requests = static_cast<double>(m_group.streams.size()) / Engines;
        const auto pass = 22.75ms + 24ms * requests + 13.3ms * (prompts / Engines);
        m_group.pass = std::chrono::duration_cast<milliseconds>(pass);
        m_group.passEnds = m_now + m_group.pass;
    }

    GatewayTarget &gatewayTarget(const ModelGroup::Stream &stream)
    {
        return *m_gateways[stream.gateway]->targets->find(engineName(stream.engine));
    }

    SteadyTime m_now = Start;
    SeededRandom m_random{20261202};
    std::vector<std::unique_ptr<ModelGateway>> m_gateways;
    std::size_t m_started = 0;
    ModelGroup m_group;
    std::size_t m_late = 0;
    std::size_t m_sent = 0;
};

struct StartRow
{
    const char *name;
    std::size_t running; ///< gateways that have served for a while when the others start
    int streams; ///< that arrive at the starting gateways
    std::size_t minServed; ///< of all streams
};

const StartRow StartRows[] = {
    {"AllAfterAPowerLoss", 0, 750, 250},
    {"OneAmongBusyOnes", 17, 250, 400},
};

class EngineStart : public testing::TestWithParam<StartRow>
{
};

// Guards against gateways that know no statuses yet and overfill the engines, so that all streams pause for too long:
// one cannot see the streams that the others have sent meanwhile, or had sent before it started.
TEST_P(EngineStart, CountsTheStatedStreamsOfOtherGateways)
{
    const auto &row = GetParam();
    constexpr std::size_t count = 18;
    StartingGateways gateways(count);
    if (row.running > 0) {
        gateways.start(row.running);
        gateways.run(750, 3s, 0);
    }
    const auto lateBefore = gateways.lateStreams();
    gateways.start(count - row.running);
    gateways.run(row.streams, 1'500ms, row.running);
    gateways.run(0, 500ms, row.running);
    EXPECT_EQ(gateways.lateStreams(), lateBefore);
    EXPECT_GE(gateways.served(), row.minServed);
}

INSTANTIATE_TEST_SUITE_P(All, EngineStart, testing::ValuesIn(StartRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
