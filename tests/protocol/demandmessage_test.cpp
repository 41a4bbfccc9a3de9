#include "heatherridge_protocol/cborvalue.h"
#include "heatherridge_protocol/demandmessage.h"
#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace Heatherridge;

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

ServiceDemand demandOf(const char *service, std::size_t workspaces)
{
    ServiceDemand demand{.service = ServiceName(service),
                         .ranks = {{0, {.arrivalsPerSecond = 12.5, .waiting = 3, .inProgress = 40}},
                                   {2, {.arrivalsPerSecond = 0.25, .inProgress = 1}}}};
    for (std::size_t index = 0; index < workspaces; ++index) {
        demand.workspaces.push_back(
            {.workspace = WorkspaceName("w" + std::to_string(index)), .arrivalsPerSecond = 0.5, .inFlight = 2});
    }
    return demand;
}

ZoneDemand zoneOf(const char *name)
{
    return {.zone = ZoneName(name),
            .gateways = 6,
            .age = milliseconds(210),
            .summedAgo = milliseconds(35),
            .services = {demandOf("s", MaxRelayedWorkspaces)},
            .smallestProcessorShare = 0.125,
            .largestProcessorShare = 0.5};
}

GatewayStatement statementOf(std::vector<ServiceDemand> services)
{
    return {.gateway = ProcessName("g1"),
            .run = std::numeric_limits<std::uint64_t>::max(),
            .sequence = 7,
            .zone = ZoneName("a"),
            .size = {.processorShare = 0.5},
            .services = std::move(services)};
}

struct RequestRow
{
    const char *story;
    DemandRequest request;
};

const RequestRow RequestRows[] = {
    {"only asks", {}},
    {"states no demand", {.statement = statementOf({}), .lifetime = milliseconds(6'000)}},
    {"leaves", {.statement = GatewayStatement{.gateway = ProcessName("g1"), .isLeaving = true}}},
    {"states the demand for two services and passes a sum on",
     {.statement = statementOf({demandOf("s", MaxDemandWorkspaces), demandOf("t", 0)}), .zones = {zoneOf("b")}}},
    {"callers without a workspace",
     {.statement = statementOf({{.service = ServiceName("s"), .workspaces = {{.arrivalsPerSecond = 1}}}})}},
    {"largest values",
     {.statement = statementOf({{.service = ServiceName("s"),
                                 .ranks = {{0,
                                            {.arrivalsPerSecond = MaxDemandValue,
                                             .waiting = MaxDemandValue,
                                             .inProgress = MaxDemandValue}}}}})}},
};

class DemandRequests : public testing::TestWithParam<RequestRow>
{
};

TEST_P(DemandRequests, AreTheSameAfterDecoding)
{
    const auto &row = GetParam();
    const auto decoded = decodeDemandRequest(encode(row.request));
    ASSERT_EQ(errorIn(decoded), nullptr) << row.story << ": " << errorIn(decoded)->detail;
    EXPECT_EQ(std::get<DemandRequest>(decoded), row.request) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, DemandRequests, testing::ValuesIn(RequestRows));

TEST(DemandResponses, AreTheSameAfterDecoding)
{
    const DemandResponse response{.ownZone = zoneOf("a"), .otherZones = {zoneOf("b"), zoneOf("c")}};
    const auto decoded = decodeDemandResponse(encode(response));
    ASSERT_EQ(errorIn(decoded), nullptr);
    EXPECT_EQ(std::get<DemandResponse>(decoded), response);
}

struct MalformedRow
{
    const char *story;
    /** Changes the fields of a valid request. */
    std::function<void(json &)> damage;
};

json &statement(json &request)
{
    return request[1];
}

json &firstService(json &request)
{
    return statement(request)[5][0];
}

json &firstRank(json &request)
{
    return firstService(request)[1][0];
}

/** Returns @p count copies of @p entry, with different numbers or names as their first field. */
json repeated(json entry, std::size_t count)
{
    auto all = json::array();
    for (std::size_t index = 0; index < count; ++index) {
        if (entry[0].is_string()) {
            entry[0] = "n" + std::to_string(index);
        } else {
            entry[0] = index;
        }
        all.push_back(entry);
    }
    return all;
}

// Guards against one gateway with invalid values that makes all others decide wrongly: such a message has to be
// rejected as a whole, not clamped.
const MalformedRow MalformedRows[] = {
    {"a later format", [](json &request) { request[0] = 2; }},
    {"no format number", [](json &request) { request[0] = "1"; }},
    {"a further field", [](json &request) { request.push_back(0); }},
    {"a missing field", [](json &request) { request.erase(3); }},
    {"not an array", [](json &request) { request = json::object(); }},
    {"an empty array", [](json &request) { request = json::array(); }},
    {"a negative rate", [](json &request) { firstRank(request)[1] = -1; }},
    {"a small negative rate", [](json &request) { firstRank(request)[1] = -0.5; }},
    {"a rate above the limit", [](json &request) { firstRank(request)[1] = 1'000'001; }},
    {"a count above the limit", [](json &request) { firstRank(request)[2] = 1e7; }},
    {"a rate that is not a number",
     [](json &request) { firstRank(request)[1] = std::numeric_limits<double>::quiet_NaN(); }},
    {"an infinite rate", [](json &request) { firstRank(request)[1] = std::numeric_limits<double>::infinity(); }},
    {"a rate as text", [](json &request) { firstRank(request)[1] = "1"; }},
    {"a rate as a truth value", [](json &request) { firstRank(request)[1] = true; }},
    {"a negative priority", [](json &request) { firstRank(request)[0] = -1; }},
    {"a priority beyond the range", [](json &request) { firstRank(request)[0] = std::uint64_t{1} << 31U; }},
    {"a rank given twice", [](json &request) { firstService(request)[1].push_back(firstRank(request)); }},
    {"too many ranks",
     [](json &request) { firstService(request)[1] = repeated(firstRank(request), MaxDemandRanks + 1); }},
    {"too many workspaces",
     [](json &request) { firstService(request)[2] = repeated(firstService(request)[2][0], MaxDemandWorkspaces + 1); }},
    {"a workspace given twice", [](json &request) { firstService(request)[2].push_back(firstService(request)[2][0]); }},
    {"too many services",
     [](json &request) { statement(request)[5] = repeated(firstService(request), MaxDemandServices + 1); }},
    {"a service given twice", [](json &request) { statement(request)[5].push_back(firstService(request)); }},
    {"a service without a name", [](json &request) { firstService(request)[0] = ""; }},
    {"a gateway without a name", [](json &request) { statement(request)[0] = ""; }},
    {"a long name", [](json &request) { statement(request)[0] = std::string(MaxDemandNameBytes + 1, 'x'); }},
    {"a negative sequence number", [](json &request) { statement(request)[2] = -1; }},
    {"a size above the limit", [](json &request) { statement(request)[4] = 1e9; }},
    {"leaving as a number", [](json &request) { statement(request)[6] = 1; }},
    {"a lifetime beyond the limit", [](json &request) { request[2] = 60'001; }},
    {"too many zones", [](json &request) { request[3] = repeated(request[3][0], MaxDemandZones + 1); }},
    {"a zone given twice", [](json &request) { request[3].push_back(request[3][0]); }},
    {"a negative number of gateways", [](json &request) { request[3][0][1] = -1; }},
    {"an age beyond the limit", [](json &request) { request[3][0][2] = 600'001; }},
    {"a negative age", [](json &request) { request[3][0][3] = -1; }},
    {"a smallest size above the largest", [](json &request) { request[3][0][5] = 2; }},
};

class MalformedDemand : public testing::TestWithParam<MalformedRow>
{
};

TEST_P(MalformedDemand, IsRejected)
{
    auto message =
        json::from_cbor(encode(DemandRequest{.statement = statementOf({demandOf("s", 2)}), .zones = {zoneOf("b")}}));
    ASSERT_EQ(errorIn(decodeDemandRequest(encodeCbor(message))), nullptr);
    GetParam().damage(message);
    const auto decoded = decodeDemandRequest(encodeCbor(message));
    ASSERT_NE(errorIn(decoded), nullptr) << GetParam().story;
    EXPECT_EQ(errorIn(decoded)->kind, ErrorKind::MalformedFrame) << GetParam().story;
}

INSTANTIATE_TEST_SUITE_P(All, MalformedDemand, testing::ValuesIn(MalformedRows));

// Guards against a message that exhausts the stack of the sidecar, which decodes it recursively.
TEST(MalformedDemand, OfDeepNestingIsRejected)
{
    const std::string nested(1U << 20U, '\x81');
    EXPECT_NE(errorIn(decodeDemandRequest(nested)), nullptr);
    EXPECT_NE(errorIn(decodeDemandResponse(nested)), nullptr);
}

RC_GTEST_PROP(DemandRequests, WithDamagedBytesAreDecodedOrRejected, (std::uint32_t seed))
{
    SeededRandom random(seed);
    auto bytes = encode(DemandRequest{.statement = statementOf({demandOf("s", 3)}), .zones = {zoneOf("b")}});
    bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    bytes.resize(bytes.size() - random.below(2));
    const auto decoded = decodeDemandRequest(bytes);
    const bool isDecodedOrRejected = errorIn(decoded) == nullptr || errorIn(decoded)->kind == ErrorKind::MalformedFrame;
    RC_ASSERT(isDecodedOrRejected);
}

} // namespace
