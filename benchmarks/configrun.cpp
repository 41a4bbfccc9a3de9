// Measures the configuration end to end with the real programs, in one run: the time from an append until it is in
// force on every process, also for changes published while the log is unavailable; from a target's withdrawal or its
// host's leaving mark to the last new request; and from the restart of a killed process until it is ready. Usage:
// configrun [targets [entries [changes]]]

#include "heatherridge_coordination/config/publisher.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/platform/httplogservice.h"
#include "support/childprocess.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace Heatherridge;

namespace
{

constexpr int ZoneCount = 3;
constexpr std::chrono::milliseconds PublisherTick{5};
constexpr std::chrono::seconds OutageDuration{10};

/** A "config-in-force" line from the log of a process. */
struct ConfigInForceEvent
{
    std::string process{};
    std::uint64_t offset = 0;
    std::int64_t milliseconds = 0; ///< since midnight UTC
    bool confirmed = false;
};

std::int64_t millisecondsOfDay(const std::string &time)
{
    // 2026-01-02T03:04:05.678Z
    const auto number = [&time](std::size_t at, std::size_t length) { return std::stoll(time.substr(at, length)); };
    return ((number(11, 2) * 60 + number(14, 2)) * 60 + number(17, 2)) * 1000 + number(20, 3);
}

std::int64_t currentMillisecondsOfDay()
{
    const auto now = SystemClock().wallNow().time_since_epoch();
    return now.count() % std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::hours(24)).count();
}

/** Returns the value of @p key in a line of key=value fields, or an empty string. */
std::string fieldValue(const std::string &line, const std::string &key)
{
    const auto at = line.find(key + "=");
    return at == std::string::npos ? "" : line.substr(at + key.size() + 1, line.find(' ', at) - at - key.size() - 1);
}

std::vector<ConfigInForceEvent> readLog(const std::string &path)
{
    std::vector<ConfigInForceEvent> events;
    std::ifstream file(path);
    std::stringstream contents;
    contents << file.rdbuf();
    const auto text = contents.str();
    // Many processes write to the same file, so lines of two processes may lack a line break between them.
    for (auto at = text.find("time="); at != std::string::npos;) {
        const auto next = text.find("time=", at + 1);
        auto line = text.substr(at, next == std::string::npos ? next : next - at);
        line = line.substr(0, line.find('\n'));
        at = next;
        if (fieldValue(line, "event") == "config-in-force") {
            events.push_back({.process = fieldValue(line, "process"),
                              .offset = std::stoull(fieldValue(line, "offset")),
                              .milliseconds = millisecondsOfDay(fieldValue(line, "time")),
                              .confirmed = fieldValue(line, "confirmed") == "yes"});
        }
    }
    return events;
}

/** Starts the programs of one run and gives access to them. */
class Deployment
{
public:
    Deployment(int targets, int entries, std::string logFile)
        : m_logFile(std::move(logFile))
        , m_log("heatherridge-standin", {"log", "--listen", "127.0.0.1:0"})
        , m_hosts("heatherridge-standin", {"hosts", "--listen", "127.0.0.1:0"})
        , m_random(1)
    {
        m_client = std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{});
        m_service = std::make_unique<HttpLogService>(*m_client, HttpLogService::Options{.endpoint = logEndpoint()});
        m_loop.start();
        for (int i = 0; i < 2; ++i) {
            m_backends.push_back(std::make_unique<ChildProcess>(
                "heatherridge-standin", std::vector<std::string>{"plain", "--listen", "127.0.0.1:0"}));
        }
        for (int i = 0; i < targets; ++i) {
            m_targets.push_back(startTarget(i, "127.0.0.1:0"));
        }
        for (int i = 0; i < entries; ++i) {
            m_entries.push_back(std::make_unique<ChildProcess>(
                "heatherridge-entry",
                std::vector<std::string>{"--name", "entry-" + std::to_string(i), "--zone", zoneName(i), "--log-service",
                                         toString(logEndpoint()), "--host-list", toString(hostListEndpoint()),
                                         "--listen", "127.0.0.1:0"}));
        }
    }

    ~Deployment()
    {
        m_loop.runAndWait([this] {
            m_publisher.reset();
            m_service.reset();
            m_client.reset();
        });
        m_loop.stop();
    }

    Endpoint logEndpoint() const
    {
        return m_log.endpoints().front();
    }

    Endpoint hostListEndpoint() const
    {
        return m_hosts.endpoints().front();
    }

    /** Makes the log fail every call, or answer again. */
    void setLogUnavailable(bool isUnavailable)
    {
        call(logEndpoint(),
             {.method = "POST", .path = "/faults", .body = isUnavailable ? "{\"out\":1}" : "{\"out\":0}"});
    }

    std::size_t processCount() const
    {
        return m_targets.size() + m_entries.size();
    }

    /** Returns the inventory; @p withdrawn is the index of the target that is withdrawn, or -1 for none. */
    std::string inventory(int withdrawn) const
    {
        std::string text;
        for (int zone = 0; zone < ZoneCount; ++zone) {
            text += "[zone." + zoneName(zone) + "]\nregion = r\n";
        }
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            const auto name = "target-" + std::to_string(i);
            // The first target has its own back end, so that its requests can be counted separately.
            const auto &backend = m_backends[i == 0 ? 0 : 1]->endpoints().front();
            text += "[target." + name + "]\nhost = host-" + std::to_string(i)
                + "\nzone = " + zoneName(static_cast<int>(i)) + "\nservice = yard\nkind = plain\ngate = "
                + toString(m_targets[i]->endpoints().front()) + "\nbackend = " + toString(backend)
                + (static_cast<int>(i) == withdrawn ? "\nwithdrawn = yes\n" : "\n");
        }
        return text;
    }

    /** Publishes @p text and waits for the result; @returns the offset, or 0 if it was not accepted. */
    std::uint64_t publish(DocumentKind document, const std::string &text)
    {
        m_loop.runAndWait([&] {
            m_publisher = std::make_unique<Publisher>(
                *m_service, m_random,
                PublishRequest{.document = document,
                               .operation = OperationId("run-" + std::to_string(++m_operation)),
                               .text = text},
                PublisherOptions{.timeout = std::chrono::seconds(60)});
        });
        std::optional<PublishResult> result;
        while (!result) {
            m_loop.runAndWait([&] {
                m_publisher->tick(std::chrono::steady_clock::now());
                result = m_publisher->result();
            });
            std::this_thread::sleep_for(PublisherTick);
        }
        const auto *accepted = std::get_if<PublishAccepted>(&*result);
        return accepted == nullptr ? 0 : toNumber(accepted->offset);
    }

    /** Returns when the log appended the record at @p offset, in milliseconds since midnight UTC. */
    std::int64_t appendTime(std::uint64_t offset)
    {
        std::promise<std::int64_t> time;
        m_loop.runAndWait([&] {
            m_service->read(ControlStream, static_cast<LogOffset>(offset), 1, std::chrono::milliseconds(0),
                            [&time](const Result<LogPage> &page) {
                                const auto at = std::get<LogPage>(page).records.front().appended.time_since_epoch();
                                time.set_value(at.count() % 86'400'000);
                            });
        });
        return time.get_future().get();
    }

    HttpResponse call(const Endpoint &endpoint, HttpRequest request)
    {
        std::promise<HttpResponse> answer;
        m_loop.runAndWait([&] {
            m_client->send({.endpoint = endpoint, .request = std::move(request)},
                           [&answer](const std::variant<HttpResponse, HttpClient::Failure> &result) {
                               const auto *response = std::get_if<HttpResponse>(&result);
                               answer.set_value(response == nullptr ? HttpResponse{.status = 0} : *response);
                           });
        });
        return answer.get_future().get();
    }

    /** Waits up to 600 polls for @p offset to be in force on every process; @returns the delays since its append,
     * sorted. */
    std::vector<std::int64_t> waitForDelays(std::uint64_t offset)
    {
        const auto appended = appendTime(offset);
        std::map<std::string, std::int64_t> inForceTimes;
        for (int round = 0; inForceTimes.size() < processCount() && round < 600; ++round) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            for (const auto &line : readLog(m_logFile)) {
                if (line.offset >= offset) {
                    inForceTimes.try_emplace(line.process, line.milliseconds);
                }
            }
        }
        std::vector<std::int64_t> delays;
        delays.reserve(inForceTimes.size());
        for (const auto &[process, at] : inForceTimes) {
            delays.push_back(at - appended);
        }
        std::sort(delays.begin(), delays.end());
        return delays;
    }

    std::unique_ptr<ChildProcess> startTarget(int index, const std::string &listen) const
    {
        return std::make_unique<ChildProcess>(
            "heatherridge-target",
            std::vector<std::string>{"--name", "target-" + std::to_string(index), "--zone", zoneName(index),
                                     "--log-service", toString(logEndpoint()), "--host-list",
                                     toString(hostListEndpoint()), "--listen", listen, "--admin", "127.0.0.1:0"});
    }

    ChildProcess &backend(std::size_t index)
    {
        return *m_backends[index];
    }

    std::size_t targetCount() const
    {
        return m_targets.size();
    }

    std::unique_ptr<ChildProcess> &target(std::size_t index)
    {
        return m_targets[index];
    }

    Endpoint entry(std::size_t index) const
    {
        return m_entries[index]->endpoints().front();
    }

private:
    static std::string zoneName(int index)
    {
        return "zone-" + std::to_string(index % ZoneCount);
    }

    std::string m_logFile;
    ChildProcess m_log;
    ChildProcess m_hosts;
    SeededRandom m_random;
    EventLoop m_loop;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpLogService> m_service;
    std::unique_ptr<Publisher> m_publisher;
    std::vector<std::unique_ptr<ChildProcess>> m_backends;
    std::vector<std::unique_ptr<ChildProcess>> m_targets;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    int m_operation = 0;
};

std::string makeRules(int version)
{
    return "[workspace.mill]\nweight = " + std::to_string(version)
        + "\n[service.yard]\nrepeatable = GET /availability/*\n";
}

void printDelays(const char *label, const std::vector<std::int64_t> &delays, std::size_t processes)
{
    if (delays.empty()) {
        std::printf("%-44s nothing measured\n", label);
        return;
    }
    std::printf("%-44s processes %zu of %zu, ms: least %lld, median %lld, 95 in 100 %lld, most %lld\n", label,
                delays.size(), processes, static_cast<long long>(delays.front()),
                static_cast<long long>(delays[delays.size() / 2]),
                static_cast<long long>(delays[delays.size() * 95 / 100]), static_cast<long long>(delays.back()));
}

void measureChanges(Deployment &deployment, int changes)
{
    std::vector<std::int64_t> allDelays;
    for (int change = 0; change < changes; ++change) {
        const auto offset = deployment.publish(DocumentKind::Rules, makeRules(change + 2));
        const auto delays = deployment.waitForDelays(offset);
        allDelays.insert(allDelays.end(), delays.begin(), delays.end());
    }
    std::sort(allDelays.begin(), allDelays.end());
    printDelays("append to in force", allDelays, deployment.processCount() * static_cast<std::size_t>(changes));
}

void measureOutage(Deployment &deployment)
{
    deployment.setLogUnavailable(true);
    std::thread outageEnd([&] {
        std::this_thread::sleep_for(OutageDuration);
        deployment.setLogUnavailable(false);
    });
    const auto offset = deployment.publish(DocumentKind::Rules, makeRules(1000));
    outageEnd.join();
    printDelays("append to in force after 10 s without the log", deployment.waitForDelays(offset),
                deployment.processCount());
}

/**
 * Calls the service continuously while @p removeTarget, which returns its start time, removes the first target; prints
 * the delay until the last new request to that target.
 */
void measureLastRequest(const char *label, Deployment &deployment, const std::function<std::int64_t()> &removeTarget)
{
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::thread caller([&] {
        while (!stop) {
            const auto response = deployment.call(
                deployment.entry(0),
                {.method = "GET", .path = "/services/yard/availability/7", .headers = {{"X-Workspace", "mill"}}});
            ++(response.status == 200 ? answered : refused);
        }
    });
    const auto firstTargetCalls = [&deployment] {
        const auto body =
            deployment.call(deployment.backend(0).endpoints().front(), {.method = "GET", .path = "/counters"}).body;
        const auto at = body.find("\"lookups\":");
        return at == std::string::npos ? 0LL : std::atoll(body.c_str() + at + 10);
    };
    const auto callsAtStart = firstTargetCalls();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto callsBefore = firstTargetCalls();
    const auto begin = removeTarget();
    auto lastCalls = firstTargetCalls();
    auto lastCallTime = currentMillisecondsOfDay();
    for (int round = 0; round < 600; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        const auto calls = firstTargetCalls();
        if (calls != lastCalls) {
            lastCalls = calls;
            lastCallTime = currentMillisecondsOfDay();
        }
    }
    stop = true;
    caller.join();
    std::printf("%-44s ms: at most %lld; %lld calls in the 2 s before, %lld after; answered %d, refused %d\n", label,
                static_cast<long long>(lastCallTime - begin), callsBefore - callsAtStart, lastCalls - callsBefore,
                answered.load(), refused.load());
}

void measureWithdrawal(Deployment &deployment)
{
    measureLastRequest("withdrawal's append to last new request", deployment, [&deployment] {
        return deployment.appendTime(deployment.publish(DocumentKind::Inventory, deployment.inventory(0)));
    });
}

void measureLeavingMark(Deployment &deployment)
{
    const auto setHostState = [&deployment](const std::string &state) {
        deployment.call(
            deployment.hostListEndpoint(),
            {.method = "PUT", .path = "/hosts", .body = R"({"hosts":[{"host":"host-0","state":")" + state + R"("}]})"});
    };
    deployment.setLogUnavailable(true);
    measureLastRequest("leaving mark to last new request, log out", deployment, [&setHostState] {
        setHostState("leaving");
        return currentMillisecondsOfDay();
    });
    deployment.setLogUnavailable(false);
    setHostState("live");
    std::this_thread::sleep_for(MembershipOptions{}.hostReturnDelay + std::chrono::seconds(2));
}

void measureRecovery(Deployment &deployment, const std::string &logFile)
{
    std::vector<std::int64_t> delays;
    for (std::size_t i = 1; i < std::min<std::size_t>(4, deployment.targetCount()); ++i) {
        const auto gate = toString(deployment.target(i)->endpoints().front());
        deployment.target(i)->kill();
        const auto begin = currentMillisecondsOfDay();
        deployment.target(i) = deployment.startTarget(static_cast<int>(i), gate);
        const auto name = "target-" + std::to_string(i);
        for (std::int64_t ready = 0; ready == 0;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            for (const auto &line : readLog(logFile)) {
                if (line.process == name && line.milliseconds >= begin && line.confirmed && line.offset > 0) {
                    ready = line.milliseconds;
                    delays.push_back(ready - begin);
                    break;
                }
            }
        }
    }
    std::sort(delays.begin(), delays.end());
    printDelays("start of a killed process to confirmed state", delays, delays.size());
}

} // namespace

int main(int argc, char **argv)
{
    const int targets = argc > 1 ? std::atoi(argv[1]) : 16;
    const int entries = argc > 2 ? std::atoi(argv[2]) : 2;
    const int changes = argc > 3 ? std::atoi(argv[3]) : 10;
    char logFile[] = "/tmp/configrun-XXXXXX";
    const int file = ::mkstemp(logFile);
    ::dup2(file, STDERR_FILENO); // collects the daemons' logs, whose lines carry timestamps
    ::fcntl(STDERR_FILENO, F_SETFL, O_APPEND);
    const auto begin = std::chrono::steady_clock::now();
    ::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("targets %d, entries %d\n", targets, entries);
    {
        Deployment deployment(targets, entries, logFile);
        printDelays("first inventory in force",
                    deployment.waitForDelays(deployment.publish(DocumentKind::Inventory, deployment.inventory(-1))),
                    deployment.processCount());
        printDelays("first rules in force",
                    deployment.waitForDelays(deployment.publish(DocumentKind::Rules, makeRules(1))),
                    deployment.processCount());
        std::this_thread::sleep_for(std::chrono::seconds(5)); // lets the relay find its sources
        measureChanges(deployment, changes);
        measureOutage(deployment);
        measureRecovery(deployment, logFile);
        measureLeavingMark(deployment);
        measureWithdrawal(deployment);
    }
    rusage usage{};
    ::getrusage(RUSAGE_CHILDREN, &usage);
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const auto cpu = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    std::printf("processor time of all children %.1f s in %.1f s\n", cpu, seconds);
    ::unlink(logFile);
    return 0;
}
