#include "heatherridge_state/decisions/warmuplimit.h"
#include "heatherridge_state/decisions/warmupshare.h"

#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start = SteadyTime{} + 1h;
constexpr milliseconds Lease{1'500};
constexpr milliseconds JoinInterval{450};

/** What keeps the sum of all entries' requests below the target's rate; each can be switched off. */
struct Safeguards
{
    bool dividesByPartition = true; ///< otherwise each entry takes the whole rate
    bool endsWithTheLease = true; ///< otherwise an entry that has lost the log goes on with its last share
    bool waitsForEarlierOwner = true; ///< otherwise an entry uses a new partition at once
    bool countsEarlierRequests = true; ///< otherwise a window begins with the news that the target is cold
};

/**
 * Entries that share one cold target while they start, end and lose the log, on virtual time. The log assigns each
 * partition to one member, and to another one once its owner has left, or has not called for its lease.
 */
class ColdFleet
{
public:
    ColdFleet(int entries, int partitions, WarmUpRate rate, Safeguards safeguards, std::uint64_t seed)
        : m_random(seed)
        , m_entries(static_cast<std::size_t>(entries))
        , m_owners(static_cast<std::size_t>(partitions))
        , m_rate(rate.perSecond)
        , m_reserve(rate.reserve)
        , m_safeguards(safeguards)
    {
    }

    /** Plays @p duration and returns the times at which requests reached the target. */
    std::vector<SteadyTime> play(milliseconds duration)
    {
        constexpr milliseconds step{10};
        for (auto now = Start; now < Start + duration; now += step) {
            for (std::size_t index = 0; index < m_entries.size(); ++index) {
                inject(m_entries[index], now);
                join(index, now);
                sendAll(m_entries[index], now);
            }
        }
        std::sort(m_sent.begin(), m_sent.end());
        return m_sent;
    }

private:
    struct Entry
    {
        bool isAlive = true;
        bool isCutOff = false;
        SteadyTime changesAt{};
        SteadyTime nextJoinAt{};
        SteadyTime lastJoin{};
        SteadyTime coldKnownAt{};
        WarmUpShare share{};
        WarmUpLimit limit{};
    };

    void inject(Entry &entry, SteadyTime now)
    {
        if (now < entry.changesAt) {
            return;
        }
        entry.changesAt = now + milliseconds(200 + m_random.below(4'000));
        const auto draw = m_random.below(4);
        if (draw == 0) {
            entry = {.isAlive = !entry.isAlive, .changesAt = entry.changesAt};
        } else if (draw == 1) {
            entry.isCutOff = !entry.isCutOff;
        }
        if (!m_safeguards.countsEarlierRequests) {
            entry.limit = {};
        }
        entry.limit.begin(1min, now);
    }

    void join(std::size_t index, SteadyTime now)
    {
        auto &entry = m_entries[index];
        if (!entry.isAlive || entry.isCutOff || now < entry.nextJoinAt) {
            return;
        }
        entry.nextJoinAt = now + JoinInterval;
        entry.lastJoin = now;
        const auto live = static_cast<std::size_t>(std::count_if(
            m_entries.begin(), m_entries.end(), [&](const auto &other) { return now - other.lastJoin < Lease; }));
        const auto fair = (m_owners.size() + live - 1) / live;
        std::set<int> owned;
        for (std::size_t partition = 0; partition < m_owners.size(); ++partition) {
            auto &owner = m_owners[partition];
            const bool isFree = !owner || now - m_entries[*owner].lastJoin >= Lease;
            if ((isFree || *owner == index) && owned.size() < fair) {
                owner = index;
                owned.insert(static_cast<int>(partition));
            } else if (owner == index) {
                owner.reset(); // given up with this call
            }
        }
        entry.share.setPartitions({.partitions = owned,
                                   .partitionCount = static_cast<int>(m_owners.size()),
                                   .validUntil = m_safeguards.endsWithTheLease ? now + Lease : SteadyTime::max(),
                                   .lease = m_safeguards.waitsForEarlierOwner ? Lease : -WarmUpLimit::Window},
                                  now);
    }

    void sendAll(Entry &entry, SteadyTime now)
    {
        if (!entry.isAlive) {
            return;
        }
        const auto share = entry.share.maxRequests(TargetName("t"), {m_rate, m_reserve}, now);
        const int allowed = m_safeguards.dividesByPartition ? share : static_cast<int>(m_rate);
        while (entry.limit.timeUntilAllowed(allowed, now).count() == 0) {
            entry.limit.recordSent(now);
            m_sent.push_back(now + milliseconds(m_random.below(80)));
        }
    }

    SeededRandom m_random;
    std::vector<Entry> m_entries;
    std::vector<std::optional<std::size_t>> m_owners; ///< of each partition
    double m_rate;
    double m_reserve;
    Safeguards m_safeguards;
    std::vector<SteadyTime> m_sent;
};

std::ptrdiff_t maxInOneSecond(const std::vector<SteadyTime> &times)
{
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        most = std::max(most, std::lower_bound(first, times.end(), *first + 1s) - first);
    }
    return most;
}

struct FleetRow
{
    const char *name;
    int entries;
    int partitions;
    WarmUpRate rate;
};

const FleetRow FleetRows[] = {
    {"OneEntry", 1, 24, {32, 21}}, {"SixEntries", 6, 24, {32, 21}},     {"ALowRate", 6, 24, {5, 7}},
    {"NoReserve", 6, 24, {32, 0}}, {"NothingAllowed", 6, 24, {0.9, 0}}, {"MoreThanPartitions", 40, 24, {32, 21}},
    {"AFleet", 99, 120, {32, 21}},
};

class ColdTargetShares : public testing::TestWithParam<FleetRow>
{
};

// Guards against a zone that returns cold and is crashed because every entry sends it a warm target's requests.
TEST_P(ColdTargetShares, KeepTheRateTogether)
{
    const auto &row = GetParam();
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ColdFleet fleet(row.entries, row.partitions, row.rate, {}, seed);
        EXPECT_LE(maxInOneSecond(fleet.play(40s)), row.rate.perSecond + row.rate.reserve) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(All, ColdTargetShares, testing::ValuesIn(FleetRows),
                         [](const auto &row) { return row.param.name; });

struct SafeguardRow
{
    const char *name;
    Safeguards safeguards;
};

const SafeguardRow SafeguardRows[] = {
    {"Division", {.dividesByPartition = false}},
    {"EndWithTheLease", {.endsWithTheLease = false}},
    {"WaitForTheEarlierOwner", {.waitsForEarlierOwner = false}},
    {"EarlierRequests", {.countsEarlierRequests = false}},
};

class ColdTargetSafeguards : public testing::TestWithParam<SafeguardRow>
{
};

// Guards against a safeguard that does nothing: without it, some schedule exceeds the rate.
TEST_P(ColdTargetSafeguards, AreEachNeeded)
{
    std::ptrdiff_t most = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ColdFleet fleet(6, 24, {32, 0}, GetParam().safeguards, seed);
        most = std::max(most, maxInOneSecond(fleet.play(40s)));
    }
    EXPECT_GT(most, 32);
}

INSTANTIATE_TEST_SUITE_P(All, ColdTargetSafeguards, testing::ValuesIn(SafeguardRows),
                         [](const auto &row) { return row.param.name; });

// Guards against a share of the rate that is lost in the division.
TEST(ColdTargetShare, AddsUpToTheWholeRate)
{
    WarmUpShare share;
    std::set<int> all;
    for (int partition = 0; partition < 24; ++partition) {
        all.insert(partition);
    }
    share.setPartitions({.partitions = all, .partitionCount = 24, .validUntil = Start + 1min, .lease = Lease}, Start);
    EXPECT_EQ(share.maxRequests(TargetName("t"), {32.9, 21}, Start), 10) << "half of the reserve";
    EXPECT_EQ(share.maxRequests(TargetName("t"), {32.9, 21}, Start + Lease + WarmUpLimit::Window), 32);
}

} // namespace
