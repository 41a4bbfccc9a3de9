#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/crashsuspects.h"

#include <string>
#include <string_view>

namespace Heatherridge
{

/** Encodes @p report as CBOR. */
std::string encode(const CrashReport &report);

/** Decodes a report. Invalid input yields MalformedFrame. */
Result<CrashReport> decodeCrashReport(std::string_view bytes);

} // namespace Heatherridge
