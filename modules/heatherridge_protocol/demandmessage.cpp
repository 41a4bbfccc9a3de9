#include "heatherridge_protocol/demandmessage.h"

#include "heatherridge_protocol/cborvalue.h"

#include <cmath>
#include <limits>
#include <set>

namespace Heatherridge
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/** Error id that the JSON library's exceptions require; not evaluated here. */
constexpr int DemandLimitError = 601;

/** Rejects the message unless @p isWithin. */
void require(bool isWithin, const char *what)
{
    if (!isWithin) {
        throw json::other_error::create(DemandLimitError, what, nullptr);
    }
}

/** Returns @p value as a whole number if it is one, otherwise in single precision: 1 to 5 bytes instead of 9. */
json number(double value)
{
    if (value >= 0 && value <= MaxDemandValue && value == std::floor(value)) {
        return static_cast<std::uint64_t>(value);
    }
    return static_cast<double>(static_cast<float>(value));
}

double demandValue(const json &value)
{
    const auto read = value.get<double>();
    require(value.is_number() && std::isfinite(read) && read >= 0 && read <= MaxDemandValue, "value out of range");
    return read;
}

/** Returns @p value as an unsigned integer of at most @p maximum. */
std::uint64_t wholeNumber(const json &value, std::uint64_t maximum)
{
    require(value.is_number_unsigned(), "not an unsigned integer");
    const auto read = value.get<std::uint64_t>();
    require(read <= maximum, "integer out of range");
    return read;
}

milliseconds duration(const json &value, milliseconds maximum)
{
    return milliseconds(wholeNumber(value, static_cast<std::uint64_t>(maximum.count())));
}

std::string nameText(const json &value, bool mayBeEmpty)
{
    auto text = value.get<std::string>();
    require(text.size() <= MaxDemandNameBytes && (mayBeEmpty || !text.empty()), "name of invalid length");
    return text;
}

const json &arrayOf(const json &value, std::size_t maximum, const char *what)
{
    require(value.is_array() && value.size() <= maximum, what);
    return value;
}

/** Returns @p value as an array of exactly @p count fields: a change of the fields needs a new format number. */
const json &fieldsOf(const json &value, std::size_t count)
{
    require(value.is_array() && value.size() == count, "wrong number of fields");
    return value;
}

json encodeServices(const std::vector<ServiceDemand> &services)
{
    auto encoded = json::array();
    for (const auto &service : services) {
        auto ranks = json::array();
        for (const auto &[priority, rank] : service.ranks) {
            ranks.push_back(
                json::array({priority, number(rank.arrivalsPerSecond), number(rank.waiting), number(rank.inProgress)}));
        }
        auto workspaces = json::array();
        for (const auto &workspace : service.workspaces) {
            workspaces.push_back(json::array(
                {workspace.workspace.text(), number(workspace.arrivalsPerSecond), number(workspace.inFlight)}));
        }
        encoded.push_back(json::array({service.service.text(), std::move(ranks), std::move(workspaces)}));
    }
    return encoded;
}

std::map<int, RankDemand> decodeRanks(const json &value)
{
    std::map<int, RankDemand> ranks;
    for (const auto &entry : arrayOf(value, MaxDemandRanks, "too many ranks")) {
        const auto &fields = fieldsOf(entry, 4);
        const auto priority = static_cast<int>(wholeNumber(fields[0], std::numeric_limits<int>::max()));
        const bool isNew = ranks
                               .emplace(priority,
                                        RankDemand{.arrivalsPerSecond = demandValue(fields[1]),
                                                   .waiting = demandValue(fields[2]),
                                                   .inProgress = demandValue(fields[3])})
                               .second;
        require(isNew, "rank given twice");
    }
    return ranks;
}

std::vector<WorkspaceDemand> decodeWorkspaces(const json &value)
{
    std::vector<WorkspaceDemand> workspaces;
    std::set<WorkspaceName> names;
    for (const auto &entry : arrayOf(value, MaxDemandWorkspaces, "too many workspaces")) {
        const auto &fields = fieldsOf(entry, 3);
        // Callers without an API key have the null workspace.
        workspaces.push_back({.workspace = WorkspaceName(nameText(fields[0], true)),
                              .arrivalsPerSecond = demandValue(fields[1]),
                              .inFlight = demandValue(fields[2])});
        require(names.insert(workspaces.back().workspace).second, "workspace given twice");
    }
    return workspaces;
}

std::vector<ServiceDemand> decodeServices(const json &value)
{
    std::vector<ServiceDemand> services;
    std::set<ServiceName> names;
    for (const auto &entry : arrayOf(value, MaxDemandServices, "too many services")) {
        const auto &fields = fieldsOf(entry, 3);
        services.push_back({.service = ServiceName(nameText(fields[0], false)),
                            .ranks = decodeRanks(fields[1]),
                            .workspaces = decodeWorkspaces(fields[2])});
        require(names.insert(services.back().service).second, "service given twice");
    }
    return services;
}

json encodeZone(const ZoneDemand &zone)
{
    return json::array({zone.zone.text(), zone.gateways, zone.age.count(), zone.summedAgo.count(),
                        encodeServices(zone.services), number(zone.smallestProcessorShare),
                        number(zone.largestProcessorShare)});
}

ZoneDemand decodeZone(const json &value)
{
    const auto &fields = fieldsOf(value, 7);
    ZoneDemand zone{.zone = ZoneName(nameText(fields[0], false)),
                    .gateways = static_cast<int>(wholeNumber(fields[1], static_cast<std::uint64_t>(MaxDemandValue))),
                    .age = duration(fields[2], MaxDemandAge),
                    .summedAgo = duration(fields[3], MaxDemandAge),
                    .services = decodeServices(fields[4]),
                    .smallestProcessorShare = demandValue(fields[5]),
                    .largestProcessorShare = demandValue(fields[6])};
    require(zone.smallestProcessorShare <= zone.largestProcessorShare, "sizes in the wrong order");
    return zone;
}

json encodeZones(const std::vector<ZoneDemand> &zones)
{
    auto encoded = json::array();
    for (const auto &zone : zones) {
        encoded.push_back(encodeZone(zone));
    }
    return encoded;
}

std::vector<ZoneDemand> decodeZones(const json &value)
{
    std::vector<ZoneDemand> zones;
    std::set<ZoneName> names;
    for (const auto &entry : arrayOf(value, MaxDemandZones, "too many zones")) {
        zones.push_back(decodeZone(entry));
        require(names.insert(zones.back().zone).second, "zone given twice");
    }
    return zones;
}

json encodeStatement(const GatewayStatement &statement)
{
    return json::array({statement.gateway.text(), statement.run, statement.sequence, statement.zone.text(),
                        number(statement.size.processorShare), encodeServices(statement.services),
                        statement.isLeaving});
}

GatewayStatement decodeStatement(const json &value)
{
    const auto &fields = fieldsOf(value, 7);
    constexpr auto anyNumber = std::numeric_limits<std::uint64_t>::max();
    return {.gateway = ProcessName(nameText(fields[0], false)),
            .run = wholeNumber(fields[1], anyNumber),
            .sequence = wholeNumber(fields[2], anyNumber),
            .zone = ZoneName(nameText(fields[3], true)),
            .size = {.processorShare = demandValue(fields[4])},
            .services = decodeServices(fields[5]),
            .isLeaving = fields[6].get<bool>()};
}

/** Returns the fields after the format number. */
const json &checkedFormat(const json &message, std::size_t count)
{
    require(message.is_array() && !message.empty() && message[0].is_number_unsigned()
                && message[0].get<std::uint64_t>() == static_cast<std::uint64_t>(DemandFormat),
            "unknown format");
    return fieldsOf(message, count);
}

} // namespace

std::string encode(const DemandRequest &request)
{
    return encodeCbor(json::array({DemandFormat, request.statement ? encodeStatement(*request.statement) : json(),
                                   request.lifetime.count(), encodeZones(request.zones)}));
}

std::string encode(const DemandResponse &response)
{
    return encodeCbor(json::array({DemandFormat, encodeZone(response.ownZone), encodeZones(response.otherZones)}));
}

Result<DemandRequest> decodeDemandRequest(std::string_view bytes)
{
    return decodeCbor(bytes, [](const json &message) {
        const auto &fields = checkedFormat(message, 4);
        DemandRequest request{.lifetime = duration(fields[2], MaxStatementLifetime), .zones = decodeZones(fields[3])};
        if (!fields[1].is_null()) {
            request.statement = decodeStatement(fields[1]);
        }
        return request;
    });
}

Result<DemandResponse> decodeDemandResponse(std::string_view bytes)
{
    return decodeCbor(bytes, [](const json &message) {
        const auto &fields = checkedFormat(message, 3);
        return DemandResponse{.ownZone = decodeZone(fields[1]), .otherZones = decodeZones(fields[2])};
    });
}

} // namespace Heatherridge
