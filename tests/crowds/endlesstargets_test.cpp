#include "crowds/behaviours.h"
#include "crowds/gatewayprocess.h"
#include "crowds/withstand.h"
#include "support/httpcalls.h"
#include "support/platformlogstandin.h"

#include <algorithm>
#include <future>
#include <memory>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;

/** Memory and connections of a usual gateway. */
constexpr std::size_t MemoryMebibytes = 260;
constexpr std::size_t MaxConnections = 1'000;
constexpr std::size_t BytesPerMebibyte = 1UL << 20U;
constexpr int FaultyTargets = 6;
constexpr int Calls = 600;
constexpr std::chrono::seconds CallTime{4};
constexpr const char *ConfigDocument = R"({"version": 7,
    "routes": [{"name": "look", "host": "h", "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 8000,
                "targetLatencyMs": 8000, "priority": 1, "service": "faulty", "maxAttempts": 2, "public": true},
               {"name": "stream", "host": "h", "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 8000,
                "targetLatencyMs": 8000, "priority": 1, "service": "faulty", "maxAttempts": 2, "public": true},
               {"name": "sound", "host": "h", "pathPrefix": "/sound/", "kind": "safe", "timeoutMs": 5000,
                "targetLatencyMs": 1000, "priority": 1, "service": "sound", "maxAttempts": 2, "public": true}],
    "services": [{"name": "faulty", "healthPath": "/healthz", "maxConns": 1000},
                 {"name": "sound", "healthPath": "/healthz", "maxConns": 1000}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})";

/** A response that never ends. */
struct EndlessRow
{
    const char *name;
    const char *path; ///< of the requests
    std::string start; ///< after the status line, the request's id and the signature
    std::string repeated; ///< again and again after it; if empty, nothing follows
};

std::ostream &operator<<(std::ostream &stream, const EndlessRow &row)
{
    return stream << row.name;
}

Actions answerEndlessly(const EndlessRow &row, const std::string &request)
{
    const auto start =
        "HTTP/1.1 200 X\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Response-Signature: s\r\n" + row.start;
    return {{.bytes = start},
            {.kind = row.repeated.empty() ? TargetAction::Kind::AwaitClose : TargetAction::Kind::SendUntilClosed,
             .bytes = row.repeated}};
}

Actions answerSoundly(const std::string &request, int)
{
    return {{.bytes = signedResponse(request, "sound")}};
}

std::string targetEntry(const char *service, const ScriptedTarget &target)
{
    return std::string(R"({"service": ")") + service
        + R"(", "zone": "a", "version": "v1", "slots": 1000, "state": "ready", "coldMs": 0, "born": 1,
              "sequence": 1, "address": ")"
        + toString(target.endpoint()) + "\"}";
}

/** Returns calls of different requests, whose callers leave after the time. */
std::vector<HttpCall> callsTo(const Endpoint &gateway, const std::string &path)
{
    std::vector<HttpCall> calls;
    for (int call = 0; call < Calls; ++call) {
        const auto id = std::to_string(call);
        calls.push_back({.endpoint = gateway,
                         .request = {.method = "GET",
                                     .path = path + id,
                                     .headers = {{"Host", "h"}, {"X-Heatherridge-Request-Id", "r" + id}}},
                         .timeout = CallTime});
    }
    return calls;
}

/** A gateway process with its log, targets whose answers never end, and a sound one of another service. */
class EndlessSite
{
public:
    explicit EndlessSite(const EndlessRow &row)
        : m_sound(answerSoundly)
        , m_faulty(faultyTargets(row))
        , m_log({{"keyed.op", {{"config", ConfigDocument}}}, {"keyed.servers", entries()}})
        , m_ready(freeEndpoint())
        , m_process("heatherridge-gateway",
                    gatewayArguments({.ready = m_ready,
                                      .metrics = freeEndpoint(),
                                      .log = m_log.endpoint(),
                                      .memoryMebibytes = MemoryMebibytes,
                                      .maxConnections = MaxConnections}))
    {
        EXPECT_EQ(answerStatus(m_ready, "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), 200);
    }

    Endpoint callers() const
    {
        return m_process.endpoints().front();
    }

    const ChildProcess &process() const
    {
        return m_process;
    }

private:
    static std::vector<std::unique_ptr<ScriptedTarget>> faultyTargets(const EndlessRow &row)
    {
        std::vector<std::unique_ptr<ScriptedTarget>> targets;
        targets.reserve(FaultyTargets);
        for (int target = 0; target < FaultyTargets; ++target) {
            targets.push_back(std::make_unique<ScriptedTarget>(
                [&row](const std::string &request, int) { return answerEndlessly(row, request); }));
        }
        return targets;
    }

    PlatformLogStandin::Register entries() const
    {
        PlatformLogStandin::Register entries{{"sound", targetEntry("sound", m_sound)}};
        for (const auto &target : m_faulty) {
            entries.emplace("faulty" + std::to_string(entries.size()), targetEntry("faulty", *target));
        }
        return entries;
    }

    ScriptedTarget m_sound;
    std::vector<std::unique_ptr<ScriptedTarget>> m_faulty;
    PlatformLogStandin m_log;
    Endpoint m_ready;
    ChildProcess m_process;
};

const std::string Filler(16'000, 'x');
const std::string ChunkOfFiller = "3e80\r\n" + Filler + "\r\n";
constexpr std::size_t LargeHeadBytes = 78'000; // with the rest a little less than the parser library accepts
constexpr std::size_t HeadBytesWithinTheLimit = 60'000;

const EndlessRow EndlessRows[] = {
    {"ManyShortFields", "/look/", shortHeaders(LargeHeadBytes), ""},
    {"ManyShortFieldsWithinTheLimit", "/look/", shortHeaders(HeadBytesWithinTheLimit), ""},
    {"BodyWithoutEnd", "/look/", "\r\n", Filler},
    {"ChunksWithoutEnd", "/look/", "Transfer-Encoding: chunked\r\n\r\n", ChunkOfFiller},
    {"EventsWithoutEnd", "/stream/", "Content-Type: text/event-stream\r\n\r\ndata: ", Filler},
};

class EndlessTargets : public testing::TestWithParam<EndlessRow>
{
};

// Guards against targets that send bytes without end, which the gateway keeps until its host has no memory left.
TEST_P(EndlessTargets, LeaveTheGatewayToOthers)
{
    const EndlessSite site(GetParam());
    std::size_t memory = 0;
    auto calls = std::async(std::launch::async, [&] { return callAll(callsTo(site.callers(), GetParam().path)); });
    do {
        memory = std::max(memory, site.process().peakMemory());
    } while (calls.wait_for(20ms) != std::future_status::ready);
    EXPECT_EQ(answerStatus(site.callers(),
                           "GET /sound/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: ordinary\r\nConnection: "
                           "close\r\n\r\n"),
              200);
    memory = std::max(memory, site.process().peakMemory());
    EXPECT_LE(memory, MemoryMebibytes * BytesPerMebibyte);
    EXPECT_TRUE(site.process().isRunning());
    RecordProperty("memory", std::to_string(memory));
}

INSTANTIATE_TEST_SUITE_P(All, EndlessTargets, testing::ValuesIn(EndlessRows),
                         [](const auto &info) { return info.param.name; });

} // namespace
