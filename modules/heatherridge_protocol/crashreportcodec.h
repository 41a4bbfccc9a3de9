#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/crashreport.h"
#include "heatherridge_state/decisions/promptpartrecord.h"

#include <string>
#include <string_view>
#include <variant>

namespace Heatherridge
{

/** Encodes @p report as CBOR. */
std::string encode(const CrashReport &report);

/** Decodes a report. Invalid input and records of prompt parts yield MalformedFrame. */
Result<CrashReport> decodeCrashReport(std::string_view bytes);

/** Any record of the topic of crash reports. */
using CrashRecord = std::variant<RequestCrashRecord, PromptPartRecord>;

/** Encodes @p record as CBOR; a CrashReport as encode(const CrashReport &) does. */
std::string encodeCrashRecord(const CrashRecord &record);

/** Decodes a record of any kind. Invalid input yields MalformedFrame. */
Result<CrashRecord> decodeCrashRecord(std::string_view bytes);

} // namespace Heatherridge
