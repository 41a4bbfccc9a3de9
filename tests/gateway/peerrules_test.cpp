#include "heatherridge_transport/direct/gatewaycontrol.h"
#include "heatherridge_transport/direct/gatewayrules.h"
#include "heatherridge_transport/direct/sidecarserver.h"
#include "support/stubrankcontrol.h"
#include "support/stubregisterlog.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

using std::chrono::milliseconds;

/** Register whose only record is one of the rules, with the version as its value; optionally it rejects all calls. */
class VersionRegister final : public StubRegisterLog
{
public:
    void readNewest(RegisterKind kind, Done done) override
    {
        if (isRejecting) {
            done(Error{.kind = ErrorKind::PlatformUnavailable, .detail = "rejected"});
            return;
        }
        RegisterPage page{.end = 1};
        if (kind == RegisterKind::Rules) {
            page.changes.push_back({.key = "rules", .value = std::to_string(version)});
        }
        done(page);
    }

    void read(RegisterKind, std::uint64_t, milliseconds, Done done) override
    {
        done(Error{.kind = isRejecting ? ErrorKind::PlatformUnavailable : ErrorKind::NotFound});
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const override
    {
        if (!change.value || change.value->empty()
            || change.value->find_first_not_of("0123456789") != std::string::npos) {
            return Error{.kind = ErrorKind::BadRequest, .detail = "no number"};
        }
        return RoutingConfig{.version = std::stoull(*change.value),
                             .services = {{.name = ServiceName("s"), .engine = EngineProfile{}}}};
    }

    bool isRejecting = false;
    std::uint64_t version = 4;
};

/** The control state of one gateway and its exchange of rules. */
struct TestGateway
{
    TestGateway(asio::io_context &loop, int sidecarPort)
        : client(loop, {})
        , rules(
              client, {.exchange = {.zone = ZoneName("z")}, .sidecarPort = sidecarPort},
              [this](const auto &record, const auto &from) { control.applyPeerRules(record, from); }, metrics)
        , control(log, {},
                  {.rulesChanged = [](const auto &) {},
                   .rulesRecordChanged = [this](const auto &record) { rules.setRules(record); },
                   .targetsChanged = [](const auto &) {},
                   .drainedZonesChanged = [](const auto &) {},
                   .reachabilityChanged = [](bool) {}},
                  metrics)
    {
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        control.tick(now, false);
        if (control.rules()) {
            rules.update(control.rules()->config(),
                         {{.id = TargetName("t"),
                           .service = ServiceName("s"),
                           .address = {.address = "127.0.0.1", .port = 1},
                           .zone = ZoneName("z")}});
        }
        rules.tick(now, control.readsRules(), {});
    }

    std::uint64_t version() const
    {
        return control.rules() ? control.rules()->config().version : 0;
    }

    Metrics metrics;
    VersionRegister log;
    HttpClient client;
    GatewayRules rules;
    GatewayControl control;
};

class RejectedGateway : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto listening = m_sidecar.start();
        m_port = std::get<std::vector<Endpoint>>(listening).front().port;
    }

    void TearDown() override
    {
        m_sidecar.drainAndStop();
    }

    /** Drives both gateways until @p isDone, for at most 5 s. */
    bool runUntil(const std::vector<TestGateway *> &gateways, const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            for (auto *gateway : gateways) {
                gateway->tick();
            }
            m_loop.restart();
            m_loop.run_for(milliseconds(10));
        }
        return isDone();
    }

    SidecarServer m_sidecar{SidecarServer::Options{.zone = ZoneName("z"), .listen = {.address = "127.0.0.1"}},
                            [](HttpClient &) { return std::make_unique<StubRankControl>(); }};
    int m_port = 0;
    asio::io_context m_loop;
};

// Guards against a gateway that refuses valid keys and new routes for as long as the log rejects it, although its peers
// have the rules.
TEST_F(RejectedGateway, PutsTheRulesOfItsPeersInForce)
{
    TestGateway reader(m_loop, m_port);
    TestGateway rejected(m_loop, m_port);
    ASSERT_TRUE(runUntil({&reader, &rejected}, [&] { return reader.version() == 4 && rejected.version() == 4; }));
    rejected.log.isRejecting = true;
    reader.log.version = 9;
    EXPECT_TRUE(runUntil({&reader, &rejected}, [&] { return rejected.version() == 9; }));
    EXPECT_EQ(rejected.metrics.counter("heatherridge_config_from_peers_total").value(), 1U);
}

struct UnusableRow
{
    const char *name;
    RulesRecord record;
};

const UnusableRow UnusableRows[] = {
    {"Older", {.version = 3, .key = "rules", .value = "3"}},
    {"SameVersion", {.version = 4, .key = "rules", .value = "4"}},
    {"Malformed", {.version = 9, .key = "rules", .value = "nine"}},
    {"Empty", {.version = 9, .key = "rules", .value = ""}},
};

class PeerRules : public RejectedGateway, public testing::WithParamInterface<UnusableRow>
{
};

// Guards against rules that a peer passes on although they are older or cannot be read.
TEST_P(PeerRules, AreIgnoredWhenUnusable)
{
    TestGateway gateway(m_loop, m_port);
    ASSERT_TRUE(runUntil({&gateway}, [&] { return gateway.version() == 4; }));
    gateway.control.applyPeerRules(GetParam().record, TargetName("t"));
    EXPECT_EQ(gateway.version(), 4U);
    EXPECT_EQ(gateway.metrics.counter("heatherridge_config_from_peers_total").value(), 0U);
    EXPECT_GE(gateway.metrics.counter("heatherridge_register_malformed_total").value(), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, PeerRules, testing::ValuesIn(UnusableRows),
                         [](const auto &info) { return info.param.name; });

} // namespace
