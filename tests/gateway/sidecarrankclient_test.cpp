#include "gateway/gatewayfixture.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/sidecarrankclient.h"
#include "heatherridge_transport/direct/sidecarserver.h"
#include "support/stubrankcontrol.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Counts the calls that bypass the sidecar. */
class CountingRankControl final : public StubRankControl
{
public:
    explicit CountingRankControl(int &orders, int *counts = nullptr)
        : m_orders(orders)
        , m_counts(counts)
    {
    }

    std::chrono::milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return std::chrono::milliseconds(200);
    }

    void fetchCounts(const TargetEntry &, std::function<void(Result<RankCounts>)>) override
    {
        if (m_counts != nullptr) {
            ++*m_counts;
        }
    }

    void sendOrder(const TargetEntry &, const RankOrder &, std::uint64_t, std::function<void(OrderReply)>) override
    {
        ++m_orders;
    }

private:
    int &m_orders;
    int *m_counts;
};

struct OrderRouteRow
{
    const char *story;
    RankOrder order;
    bool isDirect;
};

// Guards against a group whose streams all stand still for seven seconds: the machine of a sidecar freezes right after
// the sidecar received the order to hold a pass. The answer is lost, and neither release nor recovery gets through
// until the machine resumes.
const OrderRouteRow OrderRouteRows[] = {
    {"an order before the hold goes through the sidecar", PrepareMap{}, false},
    {"a hold", HoldStep{}, true},
    {"an order to arm", ArmMap{}, true},
    {"an order to disarm", DisarmMap{}, true},
    {"a release", ReleaseStep{}, true},
};

class OrderRouteTest : public testing::TestWithParam<OrderRouteRow>
{
};

TEST_P(OrderRouteTest, BypassesTheSidecarOnceAPassIsHeld)
{
    asio::io_context loop;
    HttpClient httpClient(loop, {});
    Metrics metrics;
    int directOrders = 0;
    SidecarRankClient client(httpClient, {.port = 1}, std::make_unique<CountingRankControl>(directOrders), metrics);
    client.sendOrder({.id = TargetName("r"), .address = {.address = "127.0.0.1", .port = 2}}, GetParam().order, 1,
                     [](OrderReply) {});
    EXPECT_EQ(directOrders, GetParam().isDirect ? 1 : 0) << GetParam().story;
}

INSTANTIATE_TEST_SUITE_P(All, OrderRouteTest, testing::ValuesIn(OrderRouteRows));

struct MissingSidecarRow
{
    const char *story;
    int port; ///< of the sidecars; 0 if there are none
    int directReads; ///< direct reads of counts, which pause the engine's group
};

// Guards against all streams of a site standing still for a third of the time: links are saturated, sidecars answer too
// late, and each direct read of counts that follows pauses its whole group for 4 ms, with 192 of them several times a
// second.
const MissingSidecarRow MissingSidecarRows[] = {
    {"counts are not read directly while a sidecar does not answer", 1, 0},
    {"counts are read directly if there are no sidecars", 0, 2},
};

class MissingSidecarTest : public testing::TestWithParam<MissingSidecarRow>
{
};

TEST_P(MissingSidecarTest, ReadsCountsDirectlyOnlyWithoutSidecars)
{
    asio::io_context loop;
    HttpClient httpClient(loop, {});
    Metrics metrics;
    int orders = 0;
    int directReads = 0;
    SidecarRankClient client(httpClient, {.port = GetParam().port},
                             std::make_unique<CountingRankControl>(orders, &directReads), metrics);
    const TargetEntry target{.id = TargetName("r"), .address = {.address = "127.0.0.1", .port = 2}};
    int errors = 0;
    const auto countErrors = [&errors](const Result<RankCounts> &counts) {
        errors += errorIn(counts) != nullptr ? 1 : 0;
    };
    client.fetchCounts(target, countErrors);
    loop.run(); // no process listens on the port
    loop.restart();
    client.fetchCounts(target, countErrors);
    loop.run();
    EXPECT_EQ(directReads, GetParam().directReads) << GetParam().story;
    EXPECT_EQ(errors, 2 - GetParam().directReads) << GetParam().story;
}

INSTANTIATE_TEST_SUITE_P(All, MissingSidecarTest, testing::ValuesIn(MissingSidecarRows));

// Guards against gateways that a sidecar turns away because of their number, and that ask its engine instead: with 99
// of them and 64 connections, 29,000 requests a second went to the engines.
TEST(SidecarServers, ServeAConnectionOfEachGatewayOfALargeFleet)
{
    constexpr int gateways = 200;
    SidecarServer sidecar({.listen = {.address = "127.0.0.1"}},
                          [](HttpClient &) { return std::make_unique<StubRankControl>(); });
    const auto listening = sidecar.start();
    ASSERT_EQ(errorIn(listening), nullptr);
    const auto endpoint = std::get<std::vector<Endpoint>>(listening).front();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        callers.push_back(std::make_unique<RawCaller>(endpoint));
        callers.back()->send("GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_EQ(callers.back()->receive().status, 404) << "gateway " << gateway;
    }
    sidecar.drainAndStop();
}

} // namespace
