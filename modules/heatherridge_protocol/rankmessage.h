#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/groups/rankvalues.h"

#include <string>
#include <string_view>

namespace Heatherridge
{

/** An order sent to the sidecar process of a rank. */
struct RankOrderMessage
{
    TargetName target{}; ///< the addressed run of the engine; the order must not reach any other run
    std::uint64_t epoch = 0; ///< epoch of the group; the order is valid only in this epoch
    RankOrder order{};
};

/** Encodes a message between a group keeper and the sidecar process of a rank as CBOR. */
std::string encode(const RankStatus &status);
std::string encode(const RankExperts &experts);
std::string encode(const RankOrderMessage &message);
std::string encode(OrderReply reply);

/** Decodes a message. Invalid input yields MalformedFrame. */
Result<RankStatus> decodeRankStatus(std::string_view bytes);
Result<RankExperts> decodeRankExperts(std::string_view bytes);
Result<RankOrderMessage> decodeRankOrder(std::string_view bytes);
Result<OrderReply> decodeOrderReply(std::string_view bytes);

} // namespace Heatherridge
