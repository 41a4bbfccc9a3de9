#include "heatherridge_state/fold/configstate.h"
#include "heatherridge_state/fold/fencinggate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const RoleName Leader{"leader"};

/** A sidecar process: a replica of the stream and a fencing gate, both lost at a restart. */
struct FencedProcess
{
    ConfigState state;
    FencingGate gate;
    std::size_t confirmationOffset = 0; ///< the log's end when this run started
    LogOffset lastAccepted{}; ///< highest over all runs; no lower number may be accepted later
    RoleHolder lastHolder{};

    void fold(const std::vector<ClaimRole> &log, std::size_t upTo)
    {
        while (toNumber(state.offset()) < upTo) {
            state.apply(next(state.offset()), log[toNumber(state.offset())]);
            if (const auto *holder = state.holderOf(Leader)) {
                gate.updateHolder(*holder);
            }
        }
        if (toNumber(state.offset()) >= confirmationOffset) {
            gate.open();
        }
    }
};

// Guards against orders of a replaced leader: processes claim the leader role one after the other, and each continues
// to send orders after it was replaced, as after a pause. Gates follow the log at their own pace and lose their memory
// when they restart.
RC_GTEST_PROP(FencingProperty, NeverAcceptsALowerNumberOrASecondHolderOfTheSameNumber, ())
{
    std::vector<ClaimRole> log;
    std::vector<FencedProcess> processes(3);
    std::uint64_t acceptedOrders = 0;
    for (int step = 0; step < 150; ++step) {
        auto &process = processes[*rc::gen::inRange<std::size_t>(0, processes.size())];
        const auto action = *rc::gen::inRange(0, 10);
        if (action == 0) {
            const auto replaces = *rc::gen::inRange<std::uint64_t>(0, log.size() + 1);
            log.push_back({.role = Leader,
                           .claimant = ProcessName("p" + std::to_string(log.size() % 3)),
                           .incarnation = static_cast<Incarnation>(log.size()),
                           .replaces = static_cast<FencingNumber>(replaces)});
        } else if (action == 1) {
            process.state = {};
            process.gate = {};
            process.confirmationOffset = log.size();
            process.fold(log, 0);
        } else if (action < 5) {
            process.fold(log, *rc::gen::inRange<std::size_t>(0, log.size() + 1));
        } else if (!log.empty()) {
            const auto number = *rc::gen::inRange<std::size_t>(0, log.size()) + 1;
            const auto &order = log[number - 1];
            const auto outcome =
                process.gate.check(order.claimant, order.incarnation, static_cast<FencingNumber>(number));
            if (errorIn(outcome) == nullptr) {
                ++acceptedOrders;
                const RoleHolder holder{order.claimant, order.incarnation, static_cast<FencingNumber>(number)};
                RC_ASSERT(static_cast<LogOffset>(number) >= process.lastAccepted);
                RC_ASSERT(static_cast<LogOffset>(number) > process.lastAccepted || holder == process.lastHolder);
                process.lastAccepted = static_cast<LogOffset>(number);
                process.lastHolder = holder;
            }
        }
    }
    RC_CLASSIFY(acceptedOrders > 0);
}

struct OrderRow
{
    const char *description;
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
    {"a previous holder that resumes after a minute",
     true,
     {ProcessName("a"), Incarnation{1}, FencingNumber{3}},
     ErrorKind::FencedOff},
    {"a previous run of the holder", true, {ProcessName("b"), Incarnation{1}, FencingNumber{7}}, ErrorKind::FencedOff},
    {"a claim that is not folded here yet",
     true,
     {ProcessName("c"), Incarnation{3}, FencingNumber{9}},
     ErrorKind::StaleOffset},
    {"no fencing number", true, {ProcessName("b"), Incarnation{2}, FencingNumber{0}}, ErrorKind::FencedOff},
};

class FencedOrder : public testing::TestWithParam<OrderRow>
{
};

TEST_P(FencedOrder, IsAcceptedOrRejectedWithTheExpectedError)
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
    ASSERT_EQ(error != nullptr, GetParam().refusal.has_value()) << GetParam().description;
    if (error != nullptr) {
        EXPECT_EQ(error->kind, *GetParam().refusal) << GetParam().description;
        EXPECT_EQ(error->ranOrDefault(), ExecutionStatus::No) << GetParam().description;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, FencedOrder, testing::ValuesIn(OrderRows));

} // namespace
