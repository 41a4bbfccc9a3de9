#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupclaim.h"
#include "heatherridge_state/groups/groupepoch.h"

#include <nlohmann/json_fwd.hpp>

namespace Heatherridge
{

/** All records on the stream `group-<group>`. */
using GroupRecord = std::variant<GroupClaim, GroupEpoch>;

/** Encodes @p record as the payload of a record. */
Bytes encodeGroupRecord(const GroupRecord &record);

/** Decodes a payload. Invalid or hostile input yields MalformedFrame. */
Result<GroupRecord> decodeGroupRecord(const Bytes &payload);

/** Returns the CBOR map for @p map: its number, and one byte string per layer that holds the packed slots. */
nlohmann::json toJson(const ExpertMap &map);

/** Reads the output of toJson() and validates everything except the ranks' memory limits, which the sender has checked.
 */
Result<ExpertMap> expertMapFrom(const nlohmann::json &json);

/** Returns the CBOR map for @p epoch. */
nlohmann::json toJson(const GroupEpoch &epoch);

/** Reads the output of toJson(). */
Result<GroupEpoch> groupEpochFrom(const nlohmann::json &json);

} // namespace Heatherridge
