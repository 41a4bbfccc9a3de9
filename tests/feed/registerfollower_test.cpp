#include "heatherridge_coordination/feed/registerfollower.h"

#include <gtest/gtest.h>

#include <deque>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

/** A register that answers when it is told to. */
class ManualRegister final : public RegisterLog
{
public:
    struct Call
    {
        bool isNewest = false;
        std::uint64_t from = 0;
        Done done{};
    };

    void newest(RegisterKind, Done done) override
    {
        calls.push_back({.isNewest = true, .done = std::move(done)});
    }

    void read(RegisterKind, std::uint64_t from, std::chrono::milliseconds, Done done) override
    {
        calls.push_back({.from = from, .done = std::move(done)});
    }

    std::optional<Result<RoutingConfig>> rulesIn(const RegisterChange &) const override
    {
        return std::nullopt;
    }

    Result<TargetEntry> targetIn(const RegisterChange &) const override
    {
        return Error{};
    }

    /** The call that has waited longest. */
    Call take()
    {
        auto call = std::move(calls.front());
        calls.pop_front();
        return call;
    }

    std::deque<Call> calls{};
};

class Followers : public testing::Test
{
protected:
    Followers()
        : follower(log, {.period = 600ms, .retryPause = 250ms},
                   {.replaced = [this](const auto &changes) { replaced.push_back(changes.size()); },
                    .changed = [this](const auto &changes) { changed.push_back(changes.size()); },
                    .reachable = [this](bool answers, auto) { reachable.push_back(answers); }})
    {
    }

    void answerNewest(std::uint64_t end)
    {
        log.take().done(RegisterPage{.changes = {RegisterChange{.key = "a"}}, .end = end});
    }

    ManualRegister log;
    std::vector<std::size_t> replaced;
    std::vector<std::size_t> changed;
    std::vector<bool> reachable;
    RegisterFollower follower;
};

TEST_F(Followers, ReadOnBehindWhatTheyHave)
{
    follower.tick(Start);
    answerNewest(5);
    EXPECT_EQ(replaced, std::vector<std::size_t>{1});
    follower.tick(Start + 300ms);
    EXPECT_TRUE(log.calls.empty());
    follower.tick(Start + 600ms);
    auto call = log.take();
    EXPECT_FALSE(call.isNewest);
    EXPECT_EQ(call.from, 5U);
    call.done(RegisterPage{.changes = {RegisterChange{}, RegisterChange{}}, .end = 7});
    EXPECT_EQ(changed, std::vector<std::size_t>{2});
}

// The store drops records that a follower has not read. Read on as if nothing had been there, a key that was taken away
// or a target that left in the gap would be used for ever.
TEST_F(Followers, BeginAnewWhenRecordsHaveGone)
{
    follower.tick(Start);
    answerNewest(5);
    follower.tick(Start + 600ms);
    log.take().done(Error{.kind = ErrorKind::NotFound});
    follower.tick(Start + 620ms);
    ASSERT_EQ(log.calls.size(), 1U);
    EXPECT_TRUE(log.calls.front().isNewest);
    answerNewest(9);
    EXPECT_EQ(replaced.size(), 2U);
}

TEST_F(Followers, TellOfAnOutageOnceAndGoOnWhereTheyWere)
{
    follower.tick(Start);
    answerNewest(5);
    follower.tick(Start + 600ms);
    log.take().done(Error{.kind = ErrorKind::PlatformUnavailable});
    follower.tick(Start + 700ms);
    EXPECT_TRUE(log.calls.empty()) << "it asks again within the pause";
    follower.tick(Start + 850ms);
    log.take().done(Error{.kind = ErrorKind::PlatformUnavailable});
    EXPECT_EQ(reachable, (std::vector<bool>{true, false}));
    follower.tick(Start + 1200ms);
    auto call = log.take();
    EXPECT_EQ(call.from, 5U);
    call.done(RegisterPage{.end = 5});
    EXPECT_EQ(reachable, (std::vector<bool>{true, false, true}));
    EXPECT_TRUE(changed.empty());
}

TEST_F(Followers, AskOnceAtATime)
{
    follower.tick(Start);
    follower.tick(Start + 10s);
    EXPECT_EQ(log.calls.size(), 1U);
}

} // namespace
