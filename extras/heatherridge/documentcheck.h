#pragma once

#include "heatherridge_state/fold/controlrecord.h"
#include "heatherridge_state/heatherridge_state.h"

#include "report.h"

#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Which document @p text is by its sections: rules when one of them belongs into rules, else an inventory. */
DocumentKind inferDocumentKind(const std::string &text);

/** All faults of @p text as a document of @p kind, in the order of their lines. */
std::vector<ConfigFault> findFaults(DocumentKind kind, const std::string &text);

/** Each of @p faults as one line `FILE:LINE: REASON`, with the exit code that says so. */
Report faultReport(const std::string &file, const std::vector<ConfigFault> &faults);

/** What `check` says about the file at @p file. */
Report checkFile(const std::string &file, std::optional<DocumentKind> kind);

/** What is said when @p file cannot be read. */
Report unreadableReport(const std::string &file);

} // namespace Heatherridge
