#include "heatherridge_state/decisions/capacityshare.h"

#include "heatherridge_state/base/clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <optional>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds StatementPeriod{200};
/** Statements expire after this time, and a gateway that hears nothing for as long does not know the demand. */
constexpr milliseconds MaxStatementAge{1'500};
/** The log learns of a new gateway within its call interval, and of a dead one when its lease expires. */
constexpr milliseconds LogCallInterval{450};
constexpr milliseconds LogLease{1'500};

ServiceDemand makeDemand(double waiting, double arrivalsPerSecond = 0)
{
    return {.service = ServiceName("s"), .ranks = {{0, {.arrivalsPerSecond = arrivalsPerSecond, .waiting = waiting}}}};
}

struct ShareRow
{
    const char *name;
    ServiceDemand own;
    std::optional<ServiceDemand> others;
    int stated;
    int known;
    double evenShare;
    double share;
};

const ShareRow ShareRows[] = {
    {"UnknownDemand", makeDemand(50), std::nullopt, 0, 5, 1.0 / 6, 1.0 / 6},
    {"OneGateway", makeDemand(50), makeDemand(0), 0, 0, 1, 1},
    {"OneGatewayWithoutDemand", makeDemand(0), makeDemand(0), 0, 0, 1, 1},
    {"NoDemandAnywhere", makeDemand(0), makeDemand(0), 5, 5, 1.0 / 6, 1.0 / 6},
    {"AllNewAtOnceAndNoneStatedYet", makeDemand(30), makeDemand(0), 0, 5, 1.0 / 6, 1.0 / 6},
    {"EvenDemand", makeDemand(10, 20), makeDemand(50, 100), 5, 5, 1.0 / 6, 1.0 / 6},
    {"AllDemandHere", makeDemand(10), makeDemand(0), 5, 5, 1.0 / 6, 0.75 + 0.25 / 6},
    {"NoDemandHere", makeDemand(0), makeDemand(10), 5, 5, 1.0 / 6, 0.25 / 6},
    {"ArrivalsCountForHalfASecond", makeDemand(0, 20), makeDemand(10), 1, 1, 0.5, 0.5},
    {"HalfOfTheOthersStated", makeDemand(10), makeDemand(20), 2, 5, 1.0 / 6, 1.0 / 6},
    {"MoreStatedThanTheLogKnows", makeDemand(10), makeDemand(10), 3, 1, 0.5, 0.5},
};

class CapacityShares : public testing::TestWithParam<ShareRow>
{
};

// Guards against gateways that get no share, or more than theirs, when little is known of the others.
TEST_P(CapacityShares, FollowKnownDemandAndAreEvenOtherwise)
{
    const auto &row = GetParam();
    EXPECT_NEAR(capacityShare({.own = row.own,
                               .others = row.others ? &*row.others : nullptr,
                               .statedGateways = row.stated,
                               .knownGateways = row.known,
                               .evenShare = row.evenShare}),
                row.share, 1e-9);
}

INSTANTIATE_TEST_SUITE_P(All, CapacityShares, testing::ValuesIn(ShareRows),
                         [](const auto &row) { return row.param.name; });

// Guards against shares that add up to more than the capacity although all gateways know the same.
RC_GTEST_PROP(CapacityShareSums, AreAtMostOneWithTheSameStatements, ())
{
    const auto gateways = *rc::gen::inRange(1, 30);
    const auto cutOff = *rc::gen::inRange(0, gateways);
    std::vector<double> demand;
    demand.reserve(static_cast<std::size_t>(gateways));
    for (int index = 0; index < gateways - cutOff; ++index) {
        demand.push_back(*rc::gen::inRange(0, 4) == 0 ? 0 : *rc::gen::inRange(0, 1000));
    }
    const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
    const double even = 1.0 / gateways;
    double sum = cutOff * even; // these know of no demand
    for (const double own : demand) {
        const auto others = makeDemand(total - own);
        sum += capacityShare({.own = makeDemand(own),
                              .others = &others,
                              .statedGateways = gateways - cutOff - 1,
                              .knownGateways = gateways - 1,
                              .evenShare = even});
    }
    RC_ASSERT(sum <= 1 + 1e-9);
}

/** A gateway whose demand grows or shrinks steadily in each statement period. */
class ModelGateway
{
public:
    explicit ModelGateway(milliseconds startedAt)
        : m_startedAt(startedAt)
    {
    }

    void change(double factor)
    {
        m_demand.push_back(std::clamp(demand() * factor, 1.0, 1e4));
    }

    double demand() const
    {
        return m_demand.back();
    }

    /** Returns the demand stated @p age ago; nothing if the gateway has not stated any. */
    std::optional<double> statedDemand(milliseconds age) const
    {
        const auto periods = static_cast<std::size_t>(age / StatementPeriod);
        return periods < m_demand.size() ? std::optional(m_demand[m_demand.size() - 1 - periods]) : std::nullopt;
    }

    /** Returns whether the log counts this gateway at @p now. */
    bool isInLog(milliseconds now) const
    {
        return now - m_startedAt >= LogCallInterval && (!diedAt || now - *diedAt < LogLease);
    }

    /** Returns the time without exchange of statements until @p now. */
    milliseconds silence(milliseconds now) const
    {
        const auto since = std::min(diedAt.value_or(now), cutOffAt.value_or(now));
        return now - since;
    }

    std::optional<milliseconds> diedAt{};
    std::optional<milliseconds> cutOffAt{};

private:
    milliseconds m_startedAt;
    std::vector<double> m_demand{100.0};
};

/** Gateways that start, die and are cut off at random, and see each other's statements with delays. */
class ModelFleet
{
public:
    static constexpr double MaxGrowth = 1.15; ///< of demand in one statement period

    explicit ModelFleet(int gateways)
    {
        for (int index = 0; index < gateways; ++index) {
            m_gateways.emplace_back(-1s);
        }
    }

    void advance()
    {
        m_now += StatementPeriod;
        for (auto &gateway : m_gateways) {
            if (!gateway.diedAt) {
                const double exponent = *rc::gen::inRange(-100, 101) / 100.0;
                gateway.change(std::pow(MaxGrowth, exponent));
            }
        }
        auto &gateway = m_gateways[*rc::gen::inRange<std::size_t>(0, m_gateways.size())];
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            m_gateways.emplace_back(m_now);
            break;
        case 1:
            gateway.diedAt = gateway.diedAt.value_or(m_now);
            break;
        case 2:
            gateway.cutOffAt = gateway.cutOffAt.value_or(m_now);
            break;
        case 3:
            gateway.cutOffAt.reset();
            break;
        default:
            break;
        }
    }

    /** Checks the sum of all shares against the bound that the ages of the statements allow. */
    void checkSum() const
    {
        double sum = 0;
        double bound = 0;
        double evenSum = 0;
        bool allKnow = true;
        int oldestPeriods = 0;
        for (const auto &viewer : m_gateways) {
            if (viewer.diedAt) {
                continue;
            }
            const double even = 1.0 / (knownOthers(viewer) + 1);
            if (viewer.silence(m_now) > MaxStatementAge) {
                const double share = capacityShare({.own = makeDemand(viewer.demand()), .evenShare = even});
                RC_ASSERT(share == even);
                sum += share;
                bound += even;
                allKnow = false;
                continue;
            }
            const auto view = viewOf(viewer);
            const auto others = makeDemand(view.demand);
            sum += capacityShare({.own = makeDemand(viewer.demand()),
                                  .others = &others,
                                  .statedGateways = view.gateways,
                                  .knownGateways = knownOthers(viewer),
                                  .evenShare = even});
            // Each stated demand is at least the present one over the growth that its age allows.
            const double leastTotal = viewer.demand() + view.leastDemand;
            bound += (1 - EvenCapacityPart) * viewer.demand() / leastTotal + EvenCapacityPart * even;
            evenSum += even;
            allKnow = allKnow && view.seesAllLiving;
            oldestPeriods = std::max(oldestPeriods, view.oldestPeriods);
        }
        RC_ASSERT(sum <= bound + 1e-9);
        if (allKnow) {
            const double growth = std::pow(MaxGrowth, oldestPeriods);
            RC_ASSERT(sum <= (1 - EvenCapacityPart) * growth + EvenCapacityPart * evenSum + 1e-9);
        }
    }

private:
    struct View
    {
        int gateways = 0;
        double demand = 0;
        double leastDemand = 0; ///< present demand of the living ones, over what it may have grown since it was stated
        int oldestPeriods = 0; ///< age of the oldest statement of a living one
        bool seesAllLiving = true;
    };

    View viewOf(const ModelGateway &viewer) const
    {
        View view;
        for (const auto &other : m_gateways) {
            if (&other == &viewer) {
                continue;
            }
            const auto delay = StatementPeriod * *rc::gen::inRange(0, 4);
            const auto age = std::max({delay, other.silence(m_now), viewer.silence(m_now)});
            const auto stated = other.statedDemand(other.diedAt ? 0ms : age);
            if (age > MaxStatementAge || !stated) {
                view.seesAllLiving = view.seesAllLiving && other.diedAt;
                continue;
            }
            ++view.gateways;
            view.demand += *stated;
            if (!other.diedAt) {
                const auto periods = static_cast<int>(age / StatementPeriod);
                view.leastDemand += other.demand() / std::pow(MaxGrowth, periods);
                view.oldestPeriods = std::max(view.oldestPeriods, periods);
            }
        }
        return view;
    }

    int knownOthers(const ModelGateway &viewer) const
    {
        return static_cast<int>(std::count_if(m_gateways.begin(), m_gateways.end(), [&](const auto &gateway) {
            return &gateway != &viewer && gateway.isInLog(m_now);
        }));
    }

    std::vector<ModelGateway> m_gateways;
    milliseconds m_now{0};
};

// Guards against shares that exceed the capacity by more than the ages of the statements allow, while gateways start,
// die and are cut off.
RC_GTEST_PROP(CapacityShareSums, StayWithinTheBoundThatAgesAllow, ())
{
    ModelFleet fleet(*rc::gen::inRange(1, 10));
    for (int period = 0; period < 40; ++period) {
        fleet.advance();
        fleet.checkSum();
    }
}

struct SwingRow
{
    const char *name;
    milliseconds age; ///< of what a gateway knows of other zones
    double maxSum; ///< of all shares
};

// The sums are those of the bound: demand that swings by 55% with a period of 3 s grows by a factor of at most 1.32
// within 200 ms and 2.13 within 600 ms, so the sum is at most 0.25 + 0.75 times that.
const SwingRow SwingRows[] = {
    {"Current", 0ms, 1},
    {"OnePeriodOld", 200ms, 0.25 + 0.75 * 1.32},
    {"ThreePeriodsOld", 600ms, 0.25 + 0.75 * 2.13},
};

class SwingingZones : public testing::TestWithParam<SwingRow>
{
};

/** Returns the demand of a gateway of @p zone, one of three whose peaks are 1 s apart. */
double swingingDemand(int zone, milliseconds time)
{
    const double phase = std::chrono::duration<double>(time - 1s * zone) / 3s;
    return 10 * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
}

// Guards against shares that follow demand too late to be better than even ones, or that exceed the capacity.
TEST_P(SwingingZones, GetSharesCloserToTheirDemandThanEvenOnes)
{
    const auto &row = GetParam();
    constexpr int zones = 3;
    constexpr int gatewaysPerZone = 6;
    constexpr double even = 1.0 / (zones * gatewaysPerZone);
    double error = 0;
    double evenError = 0;
    for (auto time = 0ms; time < 3s; time += 20ms) {
        double now = 0;
        for (int zone = 0; zone < zones; ++zone) {
            now += swingingDemand(zone, time) * gatewaysPerZone;
        }
        double sum = 0;
        for (int zone = 0; zone < zones; ++zone) {
            const auto own = swingingDemand(zone, time);
            double others = -swingingDemand(zone, time - row.age);
            for (int other = 0; other < zones; ++other) {
                others += swingingDemand(other, time - row.age) * gatewaysPerZone;
            }
            const auto stated = makeDemand(others);
            constexpr int count = zones * gatewaysPerZone - 1;
            const double share = capacityShare({.own = makeDemand(own),
                                                .others = &stated,
                                                .statedGateways = count,
                                                .knownGateways = count,
                                                .evenShare = even});
            sum += share * gatewaysPerZone;
            error += std::abs(share - own / now);
            evenError += std::abs(even - own / now);
        }
        EXPECT_LE(sum, row.maxSum + 1e-9) << time.count();
    }
    EXPECT_LT(error, evenError / 2);
}

INSTANTIATE_TEST_SUITE_P(All, SwingingZones, testing::ValuesIn(SwingRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
