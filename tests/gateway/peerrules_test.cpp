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

/** Register of the rules, with the version as their value, and of drained zones; optionally it rejects all calls. */
class VersionRegister final : public StubRegisterLog
{
public:
    void readNewest(RegisterKind kind, Done done) override
    {
        if (isRejecting) {
            done(Error{.kind = ErrorKind::PlatformUnavailable, .detail = "rejected"});
            return;
        }
        RegisterPage page{.end = end};
        if (kind == RegisterKind::Rules) {
            page.changes.push_back({.key = "rules", .value = std::to_string(version)});
            for (const auto &zone : drainedZones) {
                page.changes.push_back({.key = DrainPrefix + zone, .value = "drain"});
            }
        }
        done(page);
    }

    void read(RegisterKind, std::uint64_t, milliseconds, Done done) override
    {
        done(Error{.kind = isRejecting ? ErrorKind::PlatformUnavailable : ErrorKind::NotFound});
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const override
    {
        if (change.key != "rules") {
            return std::nullopt;
        }
        if (!change.value || change.value->empty()
            || change.value->find_first_not_of("0123456789") != std::string::npos) {
            return Error{.kind = ErrorKind::BadRequest, .detail = "no number"};
        }
        return RoutingConfig{.version = std::stoull(*change.value),
                             .services = {{.name = ServiceName("s"), .engine = EngineProfile{}}}};
    }

    std::optional<ZoneDrain> parseZoneDrain(const RegisterChange &change) const override
    {
        if (!change.key.starts_with(DrainPrefix)) {
            return std::nullopt;
        }
        return ZoneDrain{.zone = ZoneName(change.key.substr(DrainPrefix.size()))};
    }

    bool isRejecting = false;
    std::uint64_t version = 4;
    std::set<std::string> drainedZones;
    std::uint64_t end = 1;

private:
    static inline const std::string DrainPrefix = "drain-";
};

/** The control state of one gateway and its exchange of rules. */
struct TestGateway
{
    TestGateway(asio::io_context &loop, int sidecarPort)
        : client(loop, {})
        , rules(client, {.exchange = {.zone = ZoneName("z")}, .sidecarPort = sidecarPort},
                {.received = [this](const auto &record, const auto &from) { control.applyPeerRules(record, from); },
                 .drainsReceived = [this](const auto &drains) { control.applyPeerDrains(drains); }},
                metrics)
        , control(log, {},
                  {.rulesChanged = [](const auto &) {},
                   .rulesRecordChanged = [this](const auto &record) { rules.setRules(record); },
                   .targetsChanged = [](const auto &) {},
                   .drainedZonesChanged = [this](const auto &zones) { drainedZones = zones; },
                   .drainsRead = [this](const auto &drains) { rules.setDrains(drains); },
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
    std::set<ZoneName> drainedZones;
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

// Guards against a gateway that sends requests to a drained zone, and leaves one empty whose order has been withdrawn,
// for as long as the log rejects it.
TEST_F(RejectedGateway, FollowsTheDrainedZonesOfItsPeers)
{
    TestGateway reader(m_loop, m_port);
    TestGateway rejected(m_loop, m_port);
    ASSERT_TRUE(runUntil({&reader, &rejected}, [&] { return reader.version() == 4 && rejected.version() == 4; }));
    rejected.log.isRejecting = true;
    ASSERT_TRUE(runUntil({&reader, &rejected}, [&] { return !rejected.control.readsRules(); }));
    for (const auto &zones : {std::set<std::string>{"z1"}, std::set<std::string>{}}) {
        reader.log.drainedZones = zones;
        ++reader.log.end;
        std::set<ZoneName> expected;
        for (const auto &zone : zones) {
            expected.insert(ZoneName(zone));
        }
        EXPECT_TRUE(runUntil({&reader, &rejected}, [&] { return rejected.drainedZones == expected; }));
    }
}

// Guards against a peer's older drained zones that replace those which this gateway has read itself.
TEST_F(RejectedGateway, KeepsItsOwnDrainedZonesWhileItReadsTheLog)
{
    TestGateway gateway(m_loop, m_port);
    gateway.log.drainedZones = {"z1"};
    ASSERT_TRUE(runUntil({&gateway}, [&] { return gateway.version() == 4; }));
    gateway.control.applyPeerDrains({.position = 9});
    EXPECT_EQ(gateway.drainedZones, std::set<ZoneName>{ZoneName("z1")});
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
