#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/groups/rankvalues.h"

#include <string>
#include <string_view>

namespace Heatherridge
{

/** An order on its way to the process beside a rank. */
struct RankOrderMessage
{
    TargetName target{}; ///< the run of the engine that is meant; any other must not get it
    std::uint64_t epoch = 0; ///< of the group, in which alone the order holds
    RankOrder order{};
};

/** The CBOR of each message between a keeper of groups and the process beside a rank. */
std::string encode(const RankStatus &status);
std::string encode(const RankExperts &experts);
std::string encode(const RankOrderMessage &message);
std::string encode(OrderReply reply);

/** Reads a message. Anything else yields MalformedFrame. */
Result<RankStatus> decodeRankStatus(std::string_view bytes);
Result<RankExperts> decodeRankExperts(std::string_view bytes);
Result<RankOrderMessage> decodeRankOrder(std::string_view bytes);
Result<OrderReply> decodeOrderReply(std::string_view bytes);

} // namespace Heatherridge
