#include "heatherridge_state/decisions/promptpartsuspects.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Parts = std::vector<PromptPart>;
using Records = std::vector<PromptPartRecord>;

constexpr auto Self = static_cast<Incarnation>(1);
constexpr auto Other = static_cast<Incarnation>(2);
constexpr auto Popular = static_cast<PromptPart>(100); ///< the first part of all prompts
constexpr auto Poison = static_cast<PromptPart>(200);
constexpr auto Companion = static_cast<PromptPart>(300);
constexpr auto FreshPartBase = 1'000;
const SteadyTime Start(1h);

/** Deaths of different targets that follow each other in 100 ms, in prompts that share some parts. */
struct DeathsRow
{
    const char *name;
    Parts answered; ///< before the first death
    Parts shared; ///< by the first prompts
    int deaths; ///< under prompts with all of these
    int otherDeaths; ///< under prompts with the first of them only
    Parts held;
};

std::ostream &operator<<(std::ostream &out, const DeathsRow &row)
{
    return out << row.name;
}

const DeathsRow DeathsRows[] = {
    // Guards against sending all waiting requests with the part at once when groups open again.
    {"AnsweredPartAtAllDeaths", {Popular, Poison}, {Popular, Poison}, 5, 0, {Poison}},
    {"AnsweredPartsWithTheSameDeaths",
     {Popular, Poison, Companion},
     {Popular, Poison, Companion},
     5,
     0,
     {Poison, Companion}},
    // Guards against several requests at once before a death that a gateway out of touch reports late is known.
    {"UnknownPartAtTwoDeaths", {Popular}, {Popular, Poison}, 2, 0, {Poison}},
    {"UnknownPartAtOneDeath", {Popular}, {Popular, Poison}, 1, 0, {}},
    {"UnknownPartAtTwoOfFourDeaths", {Popular}, {Popular, Poison}, 2, 2, {}},
    {"TooFewDeaths", {Popular, Poison}, {Popular, Poison}, 4, 0, {}},
    // Guards against holding back sound requests when many targets die at once.
    {"PartAtHalfOfTheDeaths", {Popular, Poison}, {Popular, Poison}, 5, 5, {}},
    {"FirstPart", {Popular}, {Popular}, 5, 0, {}},
};

class HeldPartsOfDeaths : public testing::TestWithParam<DeathsRow>
{
};

/** Records a death of a target of its own under @p shared and a new part. */
void recordDeath(PromptPartSuspects &suspects, Parts shared, int number, SteadyTime now)
{
    shared.push_back(static_cast<PromptPart>(FreshPartBase + number));
    suspects.recordTargetDeath(TargetName(std::to_string(number)), shared, 0, now);
}

TEST_P(HeldPartsOfDeaths, AreThoseInHandAtMostDeathsWithoutProof)
{
    const auto &row = GetParam();
    PromptPartSuspects suspects(Self);
    suspects.recordAnswer(row.answered, 2, false, Start - 1s);
    for (int number = 0; number < row.deaths + row.otherDeaths; ++number) {
        recordDeath(suspects, number < row.deaths ? row.shared : Parts{Popular}, number, Start + number * 100ms);
    }
    const auto held = suspects.tick(Start + 2s).held;
    EXPECT_EQ(held, row.held);
    for (const auto part : row.shared) {
        const bool isHeld = std::find(held.begin(), held.end(), part) != held.end();
        EXPECT_EQ(suspects.mayStart(Parts{Popular, part}, Start + 2s), !isHeld) << toNumber(part);
        EXPECT_FALSE(suspects.blockedPart(Parts{part}));
    }
}

INSTANTIATE_TEST_SUITE_P(All, HeldPartsOfDeaths, testing::ValuesIn(DeathsRows),
                         [](const auto &row) { return row.param.name; });

class HeldPart : public testing::Test
{
protected:
    HeldPart()
    {
        m_suspects.recordAnswer(Parts{Popular, Poison}, 2, false, Start - 1s);
        for (int number = 0; number < 5; ++number) {
            recordDeath(m_suspects, {Popular, Poison}, number, Start + number * 100ms);
        }
        m_suspects.tick(m_now);
    }

    bool mayStart()
    {
        return m_suspects.mayStart(Parts{Popular, Poison}, m_now);
    }

    /** Asks every 100 ms for @p time whether a request with the part may start. @returns how many may */
    int startFor(std::chrono::milliseconds time)
    {
        int started = 0;
        for (const auto end = m_now + time; m_now < end; m_now += 100ms) {
            started += mayStart() ? 1 : 0;
            const auto changes = m_suspects.tick(m_now);
            std::copy_if(changes.toPublish.begin(), changes.toPublish.end(), std::back_inserter(m_claims),
                         [](const auto &record) { return std::holds_alternative<PromptPartTrial>(record); });
        }
        return started;
    }

    void recordAnswersOfOthers()
    {
        for (int number = 0; number < 8; ++number) {
            m_suspects.recordAnswer(Parts{static_cast<PromptPart>(2 * FreshPartBase + number)}, 2, false, m_now);
        }
    }

    bool isBlockedAfter(std::chrono::milliseconds time)
    {
        m_suspects.tick(m_now += time);
        return m_suspects.blockedPart(Parts{Poison}).has_value();
    }

    PromptPartSuspects m_suspects{Self};
    SteadyTime m_now = Start + 2s;
    Records m_claims;
};

// Guards against one trial of each gateway instead of one of all.
TEST_F(HeldPart, IsTriedByTheGatewayWhoseClaimIsFirstInTheLog)
{
    EXPECT_EQ(startFor(500ms), 0);
    ASSERT_EQ(m_claims.size(), 1U);
    const Records other{PromptPartTrial{.part = Poison, .gateway = Other, .number = 1}};
    m_suspects.apply(other, m_now);
    m_suspects.apply(m_claims, m_now);
    EXPECT_EQ(startFor(2s), 0);
}

TEST_F(HeldPart, IsTriedOnceAClaim)
{
    startFor(500ms);
    m_suspects.apply(m_claims, m_now);
    EXPECT_EQ(startFor(2s), 1);
}

// Guards against trials that targets refuse unread and that follow each other quickly: each of them reaches a target.
TEST_F(HeldPart, IsTriedLessAndLessOftenWhenNoTrialTellsAnything)
{
    constexpr int tolerated = 3; // requests with the part that callers tolerate at targets
    int started = 0;
    for (int second = 0; second < 30; ++second) {
        started += startFor(1s);
        m_suspects.apply(m_claims, m_now);
        m_claims.clear();
    }
    EXPECT_GE(started, 2);
    EXPECT_LE(started, tolerated);
}

// Guards against blocking a sound part because only others were answered while its requests had to wait.
TEST_F(HeldPart, IsNotBlockedByAnswersOfOthersBeforeATrialCrashesATarget)
{
    recordAnswersOfOthers();
    recordDeath(m_suspects, {Popular, Poison}, 5, m_now); // sent before it was held
    EXPECT_FALSE(isBlockedAfter(500ms));
    startFor(500ms);
    m_suspects.apply(m_claims, m_now);
    m_now += 200ms;
    recordDeath(m_suspects, {Popular, Poison}, 6, m_now);
    EXPECT_TRUE(isBlockedAfter(500ms));
}

// Guards against holding back sound requests longer than it takes to answer one of them, at any gateway.
TEST_F(HeldPart, IsSentAgainOnceARequestIsAnswered)
{
    const auto changes = m_suspects.recordAnswer(Parts{Popular, Poison}, 2, false, m_now);
    EXPECT_EQ(changes.unheld, Parts{Poison});
    EXPECT_EQ(changes.toPublish, Records{PromptPartsAnswered{.parts = {Poison}}});
    EXPECT_TRUE(mayStart());
}

// Guards against requests that wait seconds for the fate of a trial that no target has received.
TEST_F(HeldPart, IsTriedByAnotherRequestIfTheFirstReachesNoTarget)
{
    startFor(500ms);
    m_suspects.apply(Records{PromptPartTrial{.part = Poison, .gateway = Self, .number = 1}}, m_now);
    ASSERT_TRUE(mayStart());
    EXPECT_FALSE(mayStart());
    m_suspects.returnTrial(Poison);
    EXPECT_TRUE(mayStart());
    EXPECT_FALSE(mayStart());
    m_suspects.returnTrial(Poison);
    m_now += HeldParts::Options{}.claimLifetime;
    EXPECT_FALSE(mayStart()) << "another gateway may claim the next trial";
}

// Guards against requests that wait for a log which the gateway does not reach.
TEST_F(HeldPart, IsTriedWithoutAClaimWhenNoneIsRead)
{
    EXPECT_EQ(startFor(3s), 0);
    EXPECT_EQ(startFor(3s), 1);
    EXPECT_EQ(startFor(3s), 1);
}

} // namespace
