#include "heatherridge_coordination/feed/registerfollower.h"
#include "support/stubregisterlog.h"

#include <gtest/gtest.h>

#include <deque>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

/** A register whose calls the test answers. */
class ManualRegister final : public StubRegisterLog
{
public:
    struct Call
    {
        bool isNewest = false;
        std::uint64_t from = 0;
        Done done{};
    };

    void readNewest(RegisterKind, Done done) override
    {
        calls.push_back({.isNewest = true, .done = std::move(done)});
    }

    void read(RegisterKind, std::uint64_t from, std::chrono::milliseconds, Done done) override
    {
        calls.push_back({.from = from, .done = std::move(done)});
    }

    /** Removes and returns the oldest unanswered call. */
    Call popOldestCall()
    {
        auto call = std::move(calls.front());
        calls.pop_front();
        return call;
    }

    std::deque<Call> calls{};
};

class RegisterFollowerTest : public testing::Test
{
protected:
    RegisterFollowerTest()
        : m_follower(m_log, {.pollInterval = 600ms, .retryDelay = 250ms},
                     {.replaced = [this](const auto &changes) { m_replaced.push_back(changes.size()); },
                      .changed = [this](const auto &changes) { m_changed.push_back(changes.size()); },
                      .reachable = [this](bool isReachable, auto) { m_reachable.push_back(isReachable); }})
    {
    }

    void answerNewest(std::uint64_t end)
    {
        m_log.popOldestCall().done(RegisterPage{.changes = {RegisterChange{.key = "a"}}, .end = end});
    }

    ManualRegister m_log;
    std::vector<std::size_t> m_replaced;
    std::vector<std::size_t> m_changed;
    std::vector<bool> m_reachable;
    RegisterFollower m_follower;
};

TEST_F(RegisterFollowerTest, ContinuesAfterTheRecordsAlreadyRead)
{
    m_follower.tick(Start);
    answerNewest(5);
    EXPECT_EQ(m_replaced, std::vector<std::size_t>{1});
    m_follower.tick(Start + 300ms);
    EXPECT_TRUE(m_log.calls.empty());
    m_follower.tick(Start + 600ms);
    auto call = m_log.popOldestCall();
    EXPECT_FALSE(call.isNewest);
    EXPECT_EQ(call.from, 5U);
    call.done(RegisterPage{.changes = {RegisterChange{}, RegisterChange{}}, .end = 7});
    EXPECT_EQ(m_changed, std::vector<std::size_t>{2});
}

// Guards against using a removed key or a departed target forever: if the log drops records that a follower has not
// read and the follower only continued after the gap, it would miss the removal.
TEST_F(RegisterFollowerTest, RereadsTheWholeRegisterWhenRecordsWereDeleted)
{
    m_follower.tick(Start);
    answerNewest(5);
    m_follower.tick(Start + 600ms);
    m_log.popOldestCall().done(Error{.kind = ErrorKind::NotFound});
    m_follower.tick(Start + 620ms);
    ASSERT_EQ(m_log.calls.size(), 1U);
    EXPECT_TRUE(m_log.calls.front().isNewest);
    answerNewest(9);
    EXPECT_EQ(m_replaced.size(), 2U);
}

TEST_F(RegisterFollowerTest, ReportsAnOutageOnceAndResumesAtTheSameOffset)
{
    m_follower.tick(Start);
    answerNewest(5);
    m_follower.tick(Start + 600ms);
    m_log.popOldestCall().done(Error{.kind = ErrorKind::PlatformUnavailable});
    m_follower.tick(Start + 700ms);
    EXPECT_TRUE(m_log.calls.empty()) << "read again before the retry delay has passed";
    m_follower.tick(Start + 850ms);
    m_log.popOldestCall().done(Error{.kind = ErrorKind::PlatformUnavailable});
    EXPECT_EQ(m_reachable, (std::vector<bool>{true, false}));
    m_follower.tick(Start + 1200ms);
    auto call = m_log.popOldestCall();
    EXPECT_EQ(call.from, 5U);
    call.done(RegisterPage{.end = 5});
    EXPECT_EQ(m_reachable, (std::vector<bool>{true, false, true}));
    EXPECT_TRUE(m_changed.empty());
}

TEST_F(RegisterFollowerTest, KeepsAtMostOneReadInFlight)
{
    m_follower.tick(Start);
    m_follower.tick(Start + 10s);
    EXPECT_EQ(m_log.calls.size(), 1U);
}

// Guards against records that are never read because a restored log assigned already read offsets to them.
TEST_F(RegisterFollowerTest, RereadsTheWholeRegisterAfterARestart)
{
    m_follower.tick(Start);
    answerNewest(5);
    m_follower.tick(Start + 600ms);
    const auto staleCall = m_log.popOldestCall();
    m_follower.restart(100ms);
    staleCall.done(RegisterPage{.changes = {RegisterChange{.key = "old"}}, .end = 9});
    EXPECT_TRUE(m_changed.empty()) << "the answer to a call from before the restart";
    m_follower.tick(Start + 680ms);
    EXPECT_TRUE(m_log.calls.empty()) << "before the delay has passed";
    m_follower.tick(Start + 700ms);
    EXPECT_TRUE(m_log.calls.at(0).isNewest);
    answerNewest(3);
    EXPECT_EQ(m_replaced.size(), 2U);
}

} // namespace
