#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/runrecord.h"

#include <string>
#include <string_view>

namespace Heatherridge
{

/** Largest encoded record of a run, in bytes. */
constexpr std::size_t MaxRunRecordBytes = 512;
/** Longest RunRecord::version, in bytes. */
constexpr std::size_t MaxVersionBytes = 64;

/** Encodes @p record as CBOR. Cuts texts that are too long. */
std::string encodeRunRecord(const RunRecord &record);

/** Decodes a record. Bytes of another form, or with a field that is missing, surplus, of the wrong type or out of
 * range, yield MalformedFrame. */
Result<RunRecord> decodeRunRecord(std::string_view bytes);

} // namespace Heatherridge
