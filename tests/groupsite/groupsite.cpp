#include "groupsite/groupsite.h"

#include "heatherridge_protocol/controlrecordcodec.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <thread>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds AwaitPause{100};
constexpr int AwaitTries = 250;
constexpr int StatusOk = 200;

std::vector<std::string> engineArguments(const std::string &listen)
{
    return {"rank", "--listen", listen, "--step-ms", "10", "--window-ms", "500"};
}

const char *const Rules = "[workspace.mills]\nweight = 1\nkey = mills\n[balance]\nskew-weight = 8\ncost-weight = 1\n";

} // namespace

GroupSite::GroupSite()
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
    tellRanks();
    publish(-1);
    append("rules", Rules);
    await([this] { return stepOn({0, 1, 2, 3}); });
}

void GroupSite::startGate(int rank)
{
    const bool again = m_gateEndpoints[rank].port != 0;
    const std::string any = "127.0.0.1:0";
    m_gates[rank] = std::make_unique<ChildProcess>(
        "heatherridge-target",
        std::vector<std::string>{"--name", "rank" + std::to_string(rank), "--zone", "etna", "--listen",
                                 again ? toString(m_gateEndpoints[rank]) : any, "--admin",
                                 again ? toString(m_adminEndpoints[rank]) : any, "--log-service",
                                 toString(m_log->endpoints().front())});
    if (m_gates[rank]->endpoints().size() > 1) {
        m_gateEndpoints[rank] = m_gates[rank]->endpoints()[0];
        m_adminEndpoints[rank] = m_gates[rank]->endpoints()[1];
    }
}

void GroupSite::killGate(int rank)
{
    m_gates[rank]->kill();
    m_gates[rank].reset();
}

void GroupSite::restartEngine(int rank)
{
    m_engines[rank]->kill();
    // Another program's outgoing connection may hold the port for a moment.
    await([&] {
        m_engines[rank] =
            std::make_unique<ChildProcess>("heatherridge-standin", engineArguments(toString(m_engineEndpoints[rank])));
        return !m_engines[rank]->endpoints().empty();
    });
    tellRanks();
}

void GroupSite::heat(int expert)
{
    for (const auto &engine : m_engineEndpoints) {
        call(engine, "POST", "/faults", nlohmann::json{{"hot-expert", expert}}.dump());
    }
}

void GroupSite::setLogOut(bool out)
{
    call(m_log->endpoints().front(), "POST", "/faults", nlohmann::json{{"out", out ? 1 : 0}}.dump());
}

void GroupSite::publish(int withdrawn)
{
    append("inventory", inventory(withdrawn));
}

int GroupSite::leader() const
{
    for (int rank = 0; rank < Ranks; ++rank) {
        const auto answer = m_gates[rank] ? call(m_adminEndpoints[rank], "GET", "/admin/status") : HttpAnswer{};
        const auto json = nlohmann::json::parse(answer.body, nullptr, false);
        if (json.is_object() && json["group"].is_object() && json["group"].value("leads", false)) {
            return rank;
        }
    }
    return -1;
}

std::uint64_t GroupSite::leastMap(const std::vector<int> &ranks) const
{
    std::uint64_t least = UINT64_MAX;
    for (const int rank : ranks) {
        const auto json = steps(rank);
        least = std::min(least, json.is_object() ? json.value("map", std::uint64_t{0}) : 0);
    }
    return least;
}

nlohmann::json GroupSite::steps(int rank) const
{
    const auto answer = call(m_engineEndpoints[rank], "GET", "/group/steps");
    return answer.status == StatusOk ? nlohmann::json::parse(answer.body, nullptr, false) : nlohmann::json();
}

bool GroupSite::agree(std::string &why) const
{
    using Change = std::pair<std::uint64_t, std::uint64_t>; // step, map
    std::map<std::uint64_t, std::vector<Change>> longest;
    std::vector<nlohmann::json> all;
    for (int rank = 0; rank < Ranks; ++rank) {
        all.push_back(steps(rank));
        std::map<std::uint64_t, std::vector<Change>> own;
        for (const auto &change : all.back().value("changes", nlohmann::json::array())) {
            own[change[0]].emplace_back(change[1], change[2]);
        }
        for (const auto &[epoch, changes] : own) {
            auto &known = longest[epoch];
            const auto shared = std::min(known.size(), changes.size());
            if (!std::equal(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(shared), changes.begin())) {
                why = "rank " + std::to_string(rank) + " changed maps elsewhere in epoch " + std::to_string(epoch);
                return false;
            }
            known = changes.size() > known.size() ? changes : known;
        }
    }
    for (const auto &json : all) {
        if (!json.value("steps", false)) {
            continue; // has left the epoch
        }
        // A rank that lacks a change must not have started its step.
        const auto &known = longest[json["epoch"]];
        const auto own = std::count_if(json["changes"].begin(), json["changes"].end(),
                                       [&](const auto &change) { return change[0] == json["epoch"]; });
        if (static_cast<std::size_t>(own) < known.size() && json["next"].get<std::uint64_t>() > known[own].first) {
            why = "a rank passed step " + std::to_string(known[own].first) + " with the old map";
            return false;
        }
    }
    return true;
}

bool GroupSite::stepOn(const std::vector<int> &ranks) const
{
    const std::uint64_t steadySteps = 5;
    for (const int rank : ranks) {
        const auto before = steps(rank);
        if (!before.is_object() || before["epoch"] == 0) {
            return false;
        }
        std::this_thread::sleep_for(AwaitPause);
        const auto after = steps(rank);
        const bool on = after.is_object() && after["epoch"] == before["epoch"]
            && after["next"].get<std::uint64_t>() >= before["next"].get<std::uint64_t>() + steadySteps;
        if (!on) {
            return false;
        }
    }
    return true;
}

bool GroupSite::await(const std::function<bool()> &done)
{
    for (int i = 0; i < AwaitTries; ++i) {
        if (done()) {
            return true;
        }
        std::this_thread::sleep_for(AwaitPause);
    }
    return false;
}

void GroupSite::tellRanks()
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

std::string GroupSite::inventory(int withdrawn) const
{
    std::ostringstream text;
    text << "[zone.etna]\nregion = sicily\n";
    for (int rank = 0; rank < Ranks; ++rank) {
        text << "[target.rank" << rank << "]\nhost = host" << rank
             << "\nzone = etna\nservice = sommelier-llm\nkind = engine\nmodels = sommelier\ngroup = cellar\nrank = "
             << rank << "\nexpert-slots = 4\ngate = " << toString(m_gateEndpoints[rank])
             << "\nbackend = " << toString(m_engineEndpoints[rank]) << "\n"
             << (rank == withdrawn ? "withdrawn = yes\n" : "");
    }
    return text.str();
}

void GroupSite::append(const std::string &kind, const std::string &text)
{
    const auto offset = static_cast<LogOffset>(m_published);
    const auto payload =
        encodeControlRecord(Publish{.document = kind == "rules" ? DocumentKind::Rules : DocumentKind::Inventory,
                                    .operation = OperationId("publish-" + std::to_string(++m_published)),
                                    .basedOn = offset,
                                    .content = WholeDocument{text}});
    call(m_log->endpoints().front(), "POST", "/streams/control/records", std::string(payload.begin(), payload.end()));
}

} // namespace Heatherridge
