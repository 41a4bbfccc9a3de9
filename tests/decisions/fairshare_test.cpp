#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/fairshare.h"
#include "heatherridge_state/decisions/streamqueue.h"
#include "heatherridge_state/demand/decayingrate.h"
#include "heatherridge_state/demand/demandmeter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);
const ServiceName Service("engines");

WorkspaceName workspaceName(std::size_t index)
{
    return WorkspaceName("w" + std::to_string(index));
}

/**
 * Returns a demand of one rank with @p rates of named workspaces, @p unnamed arrivals per second of others, and as many
 * waiting streams as arrive in a second.
 */
ServiceDemand demandOf(const std::vector<double> &rates, double unnamed = 0)
{
    ServiceDemand demand{.service = Service};
    for (std::size_t index = 0; index < rates.size(); ++index) {
        demand.workspaces.push_back({.workspace = workspaceName(index), .arrivalsPerSecond = rates[index]});
    }
    demand.ranks[0].arrivalsPerSecond = std::accumulate(rates.begin(), rates.end(), unnamed);
    demand.ranks[0].waiting = demand.ranks[0].arrivalsPerSecond;
    return demand;
}

/** Returns a FairShare that has been updated for long enough before Start. */
FairShare measuringShare()
{
    FairShare share;
    share.update({.service = Service}, 0, Start - FairShare::MeasuringTime);
    return share;
}

struct LevelRow
{
    const char *description;
    std::vector<double> rates;
    double unnamed;
    double admitted; ///< streams per second
    std::set<std::size_t> overShare; ///< indices of the workspaces
};

const LevelRow LevelRows[] = {
    {"no demand", {}, 0, 100, {}},
    {"no shortage: the busiest may use what others leave", {400, 10, 10}, 0, 420, {}},
    {"a shortage within the error of the rates", {400, 10, 10}, 0, 405, {}},
    {"one far above the others", {400, 10, 10}, 0, 200, {0}},
    {"two above the level, at 90 streams per second", {400, 200, 20}, 0, 200, {0, 1}},
    {"no stream is admitted", {100, 100}, 0, 0, {0, 1}},
    {"equal demand: only one is measured a standard deviation above the level", {12, 10, 9, 10, 11}, 0, 45, {0}},
    {"small workspaces whose rates are mostly noise", {1, 1, 0.5, 0.2}, 0, 2, {}},
    {"a single workspace has no one to share with", {400}, 0, 100, {}},
    {"demand of workspaces that are not named", {100, 10, 10}, 100, 150, {0}},
    {"as many equal workspaces as are named are not named", {10, 10, 10}, 30, 55, {}},
};

class FairShareLevels : public testing::TestWithParam<LevelRow>
{
};

// Guards against a level that holds back workspaces without a shortage, or that spares the one that causes it.
TEST_P(FairShareLevels, NameTheWorkspacesOverTheirShare)
{
    const auto &row = GetParam();
    auto share = measuringShare();
    share.update(demandOf(row.rates, row.unnamed), row.admitted, Start);
    std::set<std::size_t> overShare;
    for (std::size_t index = 0; index < row.rates.size(); ++index) {
        if (share.isOverShare(workspaceName(index))) {
            overShare.insert(index);
        }
    }
    EXPECT_EQ(overShare, row.overShare) << row.description;
    EXPECT_EQ(share.overShareCount(), row.overShare.size());
    EXPECT_EQ(share.takeChanges().size(), row.overShare.size());
    EXPECT_FALSE(share.isOverShare(WorkspaceName("not named")));
}

INSTANTIATE_TEST_SUITE_P(Rows, FairShareLevels, testing::ValuesIn(LevelRows),
                         [](const auto &info) { return "row" + std::to_string(info.index); });

// Guards against shares in force while the streams that wait are admitted at once, as after a short burst.
TEST(FairShare, NeedsABacklog)
{
    auto demand = demandOf({400, 10, 10});
    demand.ranks[0].waiting = 20;
    auto share = measuringShare();
    share.update(demand, 200, Start);
    EXPECT_EQ(share.overShareCount(), 0U);
    demand.ranks[0].waiting = 21;
    share.update(demand, 200, Start);
    EXPECT_EQ(share.overShareCount(), 1U);
}

// Guards against a level that is not max-min fair: a workspace that demands no more than an equal part of the admitted
// rate must never count as over its share.
RC_GTEST_PROP(FairShare, NeverHoldsBackAnEqualPart, (const std::vector<std::uint16_t> &demands, std::uint16_t admitted))
{
    std::vector<double> rates(demands.begin(), demands.end());
    rates.resize(std::min<std::size_t>(rates.size(), MaxDemandWorkspaces));
    auto share = measuringShare();
    share.update(demandOf(rates), admitted, Start);
    for (std::size_t index = 0; index < rates.size(); ++index) {
        const bool isEqualPart = rates[index] * static_cast<double>(rates.size()) <= admitted;
        RC_ASSERT(!(isEqualPart && share.isOverShare(workspaceName(index))));
    }
}

// Guards against a workspace that stays behind for long after its burst, and against one log line for each update while
// its demand is near the level.
TEST(FairShare, EndsASecondAfterTheBurst)
{
    auto share = measuringShare();
    const auto burst = demandOf({400, 10, 10});
    const auto quiet = demandOf({10, 10, 10});
    share.update(burst, 200, Start);
    EXPECT_TRUE(share.isOverShare(workspaceName(0)));
    share.update(quiet, 30, Start + 500ms);
    EXPECT_TRUE(share.isOverShare(workspaceName(0)));
    share.update(quiet, 30, Start + 1s);
    EXPECT_FALSE(share.isOverShare(workspaceName(0)));
    const auto changes = share.takeChanges();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_TRUE(changes[0].isOver);
    EXPECT_DOUBLE_EQ(changes[0].level.value(), 180);
    EXPECT_FALSE(changes[1].isOver);
    EXPECT_EQ(changes[1].level, std::nullopt);
}

// Guards against a share that outlives the traffic that it was computed from.
TEST(FairShare, EndsWithoutUpdates)
{
    auto share = measuringShare();
    share.update(demandOf({400, 10, 10}), 200, Start);
    share.tick(Start + FairShare::Lifetime - 1ms);
    EXPECT_TRUE(share.isOverShare(workspaceName(0)));
    share.tick(Start + FairShare::Lifetime);
    EXPECT_FALSE(share.isOverShare(workspaceName(0)));
    EXPECT_EQ(share.takeChanges().size(), 2U);
}

/** Arrivals of the replays below at engines that admit a constant rate. Workspace 0 is the loud one. */
struct ReplayRow
{
    const char *description;
    std::size_t workspaces;
    double quietPerSecond; ///< of each workspace except the loud one
    double loudPerSecond;
    double admittedPerSecond;
    int repeats = 0; ///< of a refused stream of the loud workspace, each 10 ms after the refusal
    std::chrono::milliseconds newcomerAt{0}; ///< when the last workspace begins to send
};

struct ReplayResult
{
    std::vector<int> arrivals{}; ///< by workspace, without repeats
    std::vector<int> onTime{};
    int admitted = 0;
    int admittedWhileShort = 0; ///< while any stream waited
    std::chrono::milliseconds shortTime{0};
    std::size_t mostOverShare = 0;

    double onTimePart(std::size_t workspace) const
    {
        return static_cast<double>(onTime.at(workspace)) / std::max(arrivals.at(workspace), 1);
    }

    /** Returns the part of the streams of all workspaces but the loud one that was on time. */
    double quietOnTimePart() const
    {
        return static_cast<double>(std::accumulate(std::next(onTime.begin()), onTime.end(), 0))
            / std::accumulate(std::next(arrivals.begin()), arrivals.end(), 0);
    }
};

/** Replays arrivals at one gateway, which stands for all, through DemandMeter, FairShare and StreamQueue. */
class Replay
{
public:
    Replay(const ReplayRow &row, bool usesShares)
        : m_row(row)
        , m_usesShares(usesShares)
        , m_result{.arrivals = std::vector<int>(row.workspaces, 0), .onTime = std::vector<int>(row.workspaces, 0)}
    {
    }

    ReplayResult run()
    {
        for (auto now = 0ms; now < Duration; now += 1ms) {
            arrive(now);
            if (now % UpdatePeriod == 0ms) {
                m_share.update(m_meter.demandOf(Service, Start + now), m_admittedRate.perSecond(Start + now),
                               Start + now);
                m_result.mostOverShare = std::max(m_result.mostOverShare, m_share.overShareCount());
            }
            admit(now);
        }
        return m_result;
    }

private:
    static constexpr std::chrono::milliseconds Duration = 20s;
    static constexpr std::chrono::milliseconds UpdatePeriod = 100ms;
    static constexpr std::chrono::milliseconds Objective = 400ms;

    struct Waiting
    {
        std::size_t workspace = 0;
        int repeatsLeft = 0;
        std::chrono::milliseconds firstArrivalAt{0};
        DemandMeter::Stream demand{};
    };

    struct Repeat
    {
        std::chrono::milliseconds at{0};
        std::size_t workspace = 0;
        int repeatsLeft = 0;
        std::chrono::milliseconds firstArrivalAt{0};
    };

    double rateOf(std::size_t workspace, std::chrono::milliseconds now) const
    {
        if (workspace == 0) {
            return m_row.loudPerSecond;
        }
        return workspace + 1 == m_row.workspaces && now < m_row.newcomerAt ? 0 : m_row.quietPerSecond;
    }

    void arrive(std::chrono::milliseconds now)
    {
        const auto due = std::stable_partition(m_repeats.begin(), m_repeats.end(),
                                               [now](const auto &repeat) { return repeat.at > now; });
        const std::vector<Repeat> repeats(due, m_repeats.end());
        m_repeats.erase(due, m_repeats.end());
        for (const auto &repeat : repeats) {
            enqueue(repeat.workspace, repeat.repeatsLeft, repeat.firstArrivalAt, now);
        }
        for (std::size_t workspace = 0; workspace < m_row.workspaces; ++workspace) {
            const bool mayArrive = now < Duration - Objective; // so that no stream waits at the end
            if (mayArrive && static_cast<double>(m_random.below(1'000'000)) < rateOf(workspace, now) * 1e3) {
                ++m_result.arrivals[workspace];
                enqueue(workspace, workspace == 0 ? m_row.repeats : 0, now, now);
            }
        }
    }

    void enqueue(std::size_t workspace, int repeatsLeft, std::chrono::milliseconds firstArrivalAt,
                 std::chrono::milliseconds now)
    {
        auto demand = m_meter.recordArrival({.service = Service, .workspace = workspaceName(workspace)}, Start + now);
        const WaitingStream stream{.number = ++m_number,
                                   .service = Service,
                                   .onTimeUntil = Start + firstArrivalAt + Objective,
                                   .isOverShare = m_usesShares && m_share.isOverShare(workspaceName(workspace))};
        Waiting waiting{.workspace = workspace, .repeatsLeft = repeatsLeft, .firstArrivalAt = firstArrivalAt};
        const auto maxWaiting = static_cast<std::size_t>(m_row.admittedPerSecond * 0.5);
        if (m_waiting.size() >= maxWaiting) {
            const auto refused = m_queue.streamToRefuseInsteadOf(stream);
            if (!refused) {
                refuse(waiting, now);
                return;
            }
            m_queue.remove(*refused);
            refuse(m_waiting.at(*refused), now);
            m_waiting.erase(*refused);
        }
        waiting.demand = std::move(demand);
        waiting.demand.setWaiting();
        m_queue.enqueue(stream, Start + now);
        m_waiting.emplace(stream.number, std::move(waiting));
    }

    void refuse(const Waiting &stream, std::chrono::milliseconds now)
    {
        if (stream.repeatsLeft > 0) {
            m_repeats.push_back({.at = now + 10ms,
                                 .workspace = stream.workspace,
                                 .repeatsLeft = stream.repeatsLeft - 1,
                                 .firstArrivalAt = stream.firstArrivalAt});
        }
    }

    void admit(std::chrono::milliseconds now)
    {
        const bool isShort = m_waiting.size() > 1;
        m_result.shortTime += isShort ? 1ms : 0ms;
        const double perStep = m_row.admittedPerSecond / 1e3;
        m_capacity = std::min(m_capacity, 1.0) + perStep; // an idle engine saves up one stream
        if (m_capacity < 1 || m_queue.isEmpty()) {
            return;
        }
        m_capacity -= 1;
        const auto first = m_queue.inAdmissionOrder(Start + now).front();
        m_queue.admit(first.number, Start + now);
        m_admittedRate.record(Start + now);
        ++m_result.admitted;
        m_result.admittedWhileShort += isShort ? 1 : 0;
        m_result.onTime[m_waiting.at(first.number).workspace] += first.onTimeUntil >= Start + now ? 1 : 0;
        m_waiting.erase(first.number);
    }

    const ReplayRow &m_row;
    bool m_usesShares;
    ReplayResult m_result;
    SeededRandom m_random{7};
    DemandMeter m_meter;
    DecayingRate m_admittedRate;
    FairShare m_share;
    StreamQueue m_queue;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::vector<Repeat> m_repeats;
    std::uint64_t m_number = 0;
    double m_capacity = 0;
};

const ReplayRow Shortages[] = {
    {"one of 24 workspaces sends ten times its share", 24, 4, 100, 130},
    {"a new workspace appears during the shortage", 24, 4, 100, 130, 0, 10s},
    {"the callers of one workspace repeat at once and often", 24, 4, 60, 130, 20},
    {"450 workspaces, of which one is loud", 450, 0.3, 150, 190},
};

class FairShareReplay : public testing::TestWithParam<ReplayRow>
{
};

// Guards against quiet workspaces that lose streams because another one sends more than its share: in the order of
// arrival all lose alike. Also guards against holding back the loud one while there is capacity.
TEST_P(FairShareReplay, KeepsQuietWorkspacesOnTime)
{
    const auto &row = GetParam();
    const auto result = Replay(row, true).run();
    const auto withoutShares = Replay(row, false).run();
    EXPECT_LT(withoutShares.quietOnTimePart(), 0.9) << "no shortage: the row shows nothing";
    EXPECT_GT(result.quietOnTimePart(), 0.97) << "without shares " << withoutShares.quietOnTimePart();
    EXPECT_GT(result.onTimePart(row.workspaces - 1), 0.9) << "the newest workspace";
    EXPECT_GE(result.admitted, withoutShares.admitted * 0.99) << "capacity was left unused";
    const double shortSeconds = std::chrono::duration<double>(result.shortTime).count();
    EXPECT_GE(result.admittedWhileShort, shortSeconds * row.admittedPerSecond * 0.99) << "work-conserving";
    EXPECT_GT(result.onTime[0], 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, FairShareReplay, testing::ValuesIn(Shortages),
                         [](const auto &info) { return "row" + std::to_string(info.index); });

// Guards against shares that have an effect although all demand is admitted.
TEST(FairShare, HasNoEffectWithoutAShortage)
{
    const ReplayRow row{"one workspace uses what the others leave", 24, 4, 100, 230};
    const auto result = Replay(row, true).run();
    const auto withoutShares = Replay(row, false).run();
    EXPECT_EQ(result.mostOverShare, 0U);
    EXPECT_EQ(result.onTime, withoutShares.onTime);
    EXPECT_EQ(result.onTime, result.arrivals);
}

// Guards against shares that favour some of equal workspaces in a shortage that all cause alike.
TEST(FairShare, TreatsEqualWorkspacesAlike)
{
    const ReplayRow row{"24 equal workspaces", 24, 10, 10, 200};
    const auto result = Replay(row, true).run();
    const double total = std::accumulate(result.onTime.begin(), result.onTime.end(), 0.0);
    const double equalPart = total / static_cast<double>(row.workspaces);
    for (std::size_t workspace = 0; workspace < row.workspaces; ++workspace) {
        const double fairPart = std::min(equalPart, static_cast<double>(result.arrivals[workspace]));
        EXPECT_GT(result.onTime[workspace], fairPart * 0.8) << workspace;
    }
}

} // namespace
