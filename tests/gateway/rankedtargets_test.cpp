#include "heatherridge_transport/direct/gatewaytargets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start = SteadyTime{} + 1h;
const ServiceName Service("narrator");
constexpr int Groups = 2;
constexpr int EnginesPerGroup = 8;
constexpr int Slots = 10;
constexpr auto Pass = 45ms;
constexpr std::size_t StreamSteps = 60; ///< of 5 ms, from sending a stream to its end

RoutingConfig makeConfig()
{
    const EngineProfile engine{
        .stepTime = 22ms, .stepTimePerRequest = 5ms, .promptTime = 13ms, .typicalAnswerTokens = 19, .layerSets = 1};
    return {.services = {{.name = Service, .engine = engine}}};
}

/** Two open expert groups as one of four gateways sees them. */
class EngineGroups
{
public:
    explicit EngineGroups(int running, bool isOpen = true)
        : m_targets(ZoneName("a"), {})
    {
        m_targets.setServices(makeConfig());
        m_targets.setLimitShare(0.25);
        m_targets.engineShares().setEvenShare(0.25, 3);
        std::vector<TargetEntry> entries;
        std::vector<EngineView> engines;
        for (int index = 0; index < Groups * EnginesPerGroup; ++index) {
            const TargetName id("t" + std::to_string(index));
            entries.push_back(
                {.id = id, .service = Service, .zone = ZoneName(index % 2 == 0 ? "a" : "b"), .slots = Slots});
            engines.push_back({.target = id,
                               .group = GroupName("g" + std::to_string(index / EnginesPerGroup)),
                               .isGroupOpen = isOpen,
                               .isOpen = isOpen,
                               .running = running + index % 3,
                               .passTime = Pass,
                               .requestedAt = Start - 10s});
        }
        m_targets.setEntries(entries, Start - 10s);
        m_targets.updateEngines(engines);
        for (auto &engine : engines) {
            engine.requestedAt = Start;
        }
        m_targets.updateEngines(engines);
    }

    GatewayTargets::Choice choose(std::function<bool(const RankAdmission::Capacity &)> mayAdmit, SteadyTime now)
    {
        return m_targets.choose({.service = Service, .mayAdmit = std::move(mayAdmit)}, now, m_random);
    }

    /** Sends streams for two seconds as soon as they find an engine. @returns the index of the engine of each */
    std::vector<int> sendAll(const std::function<bool(const RankAdmission::Capacity &)> &mayAdmit)
    {
        std::vector<int> chosen;
        for (auto now = Start; now < Start + 2s; now += 5ms) {
            if (chosen.size() >= StreamSteps && chosen[chosen.size() - StreamSteps] >= 0) {
                m_targets.find(TargetName("t" + std::to_string(chosen[chosen.size() - StreamSteps])))
                    ->load.recordEnded();
            }
            const auto choice = choose(mayAdmit, now);
            if (choice.target == nullptr) {
                chosen.push_back(-1);
                continue;
            }
            auto &target = *choice.target;
            chosen.push_back(std::stoi(target.entry.id.text().substr(1)));
            target.load.recordSent();
            target.lastReceivedAt = now;
            ++target.sentSinceReport;
            m_targets.recordSend(target.engine->group, now);
            if (chosen.size() % 9 == 0) {
                m_targets.recordPause(target.engine->group, Pass + chosen.size() % 4 * 10ms, now);
            }
        }
        return chosen;
    }

private:
    GatewayTargets m_targets;
    SeededRandom m_random{20261202};
};

// Guards against other decisions for services whose streams have one priority. The sums are those of the version before
// rank admission.
TEST(RankedTargets, AreChosenAsBeforeWithoutRanks)
{
    const auto chosen = EngineGroups(2).sendAll({});
    EXPECT_EQ(std::count(chosen.begin(), chosen.end(), -1), 229);
    std::uint64_t digest = 0;
    for (const int index : chosen) {
        digest = digest * 31 + static_cast<std::uint64_t>(index + 1);
    }
    EXPECT_EQ(digest, 8115719427805441913U);
    EXPECT_EQ(EngineGroups(2).sendAll([](const auto &) { return true; }), chosen);
}

// Guards against a stream of a held rank that takes the headroom which higher ranks need.
TEST(RankedTargets, HoldAStreamAlthoughItsGroupHasHeadroom)
{
    EngineGroups groups(2);
    ASSERT_NE(groups.choose({}, Start).target, nullptr);
    const auto choice = groups.choose([](const auto &) { return false; }, Start);
    EXPECT_EQ(choice.target, nullptr);
    EXPECT_EQ(choice.reason, NoChoiceReason::AllFull);
    EXPECT_NE(groups.choose({}, Start).target, nullptr);
}

struct CapacityRow
{
    const char *description;
    int running; ///< at each engine, and up to two more
    bool isOpen;
    double minRoom;
    double maxRoom;
};

// Passes of 180 ms keep the pauses: an engine can have (180 - 22) / (5 + 13 / 19) = 27 requests on time, but has ten
// slots.
const CapacityRow CapacityRows[] = {
    {"free slots of both groups", 2, true, Groups *EnginesPerGroup, Groups *EnginesPerGroup *Slots},
    {"more requests than slots", Slots, true, 0, 0},
    {"no group is open", 0, false, 0, 0},
};

class GroupCapacities : public testing::TestWithParam<CapacityRow>
{
};

// Guards against ranks that are admitted to capacity which does not exist.
TEST_P(GroupCapacities, AreTheHeadroomOfOpenGroups)
{
    const auto &row = GetParam();
    RankAdmission::Capacity capacity;
    EngineGroups(row.running, row.isOpen)
        .choose(
            [&capacity](const auto &seen) {
                capacity = seen;
                return false;
            },
            Start);
    EXPECT_GE(capacity.room, row.minRoom) << row.description;
    EXPECT_LE(capacity.room, row.maxRoom) << row.description;
    EXPECT_DOUBLE_EQ(capacity.share, 0.25) << row.description;
    EXPECT_NEAR(capacity.promptWeight, 13 / (5 + 13.0 / 19), 0.01) << row.description;
    if (row.isOpen) {
        EXPECT_EQ(capacity.pass, Pass) << row.description;
    }
}

INSTANTIATE_TEST_SUITE_P(All, GroupCapacities, testing::ValuesIn(CapacityRows));

} // namespace
