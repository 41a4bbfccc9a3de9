#pragma once

#include "heatherridge_state/base/ids.h"

namespace Heatherridge
{

/**
 * Returns the id that identifies attempt number @p attempt of request @p id on the wire.
 *
 * A retry may reach a target that is still processing the previous attempt. If both used the same id, frames of the
 * first could be attributed to the second, or the second could be discarded as a duplicate of the first.
 */
RequestId attemptId(const RequestId &id, int attempt);

/** Returns the id of the request to which the attempt @p id belongs. */
RequestId requestOfAttempt(const RequestId &id);

} // namespace Heatherridge
