// Measures what the configuration relay costs each process, by number of processes and changes: real agents and codecs,
// in-memory links and log, virtual time. Counts the frames of this system, without TCP, IP and WebSocket headers.
// Usage: configrelaysize [max processes [min processes]]

#include "heatherridge_protocol/controlrecordcodec.h"
#include "support/relaynetwork.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace Heatherridge;

namespace
{

constexpr int ZoneCount = 7;
constexpr std::chrono::milliseconds TimeStep{100};
constexpr std::chrono::seconds SettlingTime{15};
constexpr std::chrono::seconds MeasuredSpan{30};

/** Parameters of one run. */
struct Setting
{
    int processes = 0;
    int changes = 0; ///< published within MeasuredSpan
};

/** Returns the name, zone and region of the process with the given index. */
RelayMember makeMember(int index)
{
    const auto zone = index % ZoneCount;
    return {.process = ProcessName("target-" + std::to_string(index)),
            .zone = ZoneName("zone-" + std::to_string(zone)),
            .region = RegionName(zone < 4 ? "north" : "south")};
}

/** Returns an encoded change to one section, about as large as that of a target. */
Bytes makeChange(LogOffset last)
{
    const auto number = std::to_string(toNumber(last));
    return encodeControlRecord(
        Publish{.document = DocumentKind::Rules,
                .operation = OperationId("operation-" + number),
                .basedOn = last,
                .content = DocumentChange{"[service.s" + std::to_string(toNumber(last) % 20)
                                              + "]\nrepeatable = GET /contracts/*, GET /availability/*, GET /wines/*, "
                                                "HEAD /contracts/*, GET /tours/*, GET /orders/*\ntimeout-ms = "
                                              + std::to_string(20'000 + toNumber(last)) + "\n",
                                          {}}});
}

/** Runs one setting and prints its row. */
void measure(const Setting &setting)
{
    FakeLog log;
    RelayNetwork network;
    std::vector<RelayMember> members;
    members.reserve(static_cast<std::size_t>(setting.processes));
    for (int i = 0; i < setting.processes; ++i) {
        members.push_back(makeMember(i));
    }
    std::shared_ptr<const RelayPlan> plan = std::make_shared<const RelayPlan>(members);
    for (const auto &member : members) {
        network.add(log, {.process = member.process, .zone = member.zone, .buildPlan = [&plan](const Inventory &) {
                              return plan;
                          }});
    }
    const auto run = [&](std::chrono::milliseconds span) {
        network.run(span, TimeStep, [&] { log.run(network.now()); });
    };
    run(SettlingTime);
    for (auto &[name, node] : network.nodes()) {
        node->sent = {};
        node->received = {};
    }
    log.counts = {};
    const auto cpuBegin = std::clock();
    std::chrono::milliseconds maxDelay{0};
    std::size_t payloadBytes = 0;
    const auto end = network.now() + MeasuredSpan;
    for (int change = 0; change < setting.changes; ++change) {
        auto bytes = makeChange(log.last(ControlStream));
        payloadBytes = bytes.size();
        const auto offset = log.put(ControlStream, std::move(bytes));
        const auto begin = network.now();
        const auto isInForceEverywhere = [&] {
            return std::all_of(network.nodes().begin(), network.nodes().end(), [offset](const auto &entry) {
                return entry.second->agent.replica().state().offset() >= offset;
            });
        };
        while (!isInForceEverywhere()) {
            run(TimeStep);
        }
        maxDelay = std::max(maxDelay, std::chrono::duration_cast<std::chrono::milliseconds>(network.now() - begin));
        run(MeasuredSpan / setting.changes - (network.now() - begin) > TimeStep
                ? std::chrono::duration_cast<std::chrono::milliseconds>(MeasuredSpan / setting.changes
                                                                        - (network.now() - begin))
                : TimeStep);
    }
    if (network.now() < end) {
        run(std::chrono::duration_cast<std::chrono::milliseconds>(end - network.now()));
    }
    const auto seconds = std::chrono::duration<double>(network.now() - (end - MeasuredSpan)).count();
    const auto cpu = static_cast<double>(std::clock() - cpuBegin) / CLOCKS_PER_SEC;
    std::uint64_t bytes = 0;
    std::uint64_t maxBytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t maxMessages = 0;
    std::size_t maxPeers = 0;
    for (const auto &[name, node] : network.nodes()) {
        const auto nodeBytes = node->sent.bytes + node->received.bytes;
        bytes += nodeBytes;
        maxBytes = std::max(maxBytes, nodeBytes);
        messages += node->sent.messages + node->received.messages;
        maxMessages = std::max(maxMessages, node->sent.messages + node->received.messages);
        maxPeers = std::max(maxPeers, node->agent.relay().peers().size());
    }
    const auto count = static_cast<double>(setting.processes);
    std::printf("%9d %7d %7zu %10.0f %9.0f %8.1f %8.1f %7zu %9.2f %12.0f %8.4f\n", setting.processes, setting.changes,
                payloadBytes, static_cast<double>(bytes) / count / seconds, static_cast<double>(maxBytes) / seconds,
                static_cast<double>(messages) / count / seconds, static_cast<double>(maxMessages) / seconds, maxPeers,
                static_cast<double>(log.counts.reads) / seconds, static_cast<double>(maxDelay.count()),
                cpu / count / seconds * 100);
}

} // namespace

int main(int argc, char **argv)
{
    const int maxProcesses = argc > 1 ? std::atoi(argv[1]) : 1024;
    const int minProcesses = argc > 2 ? std::atoi(argv[2]) : 0;
    std::printf("processes changes payload bytes/s/proc max bytes/s messages/s max messages/s peers log reads/s "
                "slowest in force ms "
                "CPU %%/proc\n");
    for (const int processes : {16, 64, 256, 1024, 5300}) {
        for (const int changes : {0, 2, 30}) {
            if (processes <= maxProcesses && processes >= minProcesses) {
                measure({.processes = processes, .changes = changes});
            }
        }
    }
    return 0;
}
