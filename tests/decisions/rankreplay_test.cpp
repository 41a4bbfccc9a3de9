#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/rankadmission.h"
#include "heatherridge_state/decisions/streamadmission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <queue>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

const ServiceName Service("narrator");

constexpr auto Step = 5ms;
constexpr auto QueuePeriod = 20ms;
constexpr auto Pass = 100ms;
constexpr auto StatusPeriod = 600ms; ///< age of the engines' reports, as observed with six gateways
constexpr auto DemandPeriod = 200ms; ///< age of the demand of the other gateways
constexpr auto StreamTime = 2'800ms; ///< of one stream at its engine
constexpr auto ObjectiveWait = 400ms; ///< a stream that waits for longer is late
constexpr auto WaitLimit = 1'500ms;
/** When engines are lost, no stream can begin until those that the others have in excess have ended. */
constexpr auto ExcessTime = 1s;
constexpr auto ShortageTime = 30s;
constexpr double Slots = 630; ///< of all engines
constexpr double UsualPerSecond = 0.8 * Slots / 2.8;
constexpr double PromptWeight = 4; ///< requests that take as much of a pass as one prompt
constexpr int RankCount = 3;
constexpr std::array<double, RankCount> RankShares{0.36, 0.48, 0.16};

struct ReplayOptions
{
    int gateways = 6;
    bool admitsByRank = true;
    bool knowsDemand = true;
    double slotsLostFrom = 0; ///< fraction of the slots lost during the shortage
    double demandFactor = 1; ///< during the shortage
};

/** Streams of one rank that arrived during the shortage, after ExcessTime. */
struct RankResult
{
    int arrived = 0;
    int sent = 0;
    int onTime = 0;

    double onTimeShare() const
    {
        return arrived > 0 ? static_cast<double>(onTime) / arrived : 1;
    }
};

/** Gateways with one group of engines: 5 s of usual demand, then ShortageTime of shortage. */
class Replay
{
public:
    explicit Replay(const ReplayOptions &options)
        : m_options(options)
        , m_gateways(static_cast<std::size_t>(options.gateways))
    {
    }

    std::array<RankResult, RankCount> run()
    {
        for (; m_now < ShortageEnd + WaitLimit; m_now += Step) {
            endStreams();
            for (std::size_t index = 0; index < m_gateways.size(); ++index) {
                observe(index);
            }
            arrive();
            for (auto &gateway : m_gateways) {
                if (m_now.time_since_epoch() % QueuePeriod == 0ms) {
                    advanceQueue(gateway);
                }
            }
        }
        return m_results;
    }

private:
    struct Gateway
    {
        StreamQueue queue{};
        RankAdmission admission{};
        ServiceDemand others{}; ///< as of the last exchange
        std::array<DecayingRate, RankCount> arrivals{};
        std::array<int, RankCount> waiting{};
        double reportedRequests = 0; ///< of all gateways, at the engines' last report
        double ownSinceReport = 0; ///< streams sent less those that ended
        std::deque<SteadyTime> sentAt{};
    };

    struct Waiting
    {
        SteadyTime arrivedAt{};
        int rank = 0;
    };

    struct Running
    {
        SteadyTime endsAt{};
        std::size_t gateway = 0;

        bool operator>(const Running &other) const
        {
            return endsAt > other.endsAt;
        }
    };

    bool isShortage() const
    {
        return m_now >= ShortageBegin && m_now < ShortageEnd;
    }

    double slots() const
    {
        return Slots * (isShortage() ? 1 - m_options.slotsLostFrom : 1);
    }

    void endStreams()
    {
        while (!m_running.empty() && m_running.top().endsAt <= m_now) {
            m_gateways[m_running.top().gateway].ownSinceReport -= 1;
            m_running.pop();
        }
    }

    ServiceDemand demandOf(const Gateway &gateway) const
    {
        ServiceDemand demand{.service = Service};
        for (int rank = 0; rank < RankCount; ++rank) {
            const auto index = static_cast<std::size_t>(rank);
            demand.ranks[rank] = {.arrivalsPerSecond = gateway.arrivals[index].perSecond(m_now),
                                  .waiting = static_cast<double>(gateway.waiting[index])};
        }
        return demand;
    }

    void observe(std::size_t index)
    {
        // Gateways do not get reports at the same time.
        const auto time = m_now.time_since_epoch() + Step * 7 * static_cast<int>(index);
        auto &gateway = m_gateways[index];
        if (time % StatusPeriod < Step) {
            gateway.reportedRequests = static_cast<double>(m_running.size());
            gateway.ownSinceReport = 0;
        }
        if (time % DemandPeriod < Step) {
            gateway.others = {.service = Service};
            for (std::size_t other = 0; other < m_gateways.size(); ++other) {
                const auto demand = demandOf(m_gateways[other]);
                for (const auto &[rank, rankDemand] : demand.ranks) {
                    auto &sum = gateway.others.ranks[rank];
                    sum.arrivalsPerSecond += other == index ? 0 : rankDemand.arrivalsPerSecond;
                    sum.waiting += other == index ? 0 : rankDemand.waiting;
                }
            }
        }
    }

    void arrive()
    {
        const double perSecond = UsualPerSecond * (isShortage() ? m_options.demandFactor : 1);
        m_expectedArrivals += perSecond * std::chrono::duration<double>(Step).count() * 2 * m_random.fraction();
        for (; m_expectedArrivals >= 1; m_expectedArrivals -= 1) {
            const double drawn = m_random.fraction();
            const int rank = drawn < RankShares[0] ? 0 : drawn < RankShares[0] + RankShares[1] ? 1 : 2;
            join(m_gateways[m_random.below(m_gateways.size())], rank);
        }
    }

    void join(Gateway &gateway, int rank)
    {
        gateway.arrivals[static_cast<std::size_t>(rank)].record(m_now);
        const auto number = ++m_lastNumber;
        const int queueRank = m_options.admitsByRank ? rank : 0;
        m_waiting[number] = {.arrivedAt = m_now, .rank = rank};
        if (auto *result = resultOf(number)) {
            ++result->arrived;
        }
        const bool mayTry = !gateway.queue.hasOnTimeStream({.service = Service, .rank = queueRank}, m_now)
            || (m_options.admitsByRank && gateway.admission.hasAssuredStream(rank)
                && !gateway.queue.hasOnTimeStream({.service = Service, .rank = gateway.admission.highestRank()},
                                                  m_now));
        if (mayTry && trySend(gateway, number)) {
            return;
        }
        if (m_options.admitsByRank && isWaitTooLong(gateway, rank)) {
            const auto victim = gateway.queue.streamToRefuseInsteadOf({.service = Service, .rank = rank});
            if (!victim) {
                return;
            }
            leaveQueue(gateway, *victim);
        }
        gateway.queue.enqueue(
            {.number = number, .service = Service, .onTimeUntil = m_now + ObjectiveWait, .rank = queueRank}, m_now);
        ++gateway.waiting[static_cast<std::size_t>(rank)];
    }

    bool isWaitTooLong(const Gateway &gateway, int rank) const
    {
        const auto own = demandOf(gateway);
        return gateway.admission.expectedWait(rank, demand(own, gateway), m_now).value_or(0ms) > WaitLimit;
    }

    RankAdmission::Demand demand(const ServiceDemand &own, const Gateway &gateway) const
    {
        return {.own = own, .others = m_options.knowsDemand ? &gateway.others : nullptr};
    }

    void advanceQueue(Gateway &gateway)
    {
        for (const auto &stream : gateway.queue.inAdmissionOrder(m_now)) {
            if (m_now - m_waiting[stream.number].arrivedAt > WaitLimit) {
                leaveQueue(gateway, stream.number);
            }
        }
        const auto classify = [&](const WaitingStream &stream) {
            return m_options.admitsByRank ? classifyByRank(stream, gateway.admission, m_now) : QueueClass::InOrder;
        };
        admitInOrder(gateway.queue.inAdmissionOrder(m_now), classify, [&](const WaitingStream &stream) {
            const bool isSent = trySend(gateway, stream.number);
            if (isSent) {
                leaveQueue(gateway, stream.number);
            }
            return isSent;
        });
    }

    void leaveQueue(Gateway &gateway, std::uint64_t number)
    {
        gateway.queue.remove(number);
        --gateway.waiting[static_cast<std::size_t>(m_waiting[number].rank)];
    }

    bool trySend(Gateway &gateway, std::uint64_t number)
    {
        const double share = 1.0 / m_options.gateways;
        const double room = slots() - gateway.reportedRequests - gateway.ownSinceReport / share;
        while (!gateway.sentAt.empty() && gateway.sentAt.front() <= m_now - Pass) {
            gateway.sentAt.pop_front();
        }
        const auto stream = m_waiting[number];
        bool mayAdmit = true;
        if (m_options.admitsByRank) {
            const auto own = demandOf(gateway);
            const RankAdmission::Capacity capacity{
                .room = room, .pass = Pass, .share = share, .promptWeight = PromptWeight};
            mayAdmit = gateway.admission.mayAdmit(stream.rank, capacity, demand(own, gateway), m_now);
        }
        const auto maxSent = static_cast<std::size_t>(std::max(1.0, room * share / PromptWeight));
        if (room < 1 || gateway.sentAt.size() >= maxSent || !mayAdmit) {
            return false;
        }
        if (m_options.admitsByRank) {
            gateway.admission.recordAdmitted(stream.rank, m_now);
        }
        gateway.sentAt.push_back(m_now);
        gateway.ownSinceReport += 1;
        m_running.push(
            {.endsAt = m_now + StreamTime, .gateway = static_cast<std::size_t>(&gateway - m_gateways.data())});
        if (auto *result = resultOf(number)) {
            ++result->sent;
            result->onTime += m_now - stream.arrivedAt <= ObjectiveWait ? 1 : 0;
        }
        return true;
    }

    RankResult *resultOf(std::uint64_t number)
    {
        const auto &stream = m_waiting[number];
        const bool isCounted = stream.arrivedAt >= ShortageBegin + ExcessTime && stream.arrivedAt < ShortageEnd;
        return isCounted ? &m_results[static_cast<std::size_t>(stream.rank)] : nullptr;
    }

    static constexpr SteadyTime Begin{1h};
    static constexpr SteadyTime ShortageBegin = Begin + 5s;
    static constexpr SteadyTime ShortageEnd = ShortageBegin + ShortageTime;

    ReplayOptions m_options;
    std::vector<Gateway> m_gateways;
    SteadyTime m_now = Begin;
    SeededRandom m_random{20261202};
    double m_expectedArrivals = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Waiting> m_waiting; ///< all streams that have arrived
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    std::array<RankResult, RankCount> m_results{};
};

struct ReplayRow
{
    const char *description;
    ReplayOptions options;
};

const ReplayRow ReplayRows[] = {
    {"usual demand", {}},
    {"usual demand, 18 gateways", {.gateways = 18}},
    {"a third of the capacity is gone", {.slotsLostFrom = 1.0 / 3}},
    {"a third of the capacity is gone, unknown demand", {.knowsDemand = false, .slotsLostFrom = 1.0 / 3}},
    {"1.7 times the usual demand", {.demandFactor = 1.7}},
    {"1.7 times the usual demand, unknown", {.knowsDemand = false, .demandFactor = 1.7}},
    {"1.7 times the usual demand, one gateway", {.gateways = 1, .demandFactor = 1.7}},
    {"1.7 times the usual demand, 18 gateways", {.gateways = 18, .demandFactor = 1.7}},
};

class RankReplays : public testing::TestWithParam<ReplayRow>
{
};

// Guards against a shortage in which the highest rank is served worst and the lowest one not at all. As observed
// without rank admission, the shares that were on time were 0.67, 0.75 and 0.82, highest rank first.
TEST_P(RankReplays, ServeTheHighestRankAndStarveNone)
{
    const auto &row = GetParam();
    const auto [highest, middle, lowest] = Replay(row.options).run();
    EXPECT_GE(highest.onTimeShare(), 0.99) << row.description;
    EXPECT_GE(highest.onTimeShare(), middle.onTimeShare()) << row.description;
    EXPECT_GE(middle.onTimeShare(), lowest.onTimeShare()) << row.description;
    const double averagePerSecond = UsualPerSecond * RankShares.back();
    const auto time = std::chrono::duration<double>(ShortageTime - ExcessTime);
    EXPECT_GE(lowest.sent, averagePerSecond * time.count() * RankAdmission::AssuredShare) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, RankReplays, testing::ValuesIn(ReplayRows));

} // namespace
