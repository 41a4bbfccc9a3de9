// Measures what the exchange of demand costs a gateway and the exchange point of a zone, by number of gateways and
// workspaces: real exchanges, tables and codecs, an in-memory link, virtual time. Bytes are those of message bodies,
// without HTTP and TCP headers.

#include "heatherridge_coordination/demand/demandexchange.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/demand/demandtable.h"

#include <algorithm>
#include <cstdio>
#include <memory>

using namespace Heatherridge;

namespace
{

using std::chrono::milliseconds;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr int RankCount = 3;
constexpr milliseconds TimeStep{20};
constexpr milliseconds SettlingTime{10'000};
constexpr milliseconds MeasuredSpan{10'000};

/** Parameters of one run. */
struct Setting
{
    int gateways = 0;
    int zones = 0;
    int workspaces = 0;
};

/** Number of calls of one kind, their bytes and the time that they took. */
struct Cost
{
    void add(std::size_t callBytes, Microseconds callTime)
    {
        ++calls;
        bytes += callBytes;
        time += callTime;
    }

    double bytesPerCall() const
    {
        return calls == 0 ? 0 : static_cast<double>(bytes) / static_cast<double>(calls);
    }

    double timePerCall() const
    {
        return calls == 0 ? 0 : time.count() / static_cast<double>(calls);
    }

    std::size_t calls = 0;
    std::size_t bytes = 0;
    Microseconds time{0};
};

struct Costs
{
    Cost statement{}; ///< of the gateway: encoding its request
    Cost query{};
    Cost table{}; ///< of the exchange point: decoding a request and updating the table
    Cost statementAnswer{}; ///< of the exchange point: adding up and encoding
    Cost queryAnswer{};
    Cost merge{}; ///< of the gateway: decoding an answer and adding up the zones
};

/** Returns what @p action returns, and adds the time that it took to @p time. */
template<typename Action>
auto measured(Microseconds &time, Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    auto result = action();
    time += std::chrono::steady_clock::now() - begin;
    return result;
}

/** Delivers messages to one table per target at once, as encoded bytes. */
class MeasuringLink final : public DemandLink
{
public:
    void send(const TargetEntry &target, const DemandRequest &request,
              std::function<void(Result<DemandResponse>)> done) override
    {
        auto &table = m_tables.try_emplace(target.id, target.zone).first->second;
        Microseconds encoding{0};
        const auto body = measured(encoding, [&] { return encode(request); });
        (request.statement ? costs.statement : costs.query).add(body.size(), encoding);

        Microseconds updating{0};
        measured(updating, [&] { return update(table, body); });
        costs.table.add(body.size(), updating);

        Microseconds answering{0};
        const auto answer = measured(answering, [&] {
            return request.statement
                ? encode(DemandResponse{.ownZone = table.ownZone(request.statement->gateway, MaxDemandWorkspaces, now),
                                        .otherZones = table.otherZones(now)})
                : encode(DemandResponse{.ownZone = table.ownZone({}, MaxRelayedWorkspaces, now)});
        });
        (request.statement ? costs.statementAnswer : costs.queryAnswer).add(answer.size(), answering);

        Microseconds merging{0};
        measured(merging, [&] {
            done(decodeDemandResponse(answer));
            return true;
        });
        costs.merge.add(answer.size(), merging);
    }

    SteadyTime now{};
    Costs costs{};

private:
    bool update(DemandTable &table, const std::string &body)
    {
        const auto decoded = decodeDemandRequest(body);
        const auto &request = std::get<DemandRequest>(decoded);
        for (const auto &zone : request.zones) {
            table.applyZone(zone, now);
        }
        if (request.statement) {
            table.applyStatement(*request.statement, request.lifetime, now);
        }
        return true;
    }

    std::map<TargetName, DemandTable> m_tables;
};

/** Returns the demand of one gateway: RankCount ranks, and its busiest workspaces. */
std::vector<ServiceDemand> makeDemand(int workspaces, RandomSource &random)
{
    ServiceDemand demand{.service = ServiceName("assistant")};
    for (int rank = 0; rank < RankCount; ++rank) {
        demand.ranks[rank] = {.arrivalsPerSecond = 20 * random.fraction(),
                              .waiting = static_cast<double>(random.below(30)),
                              .inProgress = static_cast<double>(random.below(80))};
    }
    const auto first = random.below(static_cast<std::uint64_t>(workspaces));
    const auto count = std::min<std::uint64_t>(MaxDemandWorkspaces, static_cast<std::uint64_t>(workspaces));
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto number = (first + index) % static_cast<std::uint64_t>(workspaces);
        demand.workspaces.push_back({.workspace = WorkspaceName("workspace-" + std::to_string(number)),
                                     .arrivalsPerSecond = 4 * random.fraction(),
                                     .inFlight = static_cast<double>(random.below(20))});
    }
    return {demand};
}

std::vector<TargetEntry> makeTargets(int zones)
{
    constexpr int targetsPerZone = 8;
    std::vector<TargetEntry> targets;
    targets.reserve(static_cast<std::size_t>(zones) * targetsPerZone);
    for (int index = 0; index < zones * targetsPerZone; ++index) {
        targets.push_back({.id = TargetName("engine-" + std::to_string(index)),
                           .service = ServiceName("assistant"),
                           .zone = ZoneName("zone-" + std::to_string(index % zones))});
    }
    return targets;
}

/** Runs one setting and prints its row. */
void measure(const Setting &setting)
{
    MeasuringLink link;
    SeededRandom random(7);
    const auto targets = makeTargets(setting.zones);
    std::vector<std::unique_ptr<DemandExchange>> exchanges;
    exchanges.reserve(static_cast<std::size_t>(setting.gateways));
    for (int index = 0; index < setting.gateways; ++index) {
        exchanges.push_back(std::make_unique<DemandExchange>(
            link,
            DemandExchange::Options{.gateway = ProcessName("gateway-" + std::to_string(index)),
                                    .zone = ZoneName("zone-" + std::to_string(index % setting.zones)),
                                    .size = {.processorShare = index % 3 == 0 ? 0.5 : 0.13},
                                    .run = random.draw()},
            DemandExchange::Events{.changed = [](const FleetDemand &) {}}));
        exchanges.back()->setTargets(targets);
        exchanges.back()->setDifferentiated(true);
        exchanges.back()->setOwnDemand(makeDemand(setting.workspaces, random));
    }
    link.now = SteadyTime{} + std::chrono::hours(1);
    const auto run = [&](milliseconds span) {
        for (const auto end = link.now + span; link.now < end; link.now += TimeStep) {
            for (const auto &exchange : exchanges) {
                exchange->tick(link.now);
            }
        }
    };
    run(SettlingTime);
    link.costs = {};
    run(MeasuredSpan);

    const auto &costs = link.costs;
    const auto seconds = std::chrono::duration<double>(MeasuredSpan).count();
    const auto gatewayBytes =
        costs.statement.bytes + costs.query.bytes + costs.statementAnswer.bytes + costs.queryAnswer.bytes;
    const auto gatewayTime = costs.statement.time + costs.query.time + costs.merge.time;
    const auto pointTime = costs.table.time + costs.statementAnswer.time + costs.queryAnswer.time;
    const auto status = exchanges.front()->status(link.now);
    std::printf("%8d %5d %10d %6lld %5d %6lld %9.0f %9.0f %6.0f %8.0f %7.1f %7.1f %7.1f %7.1f %8.0f %9.3f%% %8.3f%%\n",
                setting.gateways, setting.zones, setting.workspaces, static_cast<long long>(status.period.count()),
                status.gateways, static_cast<long long>(status.age.count()), costs.statement.bytesPerCall(),
                costs.statementAnswer.bytesPerCall(), costs.query.bytesPerCall(), costs.queryAnswer.bytesPerCall(),
                costs.statement.timePerCall(), costs.table.timePerCall(), costs.statementAnswer.timePerCall(),
                costs.merge.timePerCall(), static_cast<double>(gatewayBytes) / seconds / setting.gateways,
                gatewayTime.count() / seconds / setting.gateways / 1e4,
                pointTime.count() / seconds / setting.zones / 1e4);
}

} // namespace

int main()
{
    std::printf(
        "gateways zones workspaces period known  age-ms statement    answer  query q-answer     us-enc us-table  "
        "us-sum us-merge bytes/s  gateway-cpu point-cpu\n");
    for (const auto workspaces : {24, 450}) {
        for (const auto &[gateways, zones] : {std::pair(6, 3), std::pair(18, 3), std::pair(99, 3), std::pair(500, 7)}) {
            measure({.gateways = gateways, .zones = zones, .workspaces = workspaces});
        }
    }
    return 0;
}
