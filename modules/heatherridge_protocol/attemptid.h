#pragma once

#include "heatherridge_state/base/ids.h"

namespace Heatherridge
{

/**
 * The id under which attempt number @p attempt of request @p id travels.
 *
 * A retry may reach a target that still has the attempt before it. Were both to travel under one id, frames of the
 * first could be taken for the second's, or the second be dropped as a double of the first.
 */
RequestId attemptId(const RequestId &id, int attempt);

/** The request that the attempt named @p id belongs to. */
RequestId requestOfAttempt(const RequestId &id);

} // namespace Heatherridge
