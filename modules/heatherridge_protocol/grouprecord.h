#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupepoch.h"

#include <nlohmann/json_fwd.hpp>

namespace Heatherridge
{

/** The record of an epoch on the stream `group-<group>`. */
Bytes encodeRecord(const GroupEpoch &epoch);

/** Reads a record. Hostile input yields MalformedFrame. */
Result<GroupEpoch> decodeEpochRecord(const Bytes &record);

/** The CBOR map of @p map: its number, and each layer's slots packed into one byte string. */
nlohmann::json toJson(const ExpertMap &map);

/** Reads what toJson() wrote and checks all but the ranks' memory, which the sender has checked. */
Result<ExpertMap> expertMapFrom(const nlohmann::json &json);

/** The CBOR map of @p epoch. */
nlohmann::json toJson(const GroupEpoch &epoch);

/** Reads what toJson() wrote. */
Result<GroupEpoch> groupEpochFrom(const nlohmann::json &json);

} // namespace Heatherridge
