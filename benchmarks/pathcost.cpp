#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/http/httpclient.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace Heatherridge;

namespace
{

using std::chrono::duration;
using std::chrono::steady_clock;

/** One kind of request, sent in a closed loop directly to the back end and through an entry. */
struct Workload
{
    std::string name{};
    HttpRequest directRequest{}; ///< request to the back end
    HttpRequest entryRequest{}; ///< request to an entry
    Endpoint backend{};
    std::size_t maxConcurrent = 1; ///< number of concurrent requests
    std::size_t requests = 1;
    std::size_t tokens = 0; ///< tokens in each answer
};

/** Results of one run of a workload. */
struct Measurement
{
    double seconds = 0;
    std::vector<double> milliseconds{}; ///< latency of each request, in ascending order
    std::size_t failed = 0;
    std::map<std::string, double> coreSeconds{}; ///< processor time of each measured process
};

/** Returns the user and system time used by process @p id, in seconds. */
double processorSeconds(const std::string &id)
{
    std::ifstream file("/proc/" + id + "/stat");
    std::string statLine;
    std::getline(file, statLine);
    statLine.erase(0, statLine.rfind(')') + 1);
    std::istringstream fields(statLine);
    std::string skipped;
    constexpr int fieldsBeforeTimes = 11;
    for (int field = 0; field < fieldsBeforeTimes; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/** Sends the requests of a workload, at a fixed concurrency: each completed request starts the next one. */
class ClosedLoop
{
public:
    ClosedLoop(Endpoint endpoint, HttpRequest request, const Workload &workload)
        : m_endpoint(std::move(endpoint))
        , m_request(std::move(request))
        , m_workload(workload)
        , m_client(m_loop.context(), {})
    {
    }

    Measurement run()
    {
        const auto begin = steady_clock::now();
        m_loop.post([this] {
            for (std::size_t slot = 0; slot < m_workload.maxConcurrent; ++slot) {
                sendNext();
            }
        });
        m_loop.start();
        m_completion.get_future().wait();
        m_measurement.seconds = duration<double>(steady_clock::now() - begin).count();
        m_loop.stop();
        std::sort(m_measurement.milliseconds.begin(), m_measurement.milliseconds.end());
        return std::move(m_measurement);
    }

private:
    void sendNext()
    {
        if (m_sent == m_workload.requests) {
            return;
        }
        ++m_sent;
        const auto begin = steady_clock::now();
        m_client.send({.endpoint = m_endpoint, .request = m_request},
                      [this, begin](const std::variant<HttpResponse, HttpClient::Failure> &result) {
                          const auto *response = std::get_if<HttpResponse>(&result);
                          m_measurement.failed += response == nullptr || response->status >= 300 ? 1 : 0;
                          m_measurement.milliseconds.push_back(
                              duration<double, std::milli>(steady_clock::now() - begin).count());
                          if (m_measurement.milliseconds.size() == m_workload.requests) {
                              m_completion.set_value();
                          } else {
                              sendNext();
                          }
                      });
    }

    Endpoint m_endpoint;
    HttpRequest m_request;
    const Workload &m_workload;
    EventLoop m_loop;
    HttpClient m_client;
    std::size_t m_sent = 0;
    Measurement m_measurement;
    std::promise<void> m_completion;
};

double percentile(const Measurement &measurement, double share)
{
    const auto last = static_cast<double>(measurement.milliseconds.size() - 1);
    return measurement.milliseconds[static_cast<std::size_t>(last * share)];
}

void printRow(const Workload &workload, const char *route, const Measurement &measurement)
{
    const auto requests = static_cast<double>(workload.requests);
    std::printf("| %s | %s | %zu | %zu | %zu | %.0f | %.0f | %.2f | %.2f |", workload.name.c_str(), route,
                workload.maxConcurrent, workload.requests, measurement.failed, requests / measurement.seconds,
                requests * static_cast<double>(workload.tokens) / measurement.seconds, percentile(measurement, 0.5),
                percentile(measurement, 0.99));
    for (const auto &[name, seconds] : measurement.coreSeconds) {
        std::printf(" %s %.0f/s", name.c_str(), requests / std::max(seconds, 0.01));
        if (workload.tokens > 0) {
            std::printf(" (%.0f tokens/s)", requests * static_cast<double>(workload.tokens) / std::max(seconds, 0.01));
        }
    }
    std::printf(" |\n");
}

HttpRequest makeChatRequest(std::size_t tokens, bool stream, bool throughEntry)
{
    const nlohmann::json body{{"model", "chip-llm"},
                              {"stream", stream},
                              {"max_tokens", tokens},
                              {"messages", {{{"role", "user"}, {"content", "Explain the delivery terms"}}}}};
    HttpRequest request{.method = "POST", .path = "/v1/chat/completions", .body = body.dump()};
    if (throughEntry) {
        request.headers.push_back({.name = "X-Workspace", .value = "mills"});
    }
    return request;
}

HttpRequest makeLookUpRequest(const std::string &prefix)
{
    return {.method = "GET",
            .path = prefix + "/availability/monday",
            .headers = {{.name = "X-Workspace", .value = "mills"}}};
}

} // namespace

/** Usage: pathcost ENTRY ENGINE PLAIN NAME=PROCESS-ID ... */
int main(int argc, char **argv)
{
    constexpr int firstProcess = 4;
    if (argc < firstProcess) {
        std::cerr << "usage: pathcost ENTRY ENGINE PLAIN NAME=PROCESS-ID ...; see scripts/pathcost\n";
        return 2;
    }
    const auto entry = parseEndpoint(argv[1]).value();
    const auto engine = parseEndpoint(argv[2]).value();
    const auto plain = parseEndpoint(argv[3]).value();
    std::map<std::string, std::string> processes;
    for (int index = firstProcess; index < argc; ++index) {
        const std::string argument(argv[index]);
        processes[argument.substr(0, argument.find('='))] = argument.substr(argument.find('=') + 1);
    }
    const Workload workloads[] = {
        {"look-up, one at a time", makeLookUpRequest(""), makeLookUpRequest("/services/yard-app"), plain, 1, 2'000, 0},
        {"look-up, closed loop", makeLookUpRequest(""), makeLookUpRequest("/services/yard-app"), plain, 32, 20'000, 0},
        {"chat of 1 token, one at a time", makeChatRequest(1, false, false), makeChatRequest(1, false, true), engine, 1,
         2'000, 1},
        {"chat of 200 tokens, streamed", makeChatRequest(200, true, false), makeChatRequest(200, true, true), engine,
         32, 1'000, 200},
    };
    std::printf("| workload | way | at a time | requests | failed | requests/s | tokens/s | p50 ms | p99 ms | per core "
                "of processor time |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &workload : workloads) {
        const auto direct = ClosedLoop(workload.backend, workload.directRequest, workload).run();
        std::map<std::string, double> before;
        for (const auto &[name, id] : processes) {
            before[name] = processorSeconds(id);
        }
        auto viaEntry = ClosedLoop(entry, workload.entryRequest, workload).run();
        for (const auto &[name, id] : processes) {
            viaEntry.coreSeconds[name] = processorSeconds(id) - before[name];
        }
        printRow(workload, "direct", direct);
        printRow(workload, "entry + target", viaEntry);
        std::printf("| | ratio | | | | %.2f | | +%.2f ms | | |\n", direct.seconds / viaEntry.seconds,
                    percentile(viaEntry, 0.5) - percentile(direct, 0.5));
    }
    return 0;
}
