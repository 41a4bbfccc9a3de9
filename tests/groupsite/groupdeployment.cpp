#include "groupsite/groupdeployment.h"

#include "heatherridge_protocol/controlrecordcodec.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <thread>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{100};
constexpr int StatusOk = 200;

std::vector<std::string> engineArguments(const std::string &listen)
{
    return {"rank", "--listen", listen, "--step-ms", "10", "--window-ms", "500"};
}

const char *const Rules = "[workspace.mills]\nweight = 1\nkey = mills\n[balance]\nskew-weight = 8\ncost-weight = 1\n";

} // namespace

GroupDeployment::GroupDeployment()
    : m_log(std::make_unique<ChildProcess>("heatherridge-standin", std::vector<std::string>{"log"}))
    , m_engines(Ranks)
    , m_gates(Ranks)
    , m_gateEndpoints(Ranks)
    , m_adminEndpoints(Ranks)
    , m_engineEndpoints(Ranks)
{
    for (int rank = 0; rank < Ranks; ++rank) {
        m_engines[rank] = std::make_unique<ChildProcess>("heatherridge-standin", engineArguments("127.0.0.1:0"));
        m_engineEndpoints[rank] = m_engines[rank]->endpoints().front();
        startGate(rank);
    }
    sendRankAddresses();
    publishInventory(-1);
    publishDocument("rules", Rules);
    waitForProgress({0, 1, 2, 3});
}

void GroupDeployment::startGate(int rank)
{
    const bool hasAddress = m_gateEndpoints[rank].port != 0;
    const std::string anyPort = "127.0.0.1:0";
    m_gates[rank] = std::make_unique<ChildProcess>(
        "heatherridge-target",
        std::vector<std::string>{"--name", "rank" + std::to_string(rank), "--zone", "etna", "--listen",
                                 hasAddress ? toString(m_gateEndpoints[rank]) : anyPort, "--admin",
                                 hasAddress ? toString(m_adminEndpoints[rank]) : anyPort, "--log-service",
                                 toString(m_log->endpoints().front())});
    if (m_gates[rank]->endpoints().size() > 1) {
        m_gateEndpoints[rank] = m_gates[rank]->endpoints()[0];
        m_adminEndpoints[rank] = m_gates[rank]->endpoints()[1];
    }
}

void GroupDeployment::killGate(int rank)
{
    m_gates[rank]->kill();
    m_gates[rank].reset();
}

void GroupDeployment::restartEngine(int rank)
{
    m_engines[rank]->kill();
    // An outgoing connection of another program may occupy the port briefly.
    waitUntil([&] {
        m_engines[rank] =
            std::make_unique<ChildProcess>("heatherridge-standin", engineArguments(toString(m_engineEndpoints[rank])));
        return !m_engines[rank]->endpoints().empty();
    });
    sendRankAddresses();
}

void GroupDeployment::setHotExpert(int expert)
{
    for (const auto &engine : m_engineEndpoints) {
        call(engine, "POST", "/faults", nlohmann::json{{"hot-expert", expert}}.dump());
    }
}

void GroupDeployment::setLogOutage(bool out)
{
    call(m_log->endpoints().front(), "POST", "/faults", nlohmann::json{{"out", out ? 1 : 0}}.dump());
}

void GroupDeployment::publishInventory(int withdrawnRank)
{
    publishDocument("inventory", inventoryText(withdrawnRank));
}

int GroupDeployment::leaderRank() const
{
    for (int rank = 0; rank < Ranks; ++rank) {
        const auto response = m_gates[rank] ? call(m_adminEndpoints[rank], "GET", "/admin/status") : HttpCallResult{};
        const auto report = nlohmann::json::parse(response.body, nullptr, false);
        if (report.is_object() && report["group"].is_object() && report["group"].value("leads", false)) {
            return rank;
        }
    }
    return -1;
}

std::uint64_t GroupDeployment::minMapNumber(const std::vector<int> &ranks) const
{
    std::uint64_t lowestMap = UINT64_MAX;
    for (const int rank : ranks) {
        const auto report = stepReport(rank);
        lowestMap = std::min(lowestMap, report.is_object() ? report.value("map", std::uint64_t{0}) : 0);
    }
    return lowestMap;
}

nlohmann::json GroupDeployment::stepReport(int rank) const
{
    const auto response = call(m_engineEndpoints[rank], "GET", "/group/steps");
    return response.status == StatusOk ? nlohmann::json::parse(response.body, nullptr, false) : nlohmann::json();
}

bool GroupDeployment::mapsAgree(std::string &difference) const
{
    using Change = std::pair<std::uint64_t, std::uint64_t>; // step, map
    std::map<std::uint64_t, std::vector<Change>> longestChanges;
    std::vector<nlohmann::json> reports;
    for (int rank = 0; rank < Ranks; ++rank) {
        reports.push_back(stepReport(rank));
        std::map<std::uint64_t, std::vector<Change>> ownChanges;
        for (const auto &change : reports.back().value("changes", nlohmann::json::array())) {
            ownChanges[change[0]].emplace_back(change[1], change[2]);
        }
        for (const auto &[epoch, changes] : ownChanges) {
            auto &knownChanges = longestChanges[epoch];
            const auto commonLength = std::min(knownChanges.size(), changes.size());
            if (!std::equal(knownChanges.begin(), knownChanges.begin() + static_cast<std::ptrdiff_t>(commonLength),
                            changes.begin())) {
                difference =
                    "rank " + std::to_string(rank) + " changed maps at other steps in epoch " + std::to_string(epoch);
                return false;
            }
            knownChanges = changes.size() > knownChanges.size() ? changes : knownChanges;
        }
    }
    for (const auto &report : reports) {
        if (!report.value("steps", false)) {
            continue; // not a member of the epoch any more
        }
        // A rank whose list lacks a change must not have started the step of that change.
        const auto &knownChanges = longestChanges[report["epoch"]];
        const auto ownChanges = std::count_if(report["changes"].begin(), report["changes"].end(),
                                              [&](const auto &change) { return change[0] == report["epoch"]; });
        if (static_cast<std::size_t>(ownChanges) < knownChanges.size()
            && report["next"].get<std::uint64_t>() > knownChanges[ownChanges].first) {
            difference = "a rank passed step " + std::to_string(knownChanges[ownChanges].first) + " with the old map";
            return false;
        }
    }
    return true;
}

bool GroupDeployment::isStepping(const std::vector<int> &ranks) const
{
    const std::uint64_t minSteps = 5;
    for (const int rank : ranks) {
        const auto earlier = stepReport(rank);
        if (!earlier.is_object() || earlier["epoch"] == 0) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
        const auto after = stepReport(rank);
        const bool hasAdvanced = after.is_object() && after["epoch"] == earlier["epoch"]
            && after["next"].get<std::uint64_t>() >= earlier["next"].get<std::uint64_t>() + minSteps;
        if (!hasAdvanced) {
            return false;
        }
    }
    return true;
}

bool GroupDeployment::waitForProgress(const std::vector<int> &ranks) const
{
    return std::all_of(ranks.begin(), ranks.end(), [this](int rank) {
        auto start = stepReport(rank);
        return waitUntil([&] {
            const auto report = stepReport(rank);
            if (!start.is_object() || !report.is_object() || start["epoch"] == 0 || start["epoch"] != report["epoch"]) {
                start = report;
                return false;
            }
            return report["next"].get<std::uint64_t>() >= start["next"].get<std::uint64_t>() + StepsOfProgress;
        });
    });
}

bool GroupDeployment::waitUntil(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + MaxWait;
    do {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    return false;
}

void GroupDeployment::sendRankAddresses()
{
    auto addresses = nlohmann::json::array();
    for (const auto &endpoint : m_engineEndpoints) {
        addresses.push_back(toString(endpoint));
    }
    for (int rank = 0; rank < Ranks; ++rank) {
        call(m_engineEndpoints[rank], "POST", "/group/ranks",
             nlohmann::json{{"self", rank}, {"ranks", addresses}}.dump());
    }
}

std::string GroupDeployment::inventoryText(int withdrawnRank) const
{
    std::ostringstream text;
    text << "[zone.etna]\nregion = sicily\n";
    for (int rank = 0; rank < Ranks; ++rank) {
        text << "[target.rank" << rank << "]\nhost = host" << rank
             << "\nzone = etna\nservice = sommelier-llm\nkind = engine\nmodels = sommelier\ngroup = cellar\nrank = "
             << rank << "\nexpert-slots = 4\ngate = " << toString(m_gateEndpoints[rank])
             << "\nbackend = " << toString(m_engineEndpoints[rank]) << "\n"
             << (rank == withdrawnRank ? "withdrawn = yes\n" : "");
    }
    return text.str();
}

void GroupDeployment::publishDocument(const std::string &kind, const std::string &text)
{
    const auto offset = static_cast<LogOffset>(m_publishCount);
    const auto payload =
        encodeControlRecord(Publish{.document = kind == "rules" ? DocumentKind::Rules : DocumentKind::Inventory,
                                    .operation = OperationId("publish-" + std::to_string(++m_publishCount)),
                                    .basedOn = offset,
                                    .content = WholeDocument{text}});
    call(m_log->endpoints().front(), "POST", "/streams/control/records", std::string(payload.begin(), payload.end()));
}

} // namespace Heatherridge
