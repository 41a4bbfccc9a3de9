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

/** One kind of request, sent in a closed loop. */
struct Workload
{
    std::string name{};
    HttpRequest direct{}; ///< as the back end takes it
    HttpRequest path{}; ///< as an entry takes it
    Endpoint backend{};
    std::size_t lanes = 1; ///< requests at a time
    std::size_t requests = 1;
    std::size_t tokens = 0; ///< in each answer
};

/** What one run of a workload showed. */
struct Measured
{
    double seconds = 0;
    std::vector<double> milliseconds{}; ///< of each request, in rising order
    std::size_t failed = 0;
    std::map<std::string, double> coreSeconds{}; ///< processor time of each watched process
};

/** User and system time that process @p id has used, in seconds. */
double processorSeconds(const std::string &id)
{
    std::ifstream file("/proc/" + id + "/stat");
    std::string text;
    std::getline(file, text);
    text.erase(0, text.rfind(')') + 1);
    std::istringstream fields(text);
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

/** Sends a workload's requests, each lane the next one as soon as its last is answered. */
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

    Measured run()
    {
        const auto begin = steady_clock::now();
        m_loop.post([this] {
            for (std::size_t lane = 0; lane < m_workload.lanes; ++lane) {
                sendNext();
            }
        });
        m_loop.start();
        m_done.get_future().wait();
        m_measured.seconds = duration<double>(steady_clock::now() - begin).count();
        m_loop.stop();
        std::sort(m_measured.milliseconds.begin(), m_measured.milliseconds.end());
        return std::move(m_measured);
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
                          m_measured.failed += response == nullptr || response->status >= 300 ? 1 : 0;
                          m_measured.milliseconds.push_back(
                              duration<double, std::milli>(steady_clock::now() - begin).count());
                          if (m_measured.milliseconds.size() == m_workload.requests) {
                              m_done.set_value();
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
    Measured m_measured;
    std::promise<void> m_done;
};

double percentile(const Measured &measured, double share)
{
    const auto last = static_cast<double>(measured.milliseconds.size() - 1);
    return measured.milliseconds[static_cast<std::size_t>(last * share)];
}

void printRow(const Workload &workload, const char *way, const Measured &measured)
{
    const auto requests = static_cast<double>(workload.requests);
    std::printf("| %s | %s | %zu | %zu | %zu | %.0f | %.0f | %.2f | %.2f |", workload.name.c_str(), way, workload.lanes,
                workload.requests, measured.failed, requests / measured.seconds,
                requests * static_cast<double>(workload.tokens) / measured.seconds, percentile(measured, 0.5),
                percentile(measured, 0.99));
    for (const auto &[name, seconds] : measured.coreSeconds) {
        std::printf(" %s %.0f/s", name.c_str(), requests / std::max(seconds, 0.01));
        if (workload.tokens > 0) {
            std::printf(" (%.0f tokens/s)", requests * static_cast<double>(workload.tokens) / std::max(seconds, 0.01));
        }
    }
    std::printf(" |\n");
}

HttpRequest chat(std::size_t tokens, bool stream, bool throughEntry)
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

HttpRequest lookUp(const std::string &prefix)
{
    return {.method = "GET",
            .path = prefix + "/availability/monday",
            .headers = {{.name = "X-Workspace", .value = "mills"}}};
}

} // namespace

/** usage: pathcost ENTRY ENGINE PLAIN NAME=PROCESS-ID ... */
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
        const std::string word(argv[index]);
        processes[word.substr(0, word.find('='))] = word.substr(word.find('=') + 1);
    }
    const Workload workloads[] = {
        {"look-up, one at a time", lookUp(""), lookUp("/services/yard-app"), plain, 1, 2'000, 0},
        {"look-up, closed loop", lookUp(""), lookUp("/services/yard-app"), plain, 32, 20'000, 0},
        {"chat of 1 token, one at a time", chat(1, false, false), chat(1, false, true), engine, 1, 2'000, 1},
        {"chat of 200 tokens, streamed", chat(200, true, false), chat(200, true, true), engine, 32, 1'000, 200},
    };
    std::printf("| workload | way | at a time | requests | failed | requests/s | tokens/s | p50 ms | p99 ms | per core "
                "of processor time |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &workload : workloads) {
        const auto direct = ClosedLoop(workload.backend, workload.direct, workload).run();
        std::map<std::string, double> before;
        for (const auto &[name, id] : processes) {
            before[name] = processorSeconds(id);
        }
        auto path = ClosedLoop(entry, workload.path, workload).run();
        for (const auto &[name, id] : processes) {
            path.coreSeconds[name] = processorSeconds(id) - before[name];
        }
        printRow(workload, "direct", direct);
        printRow(workload, "entry + target", path);
        std::printf("| | ratio | | | | %.2f | | +%.2f ms | | |\n", direct.seconds / path.seconds,
                    percentile(path, 0.5) - percentile(direct, 0.5));
    }
    return 0;
}
