#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/keys/keyrecord.h"

#include <nlohmann/json_fwd.hpp>

namespace Heatherridge
{

/** Most records in one batch; a batch with more is refused by every reader. */
inline constexpr std::size_t MaxKeyRecords = 256;

/** @p batch as a record of a key stream. It must hold at most MaxKeyRecords. */
Bytes encode(const KeyBatch &batch);

/** Reads a record of a key stream. Damaged or hostile input yields MalformedFrame, never an exception. */
Result<KeyBatch> decodeKeyBatch(const Bytes &payload);

class CborReader;

/** The parts that messages between gates share with the records; each reads from, or writes to, one CBOR map. */
namespace KeyCodec
{

nlohmann::json toJson(const GateId &gate);
nlohmann::json toJson(const ClaimId &claim);
nlohmann::json toJson(WallTime time);
nlohmann::json toJson(const LoggedClaim &claim);
nlohmann::json toJson(const KeyRecord &record);

/** Reads a gate from @p map; marks @p reader as failed when it can't. */
GateId readGate(CborReader &reader, std::string_view key);

/** Reads the name of a claim. */
ClaimId readClaimId(CborReader &reader, std::string_view key);

/** Reads a claim with its place in the log. */
LoggedClaim readLoggedClaim(CborReader &reader, std::string_view key);

/** Reads a point of calendar time in milliseconds. */
WallTime readTime(CborReader &reader, std::string_view key);

/** Reads the array of records at @p key, at most @p most of them. */
std::vector<KeyRecord> readRecords(CborReader &reader, std::string_view key, std::size_t maxCount);

} // namespace KeyCodec

} // namespace Heatherridge
