#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "support/silentranks.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int Size = 4;

/** How one rank answers in a phase. */
enum class Word {
    Open,
    Broken, ///< it says that its group does not work
    None, ///< no answer
};

/** Ranks that answer as they are told. */
class TalkingRanks final : public RankControl
{
public:
    std::chrono::milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return 10ms;
    }

    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override
    {
        const int rank = std::stoi(target.id.text());
        ++asked[target.id];
        const auto word = words.at(static_cast<std::size_t>(rank));
        if (word == Word::None) {
            done(Error{.kind = ErrorKind::TargetUnreachable});
            return;
        }
        done(RankStatus{.group = GroupName("g"),
                        .epoch = 1,
                        .rank = rank,
                        .size = Size,
                        .isOpen = word == Word::Open,
                        .step = 10,
                        .countsAskedAgo = countsAskedAgo});
    }

    void fetchCounts(const TargetEntry &, std::function<void(Result<RankCounts>)> done) override
    {
        ++countsAsked;
        done(RankCounts{.epoch = 1});
    }

    void fetchExperts(const TargetEntry &, std::function<void(Result<RankExperts>)> done) override
    {
        done(RankExperts{});
    }

    void sendOrder(const TargetEntry &, const RankOrder &, std::uint64_t, std::function<void(OrderReply)> done) override
    {
        done(OrderReply::Refused);
    }

    std::vector<Word> words;
    std::optional<std::chrono::milliseconds> countsAskedAgo{}; ///< as each rank says
    int countsAsked = 0;
    std::map<TargetName, int> asked{}; ///< for their status
};

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

struct WatchRow
{
    const char *story;
    std::vector<Word> before;
    std::vector<Word> after;
    int open; ///< engines that are told to be open afterwards
};

const WatchRow WatchRows[] = {
    {"all open", {Word::Open, Word::Open, Word::Open, Word::Open}, {Word::Open, Word::Open, Word::Open, Word::Open}, 4},
    // An engine dies, and the rest of its group says so. Its own last word was that it works: idle as it looks, it drew
    // 577 attempts that never reached it, and callers were refused for want of repeats.
    {"one has died",
     {Word::Open, Word::Open, Word::Open, Word::Open},
     {Word::Broken, Word::None, Word::Broken, Word::Broken},
     0},
    {"one is out of reach from here alone",
     {Word::Open, Word::Open, Word::Open, Word::Open},
     {Word::Open, Word::None, Word::Open, Word::Open},
     3},
    // After a loss of power the first engine that has answered would get all that waits.
    {"too few have spoken",
     {Word::Open, Word::None, Word::None, Word::None},
     {Word::Open, Word::None, Word::None, Word::None},
     0},
};

class WatchedEngines : public testing::TestWithParam<WatchRow>
{
};

TEST_P(WatchedEngines, AreOpenAsLongAsTheirGroupWorks)
{
    const auto &row = GetParam();
    TalkingRanks ranks;
    std::vector<EngineView> views;
    const FixedClock clock;
    ExpertRebalancer keeper(ranks, {}, {.enginesUpdated = [&](auto engines) { views = std::move(engines); }}, clock,
                            [] { return 1; });
    keeper.setTargets(numberedRanks(Size), {.layerSets = 1, .experts = 4, .places = 2}, 120ms);
    SteadyTime now(1h);
    for (const auto &words : {row.before, row.after}) {
        ranks.words = words;
        for (int tick = 0; tick < 200; ++tick) { // longer than a silent engine is kept in mind
            now += 20ms;
            keeper.tick(now);
        }
    }
    EXPECT_EQ(std::count_if(views.begin(), views.end(), [](const auto &view) { return view.isOpen; }), row.open)
        << row.story;
    const auto statusReceived =
        std::count_if(row.before.begin(), row.before.end(), [](auto word) { return word != Word::None; });
    EXPECT_EQ(static_cast<std::ptrdiff_t>(views.size()), statusReceived)
        << "an engine that falls silent is told of all the same";
}

INSTANTIATE_TEST_SUITE_P(All, WatchedEngines, testing::ValuesIn(WatchRows));

struct FarRow
{
    const char *story;
    bool isActive; ///< the keeper switches maps
    int rank;
    bool isSeldom; ///< it is asked less often than a near one
};

// Fourteen gateways ask 192 engines each 0.4 s: 7,000 questions a second, most of them to other zones.
const FarRow FarRows[] = {
    {"a far rank", false, 2, true},
    {"a far rank at which switches hold passes", false, 0, false},
    {"a far rank at which recoveries hold passes", false, 1, false},
    {"a near rank", false, 3, false},
    {"a far rank while this keeper switches maps", true, 2, false},
};

class FarRanks : public testing::TestWithParam<FarRow>
{
};

TEST_P(FarRanks, AreAskedAsOftenAsTheyMatter)
{
    const auto &row = GetParam();
    TalkingRanks ranks;
    ranks.words.assign(Size, Word::Open);
    std::vector<TargetEntry> targets;
    targets.reserve(Size);
    for (int rank = 0; rank < Size; ++rank) {
        targets.push_back({.id = TargetName(std::to_string(rank)), .zone = ZoneName(rank == 3 ? "near" : "far")});
    }
    const FixedClock clock;
    constexpr double thinLink = 100; // bytes a second
    ExpertRebalancer keeper(ranks, {.budget = ControlBudget(ZoneName("near"), thinLink)}, {}, clock, [] { return 1; });
    keeper.setTargets(targets, {.layerSets = 1, .experts = 4, .places = 2}, 120ms);
    keeper.setActive(row.isActive, true);
    SteadyTime now(1h);
    constexpr int ticks = 600;
    for (int tick = 0; tick < ticks; ++tick) {
        now += 20ms;
        keeper.tick(now);
    }
    const int asked = ranks.asked[targets[static_cast<std::size_t>(row.rank)].id];
    constexpr int asNear = ticks * 20 / 400;
    EXPECT_LE(asked, row.isSeldom ? asNear / 4 : ticks) << row.story;
    EXPECT_GE(asked, row.isSeldom ? 1 : asNear - 2) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, FarRanks, testing::ValuesIn(FarRows));

struct OrphanRow
{
    const char *story;
    bool isConfirmed; ///< the log answers this keeper
    std::optional<std::chrono::milliseconds> countsAskedAgo;
    bool isSilentLater; ///< ranks fall silent after their first word
    bool takesOver;
};

// Passes take two to three times as long for nine seconds: the machine that keeps maps is stopped while the log is
// down. The others ask the log in vain who keeps them now, and nobody follows what is liked until it is back.
const OrphanRow OrphanRows[] = {
    {"nobody has asked for counts for long, and the log can't say who should", false, 10s, false, true},
    {"somebody asks", false, 100ms, false, false},
    {"the log answers, and gives the share to another", true, 10s, false, false},
    {"ranks can't tell", false, std::nullopt, false, false},
    {"what ranks have told is old", false, 1'400ms, true, false},
};

class OrphanedGroups : public testing::TestWithParam<OrphanRow>
{
};

TEST_P(OrphanedGroups, FindAKeeperWhileTheLogIsOut)
{
    const auto &row = GetParam();
    TalkingRanks ranks;
    ranks.words.assign(Size, Word::Open);
    ranks.countsAskedAgo = row.countsAskedAgo;
    std::vector<std::string> told;
    const FixedClock clock;
    ExpertRebalancer keeper(
        ranks, {}, {.decisionMade = [&told](auto what, const auto &, const auto &) { told.emplace_back(what); }}, clock,
        [] { return 700; });
    keeper.setTargets(numberedRanks(Size), {.layerSets = 1, .experts = 4, .places = 2}, 120ms);
    SteadyTime now(1h);
    for (int tick = 0; tick < 200; ++tick) {
        now += 20ms;
        keeper.setActive(false, row.isConfirmed);
        keeper.tick(now);
        if (row.isSilentLater && tick == 30) {
            ranks.words.assign(Size, Word::None);
        }
    }
    EXPECT_EQ(std::count(told.begin(), told.end(), "keeper-takes-over"), row.takesOver ? 1 : 0) << row.story;
    EXPECT_EQ(ranks.countsAsked > 0, row.takesOver) << row.story;
    // The log answers again and says whose the share is.
    keeper.setActive(false, true);
    const int asked = ranks.countsAsked;
    for (int tick = 0; tick < 100; ++tick) {
        now += 20ms;
        keeper.tick(now);
    }
    EXPECT_EQ(ranks.countsAsked, asked) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, OrphanedGroups, testing::ValuesIn(OrphanRows));

} // namespace
