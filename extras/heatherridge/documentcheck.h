#pragma once

#include "heatherridge_state/fold/controlrecord.h"
#include "heatherridge_state/heatherridge_state.h"

#include "report.h"

#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Infers the kind of @p text from its sections: rules if it has a section of a rules document, else an inventory. */
DocumentKind inferDocumentKind(const std::string &text);

/** Returns all faults of @p text as a document of @p kind, ordered by line. */
std::vector<ConfigFault> findFaults(DocumentKind kind, const std::string &text);

/** Returns a report with one line `FILE:LINE: REASON` for each of @p faults, and exit code Faults. */
Report faultReport(const std::string &file, const std::vector<ConfigFault> &faults);

/** Returns the report of `check` for the file at @p file. */
Report checkFile(const std::string &file, std::optional<DocumentKind> kind);

/** Returns the report for a @p file that cannot be read. */
Report unreadableReport(const std::string &file);

} // namespace Heatherridge
