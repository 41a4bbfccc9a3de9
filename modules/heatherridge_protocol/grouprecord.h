#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupclaim.h"
#include "heatherridge_state/groups/groupepoch.h"

#include <nlohmann/json_fwd.hpp>

namespace Heatherridge
{

/** All records on the stream `group-<group>`. */
using GroupRecord = std::variant<GroupClaim, GroupEpoch>;

/** The payload of @p record. */
Bytes encodeGroupRecord(const GroupRecord &record);

/** Reads a payload. Hostile input yields MalformedFrame. */
Result<GroupRecord> decodeGroupRecord(const Bytes &payload);

/** The CBOR map of @p map: its number, and each layer's slots packed into one byte string. */
nlohmann::json toJson(const ExpertMap &map);

/** Reads what toJson() wrote and checks all but the ranks' memory, which the sender has checked. */
Result<ExpertMap> expertMapFrom(const nlohmann::json &json);

/** The CBOR map of @p epoch. */
nlohmann::json toJson(const GroupEpoch &epoch);

/** Reads what toJson() wrote. */
Result<GroupEpoch> groupEpochFrom(const nlohmann::json &json);

} // namespace Heatherridge
