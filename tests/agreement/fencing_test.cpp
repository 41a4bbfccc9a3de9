#include "heatherridge_state/fold/configstate.h"
#include "heatherridge_state/fold/fencinggate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const RoleName Leader{"leader"};

/** One process beside a target: a replica of the stream and a gate, both lost at a restart. */
struct Guard
{
    ConfigState state;
    FencingGate gate;
    std::size_t confirmAt = 0; ///< the log's end when this run started
    LogOffset lastAccepted{}; ///< over all runs: what must not be undercut
    RoleHolder lastHolder{};

    void fold(const std::vector<ClaimRole> &log, std::size_t upTo)
    {
        while (toNumber(state.offset()) < upTo) {
            state.apply(next(state.offset()), log[toNumber(state.offset())]);
            if (const auto *holder = state.holderOf(Leader)) {
                gate.updateHolder(*holder);
            }
        }
        if (toNumber(state.offset()) >= confirmAt) {
            gate.open();
        }
    }
};

// Processes claim the leader's role, one after the other, and each goes on giving orders after it has been replaced,
// as after a pause. Gates follow the log at their own pace and restart with empty memory in between.
RC_GTEST_PROP(FencingProperty, NoGateAcceptsALowerNumberAfterAHigherNorTwoHoldersOfOne, ())
{
    std::vector<ClaimRole> log;
    std::vector<Guard> guards(3);
    std::uint64_t accepted = 0;
    for (int step = 0; step < 150; ++step) {
        auto &guard = guards[*rc::gen::inRange<std::size_t>(0, guards.size())];
        const auto pick = *rc::gen::inRange(0, 10);
        if (pick == 0) {
            const auto replaces = *rc::gen::inRange<std::uint64_t>(0, log.size() + 1);
            log.push_back({.role = Leader,
                           .claimant = ProcessName("p" + std::to_string(log.size() % 3)),
                           .incarnation = static_cast<Incarnation>(log.size()),
                           .replaces = static_cast<FencingNumber>(replaces)});
        } else if (pick == 1) {
            guard.state = {};
            guard.gate = {};
            guard.confirmAt = log.size();
            guard.fold(log, 0);
        } else if (pick < 5) {
            guard.fold(log, *rc::gen::inRange<std::size_t>(0, log.size() + 1));
        } else if (!log.empty()) {
            const auto number = *rc::gen::inRange<std::size_t>(0, log.size()) + 1;
            const auto &order = log[number - 1];
            const auto outcome =
                guard.gate.check(order.claimant, order.incarnation, static_cast<FencingNumber>(number));
            if (errorIn(outcome) == nullptr) {
                ++accepted;
                const RoleHolder holder{order.claimant, order.incarnation, static_cast<FencingNumber>(number)};
                RC_ASSERT(static_cast<LogOffset>(number) >= guard.lastAccepted);
                RC_ASSERT(static_cast<LogOffset>(number) > guard.lastAccepted || holder == guard.lastHolder);
                guard.lastAccepted = static_cast<LogOffset>(number);
                guard.lastHolder = holder;
            }
        }
    }
    RC_CLASSIFY(accepted > 0);
}

struct OrderRow
{
    const char *story;
    bool isOpen;
    RoleHolder order;
    std::optional<ErrorKind> refusal;
};

const OrderRow OrderRows[] = {
    {"the holder", true, {ProcessName("b"), Incarnation{2}, FencingNumber{7}}, std::nullopt},
    {"a gate that has not caught up since its start",
     false,
     {ProcessName("b"), Incarnation{2}, FencingNumber{7}},
     ErrorKind::Unconfirmed},
    {"an earlier holder that wakes up after a minute",
     true,
     {ProcessName("a"), Incarnation{1}, FencingNumber{3}},
     ErrorKind::FencedOff},
    {"an earlier run of the holder", true, {ProcessName("b"), Incarnation{1}, FencingNumber{7}}, ErrorKind::FencedOff},
    {"a claim that is not folded here yet",
     true,
     {ProcessName("c"), Incarnation{3}, FencingNumber{9}},
     ErrorKind::StaleOffset},
    {"no number at all", true, {ProcessName("b"), Incarnation{2}, FencingNumber{0}}, ErrorKind::FencedOff},
};

class FencedOrder : public testing::TestWithParam<OrderRow>
{
};

TEST_P(FencedOrder, PassesOrIsRefusedForItsReason)
{
    FencingGate gate;
    gate.updateHolder({ProcessName("b"), Incarnation{2}, FencingNumber{7}});
    gate.updateHolder({ProcessName("a"), Incarnation{1}, FencingNumber{3}});
    if (GetParam().isOpen) {
        gate.open();
    }
    const auto &order = GetParam().order;
    const auto outcome = gate.check(order.holder, order.incarnation, order.number);
    const auto *error = errorIn(outcome);
    ASSERT_EQ(error != nullptr, GetParam().refusal.has_value()) << GetParam().story;
    if (error != nullptr) {
        EXPECT_EQ(error->kind, *GetParam().refusal) << GetParam().story;
        EXPECT_EQ(error->ranOrDefault(), ExecutionStatus::No) << GetParam().story;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, FencedOrder, testing::ValuesIn(OrderRows));

} // namespace
