// A group of model replicas is idle. Orders are carried out late, and the gateway that gives them is killed twice.
// Checks that no pass begins while ranks of the group have different maps.
#include "standins.h"

using namespace standins;

namespace
{

// The figures of sites/ferrauto-degusta.toml.
constexpr int Ranks = 8;
constexpr int Sets = 6;
constexpr int Experts = 64;
constexpr int Places = 11;
constexpr int Spare = 4;
constexpr double PassSeconds = 0.05;
constexpr double CopySeconds = 0.051; // an expert: 580 MB over 92,000 Mbit/s
constexpr double ReportLag = 0; // "fresh and free when requested from its own machine": the sidecars ask
constexpr double ShortestLateness = 2; // orders are carried out 2 to 12 s late
constexpr double LongestLateness = 12;
constexpr double LateSpell = 5.5; // of the site file, from the first unanswered order to the last
constexpr double RestartDelay = 0.5;
const std::string Service = "sommelier";

struct Map
{
    std::uint64_t version = 0;
    json layout{}; // by set and rank

    bool operator==(const Map &) const = default;
};

/** One rank: PROTOCOL.md, "GET /api/report", "POST /api/order". */
struct Rank
{
    Map map{};
    std::optional<Map> prepared{};
    double preparedAt = 0;
    std::uint64_t highestVersion = 0;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> armed{}; // version, step
    std::optional<std::uint64_t> held{};
    std::vector<double> counts{};
    std::vector<std::pair<double, std::string>> reports{}; // with the time from which they may be read
};

/** A group of ranks that makes its passes together. All functions lock. */
class Group
{
public:
    explicit Group(Record &record)
        : m_record(record)
        , m_ranks(Ranks)
    {
        json set = json::array();
        for (int rank = 0; rank < Ranks; ++rank) {
            set.push_back(json::array());
            for (int expert = rank; expert < Experts; expert += Ranks) {
                set[rank].push_back(expert); // map 0 assigns experts in turn
            }
        }
        for (auto &rank : m_ranks) {
            rank.map = {.version = 0, .layout = json(Sets, set)};
            rank.counts.assign(Sets * Experts, 0);
            addCounts(rank, 300); // the work of the day so far
        }
        for (int rank = 0; rank < Ranks; ++rank) {
            publish(rank);
        }
    }

    std::string report(int rank)
    {
        const std::lock_guard lock(m_mutex);
        std::string newest = m_ranks[rank].reports.front().second;
        for (const auto &[time, text] : m_ranks[rank].reports) {
            newest = time <= elapsed() ? text : newest;
        }
        return newest;
    }

    std::string picked(int rank, bool lists)
    {
        const std::lock_guard lock(m_mutex);
        const auto &self = m_ranks[rank];
        if (!lists) {
            return json{{"step", m_step}, {"epoch", 1}, {"counts", self.counts}}.dump();
        }
        const auto entry = [rank](const Map &map) {
            auto experts = json::array();
            for (const auto &set : map.layout) {
                experts.push_back(set[rank]);
            }
            return json{{"version", map.version}, {"experts", experts}};
        };
        return json{{"step", m_step},
                    {"epoch", 1},
                    {"map", entry(self.map)},
                    {"prepared", self.prepared ? entry(*self.prepared) : json()}}
            .dump();
    }

    int order(int rank, const json &order)
    {
        const std::lock_guard lock(m_mutex);
        const int status = execute(rank, order);
        publish(rank);
        return status;
    }

    void setRequests(int change)
    {
        const std::lock_guard lock(m_mutex);
        m_requests += change;
    }

    std::uint64_t step()
    {
        const std::lock_guard lock(m_mutex);
        return m_step;
    }

    bool isArmed(int rank)
    {
        const std::lock_guard lock(m_mutex);
        return m_ranks[rank].armed.has_value();
    }

    bool isBroken()
    {
        const std::lock_guard lock(m_mutex);
        return m_isBroken;
    }

    /** Begins the next pass if there is work and no rank holds it. */
    void tick()
    {
        const std::lock_guard lock(m_mutex);
        const auto next = m_step + 1;
        const bool isHeld =
            std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto &rank) { return rank.held == next; });
        if (m_requests == 0 || isHeld) {
            return;
        }
        m_step = next;
        for (int rank = 0; rank < Ranks; ++rank) {
            auto &self = m_ranks[rank];
            addCounts(self, 1);
            if (self.armed && self.armed->second == next) {
                self.map = *self.prepared;
                self.prepared.reset();
                self.armed.reset();
                m_record.line("rank " + std::to_string(rank) + " uses map " + std::to_string(self.map.version)
                              + " from pass " + std::to_string(next) + " on");
            }
            publish(rank);
        }
        const bool isSame =
            std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto &rank) { return rank.map == m_ranks[0].map; });
        if (!isSame && !m_isBroken) {
            m_isBroken = true;
            std::string maps;
            for (const auto &rank : m_ranks) {
                maps += " " + std::to_string(rank.map.version);
            }
            m_record.line("MAP: pass " + std::to_string(next) + " begins with the maps" + maps);
        }
    }

private:
    /** In each set four experts are liked, all of them at rank 0 by map 0. */
    static void addCounts(Rank &rank, double work)
    {
        for (int index = 0; index < Sets * Experts; ++index) {
            const int expert = index % Experts;
            rank.counts[index] += expert % Ranks == 0 && expert < 4 * Ranks ? work * 30 : work;
        }
    }

    int execute(int rank, const json &order)
    {
        constexpr int accepted = 202;
        constexpr int holds = 200;
        constexpr int refused = 409;
        auto &self = m_ranks[rank];
        const std::string operation = order.at("operation");
        if (order.value("epoch", 1) != 1) {
            return refused;
        }
        if (operation == "prepare") {
            const auto version = order.at("version").get<std::uint64_t>();
            const auto &layout = order.at("map");
            int copies = 0;
            bool isAllowed = version > self.highestVersion && !self.armed;
            for (int set = 0; set < Sets; ++set) {
                const auto &own = self.map.layout[set][rank];
                const auto added =
                    std::count_if(layout[set][rank].begin(), layout[set][rank].end(), [&](const auto &expert) {
                        return std::find(own.begin(), own.end(), expert) == own.end();
                    });
                isAllowed = isAllowed && added <= Spare && layout[set][rank].size() <= Places;
                copies += static_cast<int>(added);
            }
            if (!isAllowed) {
                return refused;
            }
            self.highestVersion = version;
            self.prepared = Map{.version = version, .layout = layout};
            self.preparedAt = elapsed() + copies * CopySeconds;
            return accepted;
        }
        if (operation == "arm") {
            const auto version = order.at("version").get<std::uint64_t>();
            const auto step = order.at("step").get<std::uint64_t>();
            if (self.armed == std::pair(version, step)) {
                return holds;
            }
            if (!self.prepared || self.prepared->version != version || elapsed() < self.preparedAt || step <= m_step) {
                return refused;
            }
            self.armed = {version, step};
            return accepted;
        }
        if (operation == "disarm") {
            const auto version = order.at("version").get<std::uint64_t>();
            if (self.map.version == version) {
                return refused;
            }
            const bool isArmed = self.armed && self.armed->first == version;
            if (isArmed) {
                self.armed.reset();
            }
            return isArmed ? accepted : holds;
        }
        const auto step = order.at("step").get<std::uint64_t>();
        if (operation == "hold") {
            if (self.held == step) {
                return holds;
            }
            if (step <= m_step || self.held) {
                return refused;
            }
            self.held = step;
            return accepted;
        }
        if (operation == "go") {
            const bool isHeld = self.held == step;
            if (isHeld) {
                self.held.reset();
            }
            return isHeld ? accepted : holds;
        }
        return 400;
    }

    void publish(int rank)
    {
        auto &self = m_ranks[rank];
        const bool isComplete = self.prepared && elapsed() >= self.preparedAt;
        json report{{"stage", "colocated"},
                    {"models", json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}})},
                    {"busy", false},
                    {"sequence", 0},
                    {"waiting", 0},
                    {"running", m_requests},
                    {"kvUsed", 0},
                    {"kvTotal", 372000},
                    {"handles", 0},
                    {"pace", 1.0},
                    {"size", Ranks},
                    {"group", {{"name", "g-1"}, {"epoch", 1}, {"rank", rank}, {"state", "open"}}},
                    {"step", m_step},
                    {"map", self.map.version},
                    {"prepared", isComplete ? json(self.prepared->version) : json()},
                    {"armed", self.armed ? json(self.armed->first) : json()},
                    {"held", self.held ? json(*self.held) : json()}};
        if (self.prepared && !isComplete) {
            // The copy completes before the next report can be read.
            report["prepared"] = self.prepared->version;
        }
        self.reports.emplace_back(self.reports.empty() ? 0 : elapsed() + ReportLag, report.dump());
    }

    Record &m_record;
    std::mutex m_mutex;
    std::vector<Rank> m_ranks;
    std::uint64_t m_step = 1000;
    int m_requests = 0;
    bool m_isBroken = false;
};

/** Which orders get no answer, and when the gateway is killed. */
struct Scenario
{
    enum class Phase {
        FirstSwitch, ///< until its hold
        LateHold, ///< until the recovery's release
        SecondSwitch, ///< until one of its ranks is armed
        Traffic,
    };

    std::mutex mutex{};
    Phase phase = Phase::FirstSwitch;
    bool isHoldLost = false;
    bool isReleaseLost = false;
    bool isRecovering = false;
    bool isArmLost = false;
    double holdLostAt = 0;
    double releaseLostAt = 0;
    std::uint64_t heldStep = 0;
    std::uint64_t secondHeldStep = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string root = argv[1];
    const std::string folder = argv[2];
    const bool hasTrouble = std::string(argv[3]) != "0";
    Record record(folder + "/record.txt");
    elapsed();
    limitRunTime(100);
    Store store;
    Group group(record);
    Scenario scenario;
    std::unique_ptr<Gateway> gateway;
    std::atomic<bool> isOver{false};
    std::atomic<bool> mustKill{false};

    const auto carryOutLate = [&](int rank, const json &order, double delay) {
        record.line("unanswered: rank " + std::to_string(rank) + " " + order.dump().substr(0, 60));
        std::thread([&, rank, order, delay] {
            sleepFor(delay);
            const int status = group.order(rank, order);
            record.line("carried out late: rank " + std::to_string(rank) + " " + order.at("operation").dump() + " "
                        + std::to_string(status));
        }).detach();
    };
    // Returns whether the order is left unanswered.
    const auto isLost = [&](int rank, const json &order) {
        if (!hasTrouble) {
            return false;
        }
        const std::lock_guard lock(scenario.mutex);
        const std::string operation = order.at("operation");
        if (scenario.phase == Scenario::Phase::FirstSwitch && operation == "hold" && rank == 0
            && !scenario.isHoldLost) {
            scenario.isHoldLost = true;
            scenario.holdLostAt = elapsed();
            scenario.heldStep = order.at("step");
            scenario.phase = Scenario::Phase::LateHold;
            carryOutLate(rank, order, ShortestLateness + 0.1);
            return true;
        }
        if (scenario.phase == Scenario::Phase::LateHold && operation == "go" && rank == 0 && scenario.isRecovering
            && !scenario.isReleaseLost) {
            scenario.isReleaseLost = true;
            scenario.releaseLostAt = elapsed();
            record.line("unanswered: rank 0 go, to be carried out late");
            return true;
        }
        if (scenario.phase == Scenario::Phase::SecondSwitch && operation == "arm" && rank == 1) {
            scenario.isArmLost = true;
            carryOutLate(rank, order, LongestLateness - 1);
            return true;
        }
        return false;
    };
    const auto afterOrder = [&](int rank, const json &order, int status) {
        if (!hasTrouble) {
            return;
        }
        const std::lock_guard lock(scenario.mutex);
        const std::string operation = order.at("operation");
        if (scenario.phase == Scenario::Phase::LateHold && operation == "hold" && rank == 1 && status < 300) {
            scenario.isRecovering = true; // a recovery is under way: its release is the next one
        }
        if (scenario.phase == Scenario::Phase::LateHold && operation == "go" && rank == 0 && scenario.isReleaseLost) {
            scenario.phase = Scenario::Phase::SecondSwitch;
            mustKill = true;
        }
        if (scenario.phase == Scenario::Phase::SecondSwitch && operation == "hold" && rank == 0 && status < 300) {
            scenario.secondHeldStep = order.at("step");
        }
    };

    std::vector<std::unique_ptr<Replica>> replicas;
    for (int rank = 0; rank < Ranks; ++rank) {
        replicas.push_back(std::make_unique<Replica>(
            "i-rank-" + std::to_string(rank), Service, 12,
            [&, rank](Connection &connection, const Message &request, const std::string &headers) {
                const auto path = request.word(1);
                if (path.starts_with("/api/report")) {
                    return connection.write(response(200, "Content-Type: application/json\r\n", group.report(rank)));
                }
                if (path.starts_with("/api/picked")) {
                    return connection.write(response(200, "Content-Type: application/json\r\n",
                                                     group.picked(rank, path.find("lists") != std::string::npos)));
                }
                if (path.starts_with("/api/order")) {
                    const auto order = json::parse(request.body);
                    if (isLost(rank, order)) {
                        while (connection.waitForInput(1) == false && !isOver) {
                        }
                        return false;
                    }
                    const int status = group.order(rank, order);
                    record.line("order: rank " + std::to_string(rank) + " " + order.at("operation").dump() + " "
                                + order.value("version", json()).dump() + " " + order.value("step", json()).dump()
                                + ": " + std::to_string(status));
                    afterOrder(rank, order, status);
                    return connection.write(response(status, "", ""));
                }
                record.line("rank " + std::to_string(rank) + " runs " + request.header("x-heatherridge-request-id"));
                group.setRequests(1);
                connection.write("HTTP/1.1 200 OK\r\n" + headers
                                 + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                auto last = group.step();
                bool isOpen = true;
                for (int event = 1; event <= 28 && isOpen && !isOver;) {
                    sleepFor(0.01);
                    if (const auto step = group.step(); step > last) {
                        last = step;
                        const auto text = "id: " + std::to_string(event++) + "\ndata: token\n\n";
                        char size[16];
                        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                        isOpen = connection.write(size + text + "\r\n");
                    }
                    isOpen = isOpen && !connection.isClosedByPeer();
                }
                group.setRequests(-1);
                return isOpen && connection.write("0\r\n\r\n");
            },
            "127.0.1." + std::to_string(rank + 1)));
    }
    auto config = json::parse(configuration());
    for (auto &service : config["services"]) {
        if (service["name"] == Service) {
            service["engine"] = {{"slots", 12},
                                 {"kvTokens", 372000},
                                 {"stride", 5},
                                 {"step_ms", 5.85},
                                 {"per_seq_ms", 0.355},
                                 {"read_per_s", 61200.0},
                                 {"report_lag_ms", 200.0},
                                 {"usual", {{"prompt", 835}, {"answer", 139}}},
                                 {"linkMbps", 92000.0},
                                 {"sets", Sets},
                                 {"experts", Experts},
                                 {"places", Places},
                                 {"spare", Spare},
                                 {"expertMb", 580.0},
                                 {"expertShare", 0.85},
                                 {"form_ms", 600.0}};
        }
    }
    store.put("keyed.op", "config", config.dump());
    std::thread beats([&] {
        while (!isOver) {
            for (const auto &replica : replicas) {
                replica->beat(store);
            }
            sleepFor(1.2);
        }
    });
    std::thread passes([&] {
        while (!isOver) {
            sleepFor(PassSeconds);
            group.tick();
        }
    });
    const int sidecarPort = freePort();
    std::vector<std::unique_ptr<Sidecar>> sidecars;
    for (int rank = 0; rank < Ranks; ++rank) {
        sidecars.push_back(std::make_unique<Sidecar>(root, folder, "side-etna-" + std::to_string(rank + 1),
                                                     "127.0.1." + std::to_string(rank + 1), sidecarPort,
                                                     replicas[rank]->address(), store.port()));
    }
    sleepFor(0.5);
    gateway = std::make_unique<Gateway>(root, folder, "front-etna-1", store.port(), sidecarPort);
    if (!gateway->waitUntilReady(10)) {
        record.line("the gateway does not become ready");
        Processes::killAll();
        std::_Exit(2);
    }
    const auto kill = [&](const char *why) {
        gateway->signal(SIGKILL);
        record.line(std::string("SIGKILL to the gateway, ") + why);
        sleepFor(RestartDelay);
        gateway->restart();
        record.line("the gateway starts again");
    };

    bool wasReached = false;
    if (hasTrouble) {
        const auto end = elapsed() + 40;
        while (elapsed() < end && !mustKill) {
            sleepFor(0.002);
        }
        if (mustKill) {
            kill("which has just given the order to go");
        }
        while (elapsed() < end && !(scenario.isArmLost && group.isArmed(0))) {
            sleepFor(0.002);
        }
        const auto lateness = elapsed() - scenario.releaseLostAt;
        if (scenario.isArmLost && lateness < LongestLateness && elapsed() - scenario.holdLostAt < LateSpell) {
            wasReached = true;
            gateway->signal(SIGKILL);
            record.line("SIGKILL to the gateway, which has just given orders to arm");
            sleepFor(std::max(0.05, ShortestLateness + 0.1 - lateness));
            const int status = group.order(0, json{{"operation", "go"}, {"step", scenario.heldStep}, {"epoch", 1}});
            record.line("carried out late: rank 0 go " + std::to_string(scenario.heldStep) + " "
                        + std::to_string(status) + "; the second switch holds "
                        + std::to_string(scenario.secondHeldStep));
            sleepFor(RestartDelay);
            gateway->restart();
        }
    } else {
        sleepFor(10);
        wasReached = true;
    }
    gateway->waitUntilReady(10);
    int answered = 0;
    std::vector<std::thread> clients;
    std::mutex mutex;
    for (int client = 0; client < 12; ++client) {
        clients.emplace_back([&, client] {
            const auto connection = Connection::open(gateway->port());
            const auto id = "tour-" + std::to_string(client);
            if (connection && connection->write(requestHead("/tour/2f", id, 8000, 2) + "{}")) {
                const auto answer = readMessage(*connection);
                record.line("client " + id + ": " + (answer ? answer->word(1) : "cut"));
                const std::lock_guard lock(mutex);
                answered += answer && answer->word(1) == "200" ? 1 : 0;
            }
        });
        sleepFor(0.1);
    }
    for (auto &client : clients) {
        client.join();
    }
    const bool isBroken = group.isBroken();
    record.line(std::string("maps ") + (isBroken ? "differed" : "were the same")
                + " in each pass; streams answered: " + std::to_string(answered));
    isOver = true;
    Processes::killAll();
    std::_Exit(isBroken ? 1 : wasReached && answered > 0 ? 0 : 2);
}
