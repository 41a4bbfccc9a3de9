#include "daemonprocess.h"
#include "gatewayclient.h"
#include "support/platformlogstandin.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <thread>

#include <unistd.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int Gateways = 4;
constexpr int Sidecars = 12;
constexpr int Engines = 8; ///< of the hosts with sidecars, in groups of GroupSize ranks; the others are plain targets
constexpr int GroupSize = 4;
constexpr int ClientsPerGateway = 5;
constexpr int Rounds = 2;
/** Nothing else uses these ports on the addresses of hostAddress(). */
constexpr int CallerPort = 7101;
constexpr int ReadyPort = 7102;
constexpr int MetricsPort = 7103;
constexpr int SidecarPort = 7104;
constexpr const char *ConfigDocument = R"({"version": 7,
    "routes": [{"name": "look", "host": "h", "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 700,
                "targetLatencyMs": 300, "priority": 1, "service": "p", "maxAttempts": 2, "public": true},
               {"name": "book", "host": "h", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 700,
                "targetLatencyMs": 300, "priority": 1, "service": "p", "maxAttempts": 1, "public": true},
               {"name": "tour", "host": "h", "pathPrefix": "/tour/", "kind": "streaming", "timeoutMs": 3000,
                "targetLatencyMs": 300, "priority": 1, "service": "e", "maxAttempts": 2, "public": true,
                "resumable": true, "gapAimMs": 120}],
    "services": [{"name": "p", "healthPath": "/healthz", "maxConns": 400},
                 {"name": "e", "healthPath": "/healthz", "maxConns": 400,
                  "engine": {"slots": 12, "kvTokens": 372000, "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355,
                             "read_per_s": 61200.0, "sets": 2, "experts": 8, "places": 3, "spare": 1,
                             "expertMb": 580.0, "linkMbps": 92000.0, "expertShare": 0.85}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})";

/** Returns an address of this test's own hosts, on which no other program runs. */
std::string hostAddress(int host)
{
    return "127.0." + std::to_string(100 + ::getpid() % 100) + "." + std::to_string(host);
}

/** Returns what the engine with number @p engine states, if @p path is that of a statement. */
std::optional<std::string> engineStatement(const std::string &path, int engine)
{
    if (path.ends_with("/api/report")) {
        return R"({"size": 4, "step": 7, "map": {"version": 1}, "pace": 1, "running": 3, "waiting": 0, "group":
                   {"epoch": 3, "state": "open", "name": "g)"
            + std::to_string(engine / GroupSize) + R"(", "rank": )" + std::to_string(engine % GroupSize) + "}}";
    }
    if (path.find("/api/picked") != std::string::npos) {
        return R"({"epoch": 3, "counts": [9, 1, 40, 2, 0, 7, 7, 7, 1, 1, 1, 60, 3, 3, 3, 3],
                   "map": {"version": 1, "experts": [[0, 1, 2], [3, 4, 5]]}})";
    }
    return path.ends_with("/api/order") ? std::optional<std::string>("{}") : std::nullopt;
}

/** Answers soundly most of the time; the last digit of the path decides. */
std::vector<TargetAction> answer(const std::string &request, int engine)
{
    using Kind = TargetAction::Kind;
    const auto path = request.substr(0, request.find(" HTTP"));
    if (const auto statement = engineStatement(path, engine)) {
        return {{.bytes = signedResponse(request, *statement)}};
    }
    const auto sound = signedResponse(request, std::string(2'000, 'x'));
    switch (path.back()) {
    case '0':
        return {{.kind = Kind::Reset}};
    case '1':
        return {{.bytes = sound.substr(0, sound.size() / 2)}, {.kind = Kind::Reset}};
    case '2':
        return {{.kind = Kind::Wait, .duration = 400ms}, {.bytes = sound}};
    case '3':
        return {{.bytes = sound}, {.kind = Kind::Close}};
    default:
        return {{.kind = Kind::Wait, .duration = 20ms}, {.bytes = sound}};
    }
}

std::string targetEntry(const ScriptedTarget &target, int index)
{
    return std::string(R"({"service": ")") + (index < Engines ? "e" : "p")
        + R"(", "zone": "a", "version": "v1", "slots": 100, "state": "ready", "coldMs": 0, "born": 1,
               "sequence": 1, "address": ")"
        + toString(target.endpoint()) + "\"}";
}

/** Something that happens to a running process, and how it ends then. */
struct Trouble
{
    const char *name;
    std::optional<int> exitCode; ///< or the negated signal; nothing: it runs on
    void (*cause)(const DaemonProcess &process);
};

const Trouble Troubles[] = {
    {"SIGTERM", 0, [](const auto &process) { process.signal(SIGTERM); }},
    {"two SIGTERM", 0,
     [](const auto &process) {
         process.signal(SIGTERM);
         std::this_thread::sleep_for(30ms);
         process.signal(SIGTERM);
     }},
    {"SIGHUP, SIGTERM and SIGINT", 0,
     [](const auto &process) {
         for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGINT}) {
             process.signal(signal);
         }
     }},
    {"SIGTERM to a frozen process", 0,
     [](const auto &process) {
         process.signal(SIGSTOP);
         process.signal(SIGTERM);
         std::this_thread::sleep_for(50ms);
         process.signal(SIGCONT);
     }},
    {"SIGKILL", -SIGKILL, [](const auto &process) { process.signal(SIGKILL); }},
    {"SIGHUP", {}, [](const auto &process) { process.signal(SIGHUP); }},
    {"settings that are half written",
     {},
     [](const auto &process) {
         process.rewriteSettings(false);
         process.signal(SIGHUP);
         std::this_thread::sleep_for(10ms);
         process.rewriteSettings(true);
         process.signal(SIGHUP);
     }},
};

std::string commonSettings(const std::string &name, const PlatformLogStandin &log)
{
    return "name = " + name + "\nzone = a\nlog-service = " + toString(log.endpoint())
        + "\nlog-stream = standard-output\nmax-descriptors = 2048\nlisten = ";
}

std::string gatewaySettings(int index, const PlatformLogStandin &log, int grace)
{
    const auto host = hostAddress(1 + index) + ":";
    return "[gateway]\n" + commonSettings("g" + std::to_string(index), log) + host + std::to_string(CallerPort)
        + "\nready-listen = " + host + std::to_string(ReadyPort) + "\nready-path = /readyz\nmetrics-listen = " + host
        + std::to_string(MetricsPort) + "\ngrace = " + std::to_string(grace) + "\nmemory-mb = 260\nsidecar-port = "
        + std::to_string(SidecarPort) + "\nlink-mbps = 1000.0\ncpu-share = 0.19\nzone-regions = a:r\n";
}

std::string sidecarSettings(int index, const PlatformLogStandin &log, const ScriptedTarget &engine)
{
    return "[sidecar]\n" + commonSettings("s" + std::to_string(index), log) + hostAddress(100 + index) + ":"
        + std::to_string(SidecarPort) + "\nengine = " + toString(engine.endpoint()) + "\n";
}

/** Expects that @p process has written nothing about a failure of its own. */
void expectNoFailure(const DaemonProcess &process)
{
    const auto output = process.output();
    for (const auto *sign : {"event=handler-failed", "event=uncaught-exception", "event=fatal-signal", "Sanitizer",
                             "runtime error:", "terminate called"}) {
        const auto position = output.find(sign);
        if (position != std::string::npos) {
            ADD_FAILURE() << process.name() << ": " << output.substr(output.rfind('\n', position) + 1, 6'000);
        }
    }
}

void expectEnd(DaemonProcess &process, int exitCode, const std::string &trouble)
{
    EXPECT_EQ(process.wait(), exitCode) << process.name() << " after " << trouble;
    expectNoFailure(process);
}

/** Starts @p process, and sometimes ends it as soon as it is ready. */
void startAgain(DaemonProcess &process, Random &random)
{
    process.start();
    if (draw(random, 3) == 0) {
        ASSERT_TRUE(process.waitUntilReady()) << process.name() << ": " << process.output();
        process.signal(SIGTERM);
        expectEnd(process, 0, "SIGTERM at its ready line");
        process.start();
    }
    ASSERT_TRUE(process.waitUntilReady()) << process.name() << ": " << process.output();
}

/** Returns the seeds in ENDS_SEEDS ("first:count"), or the fixed ones. */
std::vector<unsigned> seeds()
{
    const char *chosen = std::getenv("ENDS_SEEDS");
    const std::string text = chosen != nullptr ? chosen : "1:3";
    const auto colon = text.find(':');
    std::vector<unsigned> all(std::stoul(text.substr(colon + 1)));
    std::generate(all.begin(), all.end(),
                  [next = std::stoul(text)]() mutable { return static_cast<unsigned>(next++); });
    return all;
}

class EndsOfProcesses : public testing::TestWithParam<unsigned>
{
};

// Guards against a process that does not start, ends by itself or does not end in order, among all that happens to it.
TEST_P(EndsOfProcesses, HaveAReasonOutside)
{
    Random random(GetParam());
    const auto folder = std::filesystem::temp_directory_path() / ("ends-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    PlatformLogStandin::Register entries;
    for (int index = 0; index < Sidecars; ++index) {
        targets.push_back(std::make_unique<ScriptedTarget>(
            [index](const std::string &request, int) { return answer(request, index); }, hostAddress(100 + index)));
        entries["t" + std::to_string(index)] = targetEntry(*targets.back(), index);
    }
    PlatformLogStandin log({{"keyed.op", {{"config", ConfigDocument}}}, {"keyed.servers", entries}});
    std::vector<std::unique_ptr<DaemonProcess>> processes;
    processes.reserve(Gateways + Sidecars);
    for (int index = 0; index < Gateways; ++index) {
        processes.push_back(std::make_unique<DaemonProcess>("heatherridge-gateway", "g" + std::to_string(index),
                                                            gatewaySettings(index, log, 1 + draw(random, 4)), folder));
    }
    for (int index = 0; index < Sidecars; ++index) {
        processes.push_back(
            std::make_unique<DaemonProcess>("heatherridge-sidecar", "s" + std::to_string(index),
                                            sidecarSettings(index, log, *targets.at(std::size_t(index))), folder));
    }
    for (const auto &process : processes) {
        process->start();
    }
    for (const auto &process : processes) {
        EXPECT_TRUE(process->waitUntilReady()) << process->name() << ": " << process->output();
    }

    std::atomic<bool> isOver{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    threads.reserve(Gateways * ClientsPerGateway + 1);
    for (int client = 0; client < Gateways * ClientsPerGateway; ++client) {
        threads.emplace_back(useGateway, Endpoint{.address = hostAddress(1 + client % Gateways), .port = CallerPort},
                             random(), std::cref(isOver), std::ref(answered));
    }
    threads.emplace_back([&log, &isOver, own = Random(random())]() mutable {
        while (!isOver) {
            log.setAway(draw(own, 2) == 0);
            std::this_thread::sleep_for(std::chrono::milliseconds(draw(own, 800)));
        }
    });
    for (int round = 0; round < Rounds; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(random, 1'500)));
        std::vector<std::pair<DaemonProcess *, const Trouble *>> ending;
        for (const auto &process : processes) {
            if (draw(random, 3) > 0) {
                const auto &trouble = Troubles[draw(random, std::size(Troubles))];
                trouble.cause(*process);
                if (trouble.exitCode) {
                    ending.emplace_back(process.get(), &trouble);
                }
            }
        }
        for (const auto &[process, trouble] : ending) {
            expectEnd(*process, *trouble->exitCode, trouble->name);
            startAgain(*process, random);
        }
        for (const auto &process : processes) {
            EXPECT_TRUE(process->isRunning()) << process->name() << " ended by itself: " << process->output();
            expectNoFailure(*process);
        }
    }
    for (const auto &process : processes) {
        process->signal(SIGTERM);
    }
    for (const auto &process : processes) {
        expectEnd(*process, 0, "the last SIGTERM");
    }
    isOver = true;
    std::for_each(threads.begin(), threads.end(), [](auto &thread) { thread.join(); });
    std::filesystem::remove_all(folder);
    EXPECT_GT(answered, 100) << "too little traffic to tell anything";
    std::cout << answered << " answered" << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Seeds, EndsOfProcesses, testing::ValuesIn(seeds()),
                         [](const auto &info) { return "Seed" + std::to_string(info.param); });

} // namespace
