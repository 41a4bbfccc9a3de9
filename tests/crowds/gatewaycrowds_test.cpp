#include "crowds/behaviours.h"
#include "crowds/gatewayprocess.h"
#include "crowds/withstand.h"
#include "support/platformlogstandin.h"

#include <csignal>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** Memory and connections of a small gateway. */
constexpr std::size_t MemoryMebibytes = 112;
constexpr std::size_t MaxConnections = 200;
/** Two a caller, and those for the log, other addresses, libraries and files. */
constexpr std::size_t MaxDescriptors = 2 * MaxConnections + 100;
/** Clients of a crowd that sends. */
constexpr int Senders = 190;
/** Clients of a crowd that only connects. */
constexpr int SilentClients = 600;
constexpr const char *ConfigDocument = R"({"version": 7,
    "routes": [{"name": "look", "host": "h", "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 5000,
                "targetLatencyMs": 1000, "priority": 1, "service": "s", "maxAttempts": 2, "public": true},
               {"name": "book", "host": "h", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 5000,
                "targetLatencyMs": 1000, "priority": 1, "service": "s", "maxAttempts": 1, "public": true}],
    "services": [{"name": "s", "healthPath": "/healthz", "maxConns": 1000}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})";

/** Answers /…/slow after a while, /…/large with a large body, and all else at once. */
std::vector<TargetAction> answer(const std::string &request, int)
{
    constexpr std::size_t largeBytes = 4'000'000;
    const auto target = request.substr(0, request.find("\r\n"));
    const bool isLarge = target.find("/large") != std::string::npos;
    const auto wait = target.find("/slow") != std::string::npos ? 2'000ms : 0ms;
    return {{.kind = TargetAction::Kind::Wait, .duration = wait},
            {.bytes = signedResponse(request, std::string(isLarge ? largeBytes : 4, 'x'))}};
}

std::string targetEntry(const ScriptedTarget &target)
{
    return R"({"service": "s", "zone": "a", "version": "v1", "slots": 1000, "state": "ready", "coldMs": 0, "born": 1,
               "sequence": 1, "address": ")"
        + toString(target.endpoint()) + "\"}";
}

/** A gateway process with its log and one target. */
class GatewaySite
{
public:
    /** Whether the gateway finds its log. */
    enum class Log {
        Reachable,
        Unreachable,
    };

    explicit GatewaySite(Log log = Log::Reachable, std::size_t maxDescriptors = 0)
        : m_target(answer)
        , m_log({{"keyed.op", {{"config", ConfigDocument}}}, {"keyed.servers", {{"t1", targetEntry(m_target)}}}})
        , m_ready(freeEndpoint())
        , m_metrics(freeEndpoint())
        , m_process("heatherridge-gateway",
                    gatewayArguments(
                        {.ready = m_ready,
                         .metrics = m_metrics,
                         .log = log == Log::Reachable ? m_log.endpoint() : Endpoint{.address = "127.0.0.1", .port = 1},
                         .memoryMebibytes = MemoryMebibytes,
                         .maxConnections = MaxConnections}),
                    maxDescriptors)
    {
        if (log == Log::Reachable) {
            EXPECT_EQ(answerStatus(m_ready, request("GET /readyz HTTP/1.1")), 200);
        }
    }

    ServerUnderTest callers()
    {
        return server(m_process.endpoints().front(), "GET /look/1 HTTP/1.1");
    }

    ServerUnderTest readiness()
    {
        return server(m_ready, "GET /readyz HTTP/1.1");
    }

    ServerUnderTest metrics()
    {
        return server(m_metrics, "GET /metrics HTTP/1.1");
    }

    ChildProcess &process()
    {
        return m_process;
    }

private:
    static std::string request(const std::string &line)
    {
        return line + "\r\nHost: h\r\nX-Heatherridge-Request-Id: ordinary\r\nConnection: close\r\n\r\n";
    }

    ServerUnderTest server(const Endpoint &endpoint, const std::string &line)
    {
        constexpr std::size_t bytesPerMebibyte = 1UL << 20U;
        return {.process = m_process,
                .endpoint = endpoint,
                .request = request(line),
                .maxMemory = MemoryMebibytes * bytesPerMebibyte,
                .maxDescriptors = MaxDescriptors};
    }

    ScriptedTarget m_target;
    PlatformLogStandin m_log;
    Endpoint m_ready;
    Endpoint m_metrics;
    ChildProcess m_process;
};

/** Crowds that need targets which answer in certain ways. */
std::vector<CrowdBehaviour> targetBehaviours()
{
    constexpr std::size_t headBytes = 16'000; // within the limit of the configuration
    constexpr std::size_t bodyBytes = 4'000'000;
    const std::string slowLook = "GET /look/slow HTTP/1.1\r\nHost: h\r\n";
    return {
        {.name = "HeadsInsideTheLimitAtTheTarget",
         .connections = Senders,
         .opening = slowLook + shortHeaders(headBytes) + "\r\n"},
        {.name = "BodiesAtTheTarget",
         .connections = Senders / 2,
         .opening = "POST /book/slow HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n",
         .repeated = std::string(bodyBytes, 'x'),
         .repeatedBytes = bodyBytes},
        {.name = "RequestsBehindASlowOne",
         .connections = Senders,
         .opening = slowLook + "\r\n",
         .repeated = "GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n",
         .repeatedBytes = 1U << 20U},
        {.name = "LargeAnswersNeverRead",
         .connections = Senders,
         .opening = "GET /look/large HTTP/1.1\r\nHost: h\r\n\r\n"},
    };
}

class CrowdsOfCallers : public testing::TestWithParam<CrowdBehaviour>
{
};

// Guards against callers that end a gateway or shut others out, with heads, bodies, connections or unread answers.
TEST_P(CrowdsOfCallers, LeaveTheGatewayToOthers)
{
    GatewaySite site;
    expectToWithstand(site.callers(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sending, CrowdsOfCallers,
                         testing::ValuesIn(requestBehaviours("POST /look/1 HTTP/1.1", Senders)), behaviourName);
INSTANTIATE_TEST_SUITE_P(Silent, CrowdsOfCallers,
                         testing::ValuesIn(silentBehaviours("GET /look/1 HTTP/1.1", SilentClients)), behaviourName);
INSTANTIATE_TEST_SUITE_P(Asking, CrowdsOfCallers, testing::ValuesIn(targetBehaviours()), behaviourName);

class CrowdsAtReadiness : public testing::TestWithParam<CrowdBehaviour>
{
};

// Guards against strangers at the address for readiness checks, which has buffers and connections besides the callers'.
TEST_P(CrowdsAtReadiness, LeaveTheGatewayToOthers)
{
    GatewaySite site;
    expectToWithstand(site.readiness(), GetParam());
    EXPECT_EQ(answerStatus(site.callers().endpoint, site.callers().request), 200);
}

INSTANTIATE_TEST_SUITE_P(Sending, CrowdsAtReadiness,
                         testing::ValuesIn(requestBehaviours("GET /readyz HTTP/1.1", Senders)), behaviourName);
INSTANTIATE_TEST_SUITE_P(Silent, CrowdsAtReadiness,
                         testing::ValuesIn(silentBehaviours("GET /readyz HTTP/1.1", SilentClients)), behaviourName);

class CrowdsAtMetrics : public testing::TestWithParam<CrowdBehaviour>
{
};

// Guards against strangers at the address for metrics, which has buffers and connections besides the callers'.
TEST_P(CrowdsAtMetrics, LeaveTheGatewayToOthers)
{
    GatewaySite site;
    expectToWithstand(site.metrics(), GetParam());
    EXPECT_EQ(answerStatus(site.callers().endpoint, site.callers().request), 200);
}

INSTANTIATE_TEST_SUITE_P(Sending, CrowdsAtMetrics,
                         testing::ValuesIn(requestBehaviours("GET /metrics HTTP/1.1", Senders)), behaviourName);
INSTANTIATE_TEST_SUITE_P(Silent, CrowdsAtMetrics,
                         testing::ValuesIn(silentBehaviours("GET /metrics HTTP/1.1", SilentClients)), behaviourName);

const CrowdBehaviour LargeHeads{
    .name = "LargeHeads", .connections = Senders, .opening = "GET /look/1 HTTP/1.1\r\n" + shortHeaders(79'000)};

// Guards against a crowd at a gateway that has no configuration yet, with the limits that it starts with.
TEST(CrowdsWithoutTheLog, LeaveTheGatewayAlive)
{
    GatewaySite site(GatewaySite::Log::Unreachable);
    auto server = site.callers();
    server.status = 503;
    expectToWithstand(server, LargeHeads);
}

// Guards against a crowd that keeps a gateway from its planned stop.
TEST(CrowdsAtAPlannedStop, DoNotKeepTheGateway)
{
    GatewaySite site;
    std::size_t memory = 0;
    Crowd crowd(site.callers().endpoint, LargeHeads);
    site.process().signal(SIGTERM);
    crowd.press([&] { memory = std::max(memory, site.process().peakMemory()); });
    EXPECT_EQ(site.process().wait(), 0);
    EXPECT_LE(memory, site.callers().maxMemory);
}

// Guards against callers that take all descriptors, so that the gateway reaches neither its targets nor the log.
TEST(CrowdsBeyondTheDescriptors, LeaveSomeForTargets)
{
    constexpr std::size_t fewDescriptors = 160;
    GatewaySite site(GatewaySite::Log::Reachable, fewDescriptors);
    auto server = site.callers();
    server.maxDescriptors = fewDescriptors - 1;
    expectToWithstand(server, {.name = "Silence", .connections = static_cast<int>(MaxConnections)});
}

} // namespace
