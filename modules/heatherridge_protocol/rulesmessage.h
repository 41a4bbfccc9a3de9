#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/base/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** Format number of the messages below, their first element. Messages with another one are rejected. */
constexpr int RulesFormat = 1;
/** Maximum size of a record of the rules in bytes. */
constexpr std::size_t MaxRulesRecordBytes = 2UL << 20U;
/** Maximum length of a record's key in bytes. */
constexpr std::size_t MaxRulesKeyBytes = 255;
/** Maximum number of drained zones in a message. */
constexpr std::size_t MaxDrainedZones = 256;
/** Maximum length of the name of a drained zone in bytes. */
constexpr std::size_t MaxDrainedZoneBytes = 255;

/** A version of the rules as a gateway has read it from the platform's register. */
struct RulesRecord
{
    std::uint64_t version = 0;
    std::string key{}; ///< of the record in the register
    std::string value{};

    bool operator==(const RulesRecord &) const = default;
};

/** The availability zones that the operator has drained, as a gateway has read them from the platform's register. */
struct ZoneDrains
{
    std::uint64_t position = 0; ///< offset up to which the register has been read
    std::set<ZoneName> zones{};

    bool operator==(const ZoneDrains &) const = default;
};

/** Sent by a gateway to the exchange point of a zone. */
struct RulesRequest
{
    std::uint64_t version = 0; ///< in force at the gateway; 0: none
    std::optional<RulesRecord> record{}; ///< of that version, if the exchange point has asked for it
    std::optional<ZoneDrains> drains{}; ///< if the gateway can read the register

    bool operator==(const RulesRequest &) const = default;
};

/** The exchange point's answer. */
struct RulesResponse
{
    bool wantsRecord = false; ///< the gateway's version is newer than the one held
    std::optional<RulesRecord> record{}; ///< the one held, if it is newer than the gateway's version
    bool hasNewDrains = false; ///< the drained zones that the gateway states were not known
    std::optional<ZoneDrains> drains{}; ///< those held, if the gateway states none

    bool operator==(const RulesResponse &) const = default;
};

/** Encodes a message as CBOR, each record with a checksum. */
std::string encode(const RulesRequest &request);
std::string encode(const RulesResponse &response);

/** Decodes a message. A message with a value outside the limits of this file, or with a record that does not match its
 * checksum, yields MalformedFrame. */
Result<RulesRequest> decodeRulesRequest(std::string_view bytes);
Result<RulesResponse> decodeRulesResponse(std::string_view bytes);

} // namespace Heatherridge
