#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/keys/keyrecord.h"

#include <nlohmann/json_fwd.hpp>

namespace Heatherridge
{

/** Maximum number of records in a batch; readers reject larger ones. */
inline constexpr std::size_t MaxKeyRecords = 256;

/** Encodes @p batch as a record of a key stream. It must contain at most MaxKeyRecords records. */
Bytes encode(const KeyBatch &batch);

/** Decodes a record of a key stream. Damaged or hostile input yields MalformedFrame, never an exception. */
Result<KeyBatch> decodeKeyBatch(const Bytes &payload);

class CborReader;

/** Field codecs shared by key records and messages between gates. Each reads from or writes to one CBOR map. */
namespace KeyCodec
{

nlohmann::json toJson(const GateId &gate);
nlohmann::json toJson(const ClaimId &claim);
nlohmann::json toJson(WallTime time);
nlohmann::json toJson(const LoggedClaim &claim);
nlohmann::json toJson(const KeyRecord &record);

/** Reads the gate at @p key. Marks @p reader as failed if it is missing or invalid. */
GateId readGate(CborReader &reader, std::string_view key);

/** Reads the id of a claim at @p key. */
ClaimId readClaimId(CborReader &reader, std::string_view key);

/** Reads the claim at @p key together with its offset in the log. */
LoggedClaim readLoggedClaim(CborReader &reader, std::string_view key);

/** Reads the wall-clock time in milliseconds at @p key. */
WallTime readTime(CborReader &reader, std::string_view key);

/** Reads the array of records at @p key, which must hold at most @p maxCount. */
std::vector<KeyRecord> readRecords(CborReader &reader, std::string_view key, std::size_t maxCount);

} // namespace KeyCodec

} // namespace Heatherridge
