#include "heatherridge_state/groups/controlbudget.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const ZoneName Zone("a");
constexpr double BytesPerMegabit = 1e6 / 8;
constexpr auto Period = 175ms;

std::vector<TargetEntry> ranksOf(std::size_t ownZone, std::size_t remote)
{
    std::vector<TargetEntry> ranks;
    for (std::size_t rank = 0; rank < ownZone + remote; ++rank) {
        // Ranks of the own zone and remote ones alternate, as they do when ordered by name.
        const bool isOwnZone = rank % 2 == 0 ? rank / 2 < ownZone : rank / 2 >= remote;
        ranks.push_back({.id = TargetName(std::to_string(rank)), .zone = isOwnZone ? Zone : ZoneName("b")});
    }
    return ranks;
}

struct BudgetCase
{
    const char *description;
    double linkMbps;
    std::size_t ownZone;
    std::size_t remote;
    std::size_t counts; ///< number of counts of one rank
    std::size_t minPolled;
    std::size_t maxPolled;
};

const BudgetCase BudgetCases[] = {
    {"unknown link capacity: no limit", 0, 50, 100, 3'072, 150, 150},
    {"fast link: all ranks of a small site", 1'000, 6, 10, 384, 16, 16},
    {"64 ranks of a medium-sized model", 60, 22, 42, 1'536, 64, 64},
    // Polling the counts of all ranks would need 20 MB/s of a 12 MB/s link: reads timed out and callers' streams
    // stalled.
    {"192 ranks of a large model", 93, 39, 153, 3'072, 39, 80},
    {"4,800 ranks: no more are polled, remote ones at the maximum period", 93, 960, 3'840, 3'072, 39, 80},
    {"slow link: the minimum number of ranks is polled", 1, 4, 12, 3'072, 8, 8},
};

class ControlBudgets : public testing::TestWithParam<BudgetCase>
{
};

TEST_P(ControlBudgets, LimitPollingToTheLinkShare)
{
    const auto &row = GetParam();
    const ControlBudget budget(Zone, row.linkMbps * BytesPerMegabit);
    const auto ranksToPoll = budget.ranksToPoll(ranksOf(row.ownZone, row.remote), row.counts, Period);
    EXPECT_GE(ranksToPoll.size(), row.minPolled) << row.description;
    EXPECT_LE(ranksToPoll.size(), row.maxPolled) << row.description;
    const auto ownZone = std::count_if(ranksToPoll.begin(), ranksToPoll.end(),
                                       [&](const auto &rank) { return budget.isInOwnZone(rank); });
    EXPECT_EQ(static_cast<std::size_t>(ownZone), std::min(row.ownZone, ranksToPoll.size())) << row.description;
    // Remote ranks are polled as often as their fraction of the link allows, neither more nor less often.
    constexpr double remoteStatusFraction = 0.0025;
    constexpr double statusBytes = 600;
    const auto period = budget.remoteStatusPeriod(row.remote, 400ms);
    const std::chrono::duration<double> seconds = period;
    const double allowedBytes = row.linkMbps * BytesPerMegabit * remoteStatusFraction * seconds.count();
    const double sentBytes = static_cast<double>(row.remote) * statusBytes;
    EXPECT_GE(period, 400ms) << row.description;
    EXPECT_LE(period, 3'000ms) << row.description;
    if (row.linkMbps > 0 && period < 3'000ms) {
        EXPECT_LE(sentBytes, allowedBytes * 1.01) << row.description;
    }
    if (period > 400ms) {
        EXPECT_GE(sentBytes, allowedBytes * 0.99) << row.description;
    }
}

INSTANTIATE_TEST_SUITE_P(All, ControlBudgets, testing::ValuesIn(BudgetCases));

} // namespace
