#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/crashsuspects.h"

#include <string>
#include <string_view>

namespace Heatherridge
{

/** The CBOR of @p report. */
std::string encode(const CrashReport &report);

/** Reads a report. Anything else yields MalformedFrame. */
Result<CrashReport> decodeCrashReport(std::string_view bytes);

} // namespace Heatherridge
