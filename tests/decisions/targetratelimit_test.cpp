#include "heatherridge_state/decisions/targetratelimit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** Returns the largest number of @p sendTimes in any window of @p length that begins at or after @p from. */
std::ptrdiff_t maxInWindow(const std::vector<SteadyTime> &sendTimes, std::chrono::milliseconds length, SteadyTime from)
{
    std::ptrdiff_t maxCount = 0;
    for (auto begin = std::lower_bound(sendTimes.begin(), sendTimes.end(), from); begin != sendTimes.end(); ++begin) {
        maxCount = std::max(maxCount, std::lower_bound(begin, sendTimes.end(), *begin + length) - begin);
    }
    return maxCount;
}

struct FleetRow
{
    const char *name;
    std::size_t entries;
    int partitions; ///< of the log, distributed among the entries
    double limit;
    double arrivalsPerSecond; ///< requests per second at each entry that would go to the target
};

const FleetRow FleetRows[] = {
    {"OneEntry", 1, 12, 1, 40},    {"FourEntries", 4, 12, 1, 10},         {"AFraction", 4, 12, 1.1, 10},
    {"NineEntries", 9, 12, 1, 10}, {"AsManyAsPartitions", 12, 12, 2, 10}, {"MoreThanPartitions", 40, 12, 1, 5},
    {"AHighLimit", 9, 12, 30, 10}, {"NothingAllowed", 4, 12, 0, 10},
};

class SharedRateLimits : public testing::TestWithParam<FleetRow>
{
};

// Guards against an overloaded target that receives its limit from each entry, or a request from all entries at once
// when all learn of the limit.
TEST_P(SharedRateLimits, KeepTheLimitTogether)
{
    const auto &row = GetParam();
    SeededRandom random(11);
    std::vector<TargetRateLimit> limits(row.entries);
    std::vector<double> shares(row.entries, 0);
    for (int partition = 0; partition < row.partitions; ++partition) {
        shares[static_cast<std::size_t>(partition) % row.entries] += 1.0 / row.partitions;
    }
    std::vector<SteadyTime> sendTimes;
    constexpr auto step = 10ms;
    constexpr auto testTime = 120s;
    const double chance = row.arrivalsPerSecond * std::chrono::duration<double>(step).count();
    for (auto now = SteadyTime{} + 1h; now < SteadyTime{} + 1h + testTime; now += step) {
        for (std::size_t entry = 0; entry < row.entries; ++entry) {
            if (random.fraction() >= chance || limits[entry].timeUntilAllowed(shares[entry], now).count() > 0) {
                continue;
            }
            limits[entry].recordSent(now);
            limits[entry].update(row.limit, shares[entry], now, random); // named by the answer
            sendTimes.push_back(now);
        }
    }
    const auto settledAt = SteadyTime{} + 1h + 3s;
    EXPECT_LE(maxInWindow(sendTimes, 4s, settledAt), 1.5 * row.limit * 4 + 5);
    // Callers get most of the rate that the target accepts.
    EXPECT_GE(static_cast<double>(sendTimes.size()), 0.7 * row.limit * testTime / 1s);
}

INSTANTIATE_TEST_SUITE_P(All, SharedRateLimits, testing::ValuesIn(FleetRows),
                         [](const auto &row) { return row.param.name; });

// Guards against a target that keeps receiving little after it has recovered.
TEST(TargetRateLimits, EndWithTheFirstAnswerWithoutALimit)
{
    SeededRandom random(3);
    TargetRateLimit limit;
    EXPECT_EQ(limit.timeUntilAllowed(0.25, SteadyTime{}), 0ms);
    limit.update(1, 0.25, SteadyTime{}, random);
    limit.recordSent(SteadyTime{});
    EXPECT_EQ(limit.timeUntilAllowed(0.25, SteadyTime{} + 1s), 3s);
    EXPECT_EQ(limit.timeUntilAllowed(0.5, SteadyTime{} + 1s), 1s) << "another gateway has left";
    EXPECT_EQ(limit.timeUntilAllowed(0, SteadyTime{} + 1s), TargetRateLimit::ProbePeriod - 1s);
    limit.update({}, 0.25, SteadyTime{} + 1s, random);
    EXPECT_EQ(limit.timeUntilAllowed(0.25, SteadyTime{} + 1s), 0ms);
}

} // namespace
