#include "crowds/behaviours.h"
#include "crowds/withstand.h"
#include "support/platformlogstandin.h"
#include "support/testsite.h"

using namespace Heatherridge;

namespace
{

constexpr std::size_t Mebibyte = 1UL << 20U;
constexpr int Senders = 190;

class CrowdsAtASidecar : public testing::TestWithParam<CrowdBehaviour>
{
};

// Guards against strangers at a sidecar, which serves gateways and holds the rules for them.
TEST_P(CrowdsAtASidecar, LeaveItToGateways)
{
    constexpr std::size_t maxDescriptors = 512;
    const ScriptedTarget engine(
        [](const auto &request, int) { return std::vector<TargetAction>{{.bytes = signedResponse(request, "{}")}}; });
    const PlatformLogStandin log({});
    ChildProcess sidecar("heatherridge-sidecar",
                         {"--name", "s", "--zone", "a", "--listen", "127.0.0.1:0", "--engine",
                          toString(engine.endpoint()), "--log-service", toString(log.endpoint()), "--max-descriptors",
                          std::to_string(maxDescriptors), "--log-stream", "standard-output"});
    expectToWithstand({.process = sidecar,
                       .endpoint = sidecar.endpoints().front(),
                       .request = "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                       .status = 404,
                       .maxMemory = 128 * Mebibyte, // of the host of a model engine
                       .maxDescriptors = maxDescriptors},
                      GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sending, CrowdsAtASidecar,
                         testing::ValuesIn(requestBehaviours("POST /none HTTP/1.1", Senders)), behaviourName);
INSTANTIATE_TEST_SUITE_P(Silent, CrowdsAtASidecar, testing::ValuesIn(silentBehaviours("GET /none HTTP/1.1", 600)),
                         behaviourName);

/** Memory of a node for control, by docs/CAPACITY.md. */
constexpr std::size_t NodeMemory = 256 * Mebibyte;
/** Clients of a crowd that is twice as large as that memory holds if each may take 2.5 MB. */
constexpr int ManySenders = 200;

class CrowdsAtAnEntry : public testing::TestWithParam<CrowdBehaviour>
{
};

// Guards against callers that end an entry or shut others out.
TEST_P(CrowdsAtAnEntry, LeaveItToOthers)
{
    TestSite site({.engines = 1});
    const std::string body = R"({"model":"chip-llm","messages":[{"role":"user","content":"hi"}],"max_tokens":3})";
    expectToWithstand({.process = site.entryProcess(0),
                       .endpoint = site.entry(0),
                       .request = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: mills\r\nConnection: "
                                  "close\r\nContent-Length: "
                           + std::to_string(body.size()) + "\r\n\r\n" + body,
                       .maxMemory = NodeMemory,
                       .maxDescriptors = 4'000},
                      GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sending, CrowdsAtAnEntry,
                         testing::ValuesIn(requestBehaviours("POST /v1/chat/completions HTTP/1.1", ManySenders)),
                         behaviourName);
INSTANTIATE_TEST_SUITE_P(Silent, CrowdsAtAnEntry, testing::ValuesIn(silentBehaviours("GET /look/1 HTTP/1.1", 600)),
                         behaviourName);

class CrowdsAtATargetProcess : public testing::TestWithParam<CrowdBehaviour>
{
};

// Guards against strangers at the address for status and metrics of a target process.
TEST_P(CrowdsAtATargetProcess, LeaveItToOperators)
{
    TestSite site({.engines = 1});
    auto &process = site.targetProcess(0);
    expectToWithstand({.process = process,
                       .endpoint = process.endpoints().at(1),
                       .request = "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                       .maxMemory = NodeMemory,
                       .maxDescriptors = 4'000},
                      GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sending, CrowdsAtATargetProcess,
                         testing::ValuesIn(requestBehaviours("POST /healthz HTTP/1.1", ManySenders)), behaviourName);
INSTANTIATE_TEST_SUITE_P(Silent, CrowdsAtATargetProcess,
                         testing::ValuesIn(silentBehaviours("GET /healthz HTTP/1.1", 600)), behaviourName);

} // namespace
