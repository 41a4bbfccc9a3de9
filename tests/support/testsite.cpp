#include "support/testsite.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

namespace Heatherridge
{

namespace
{

constexpr const char *Rules = "[workspace.mills]\nweight = 4\n[workspace.buyers]\n[workspace.keyed]\nkey = secret\n"
                              "[service.yard-app]\nrepeatable = GET /contracts/*, GET /availability/*\n";
constexpr const char *AnyPort = "127.0.0.1:0";
constexpr std::chrono::milliseconds StatusPollInterval{5};

std::unique_ptr<ChildProcess> startProgram(const std::string &program, std::vector<std::string> arguments,
                                           const std::vector<std::string> &extraArguments = {})
{
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    auto process = std::make_unique<ChildProcess>(program, arguments);
    if (process->endpoints().empty()) {
        throw std::runtime_error(program + " did not start");
    }
    return process;
}

std::string targetName(std::size_t index)
{
    return "t" + std::to_string(index);
}

} // namespace

TestSite::TestSite(const Options &options)
    : m_options(options)
    , m_log(startProgram("heatherridge-standin", {"log"}))
{
    const auto logAddress = toString(log());
    for (int index = 0; index < options.engines; ++index) {
        m_backends.push_back(startProgram("heatherridge-standin", {"engine"}, options.engineFlags));
    }
    for (int index = 0; index < options.plainServices; ++index) {
        m_backends.push_back(startProgram("heatherridge-standin", {"plain"}));
    }
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        m_targets.push_back(startProgram("heatherridge-target",
                                         {"--name", targetName(index), "--zone", "a", "--log-service", logAddress,
                                          "--listen", AnyPort, "--admin", AnyPort, "--log-level", "error"}));
    }
    for (int index = 0; index < options.entries; ++index) {
        m_entries.push_back(startProgram("heatherridge-entry",
                                         {"--name", "entry-" + std::to_string(index), "--zone", "a", "--log-service",
                                          logAddress, "--listen", AnyPort, "--log-level", "error"},
                                         options.entryFlags));
    }
    publish("rules", Rules);
    publish("inventory", inventory({}));
    for (int index = 0; index < options.entries; ++index) {
        waitForTargets(entry(static_cast<std::size_t>(index)));
    }
}

const Endpoint &TestSite::log() const
{
    return m_log->endpoints().front();
}

const Endpoint &TestSite::entry(std::size_t index) const
{
    return m_entries.at(index)->endpoints().front();
}

const Endpoint &TestSite::engine(std::size_t index) const
{
    return m_backends.at(index)->endpoints().front();
}

const Endpoint &TestSite::plain(std::size_t index) const
{
    return m_backends.at(static_cast<std::size_t>(m_options.engines) + index)->endpoints().front();
}

ChildProcess &TestSite::entryProcess(std::size_t index)
{
    return *m_entries.at(index);
}

ChildProcess &TestSite::targetProcess(std::size_t index)
{
    return *m_targets.at(index);
}

void TestSite::withdraw(const std::set<std::size_t> &targets)
{
    publish("inventory", inventory(targets));
}

void TestSite::publish(const std::string &kind, const std::string &text)
{
    std::string file = "/tmp/heatherridge-test-XXXXXX";
    const int descriptor = ::mkstemp(file.data());
    ::close(descriptor);
    std::ofstream(file) << text;
    const auto run = runProgram("heatherridge", {"publish", kind, file, "--log", toString(log()), "--json"});
    std::remove(file.c_str());
    const auto result = nlohmann::json::parse(run.output, nullptr, false);
    if (run.exitCode != 0) {
        throw std::runtime_error("publish " + kind + ": " + run.output);
    }
    const auto offset = result.at("offset").get<std::uint64_t>();
    for (const auto &entry : m_entries) {
        for (;;) {
            const auto answer = call(entry->endpoints().front(), "GET", "/admin/status");
            const auto status = nlohmann::json::parse(answer.body, nullptr, false);
            if (answer.status == 0 || (status.is_object() && status.value("offset", 0ULL) >= offset)) {
                break;
            }
            std::this_thread::sleep_for(StatusPollInterval);
        }
    }
}

void TestSite::waitForTargets(const Endpoint &entry) const
{
    std::size_t servingCount = 0;
    while (servingCount < m_targets.size()) {
        const auto answer = nlohmann::json::parse(call(entry, "GET", "/admin/targets").body, nullptr, false);
        const auto targets = answer.is_object() ? answer.value("targets", nlohmann::json::array()) : nlohmann::json();
        servingCount = static_cast<std::size_t>(std::count_if(
            targets.begin(), targets.end(), [](const auto &target) { return target.value("state", "") == "serving"; }));
        std::this_thread::sleep_for(StatusPollInterval);
    }
}

std::string TestSite::inventory(const std::set<std::size_t> &withdrawn) const
{
    std::string text = "[zone.a]\nregion = r\n";
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        const bool isEngine = index < static_cast<std::size_t>(m_options.engines);
        text += "[target." + targetName(index) + "]\nhost = h" + std::to_string(index) + "\nzone = a\n";
        text += isEngine ? "service = chip\nkind = engine\nmodels = chip-llm\n" : "service = yard-app\nkind = plain\n";
        text += "gate = " + toString(m_targets[index]->endpoints().front()) + "\n";
        text += "backend = " + toString(m_backends[index]->endpoints().front()) + "\n";
        text += withdrawn.contains(index) ? "withdrawn = yes\n" : "";
    }
    return text;
}

} // namespace Heatherridge
