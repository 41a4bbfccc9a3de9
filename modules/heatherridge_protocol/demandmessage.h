#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/demand/fleetdemand.h"

#include <optional>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** Format number of the messages below, their first element. Messages with another one are rejected. */
constexpr int DemandFormat = 1;
/** Maximum lifetime of a statement. */
constexpr std::chrono::milliseconds MaxStatementLifetime{60'000};
/** Maximum age of a statement or sum in a message; larger ages have no use and are rejected. */
constexpr std::chrono::milliseconds MaxDemandAge{600'000};
constexpr std::size_t MaxDemandZones = 32;
/** Maximum length of each name in bytes. */
constexpr std::size_t MaxDemandNameBytes = 255;

/** Sent by a gateway to the exchange point of a zone. */
struct DemandRequest
{
    std::optional<GatewayStatement> statement{}; ///< not set if the gateway only asks
    std::chrono::milliseconds lifetime{1'500}; ///< of the statement, unless another one follows
    std::vector<ZoneDemand> zones{}; ///< sums of other zones that the gateway knows of

    bool operator==(const DemandRequest &) const = default;
};

/** The exchange point's answer. */
struct DemandResponse
{
    ZoneDemand ownZone{}; ///< of the exchange point, without the asking gateway
    std::vector<ZoneDemand> otherZones{};

    bool operator==(const DemandResponse &) const = default;
};

/** Encodes a message as CBOR. Rates and counts that are not whole are rounded to single precision. */
std::string encode(const DemandRequest &request);
std::string encode(const DemandResponse &response);

/** Decodes a message. A message with any value outside the limits of fleetdemand.h and of this file yields
 * MalformedFrame. */
Result<DemandRequest> decodeDemandRequest(std::string_view bytes);
Result<DemandResponse> decodeDemandResponse(std::string_view bytes);

} // namespace Heatherridge
