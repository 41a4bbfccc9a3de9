#pragma once

#include "heatherridge_transport/direct/gatewaytargets.h"

#include <chrono>
#include <optional>
#include <string>

namespace Heatherridge
{

/** Returns whether waiting at the gateway cannot help: the reason ends only when an operator changes something. */
bool isLasting(NoChoiceReason reason);

/**
 * Returns the error for a caller whose request found no target of @p service for @p reason.
 * @param heldFor time until the first target accepts a request again, if that is known
 */
Error refusalFor(NoChoiceReason reason, const ServiceName &service, std::optional<std::chrono::milliseconds> heldFor);

/**
 * Returns the error for a caller whose request the targets refused, or that may not be retried any more.
 * @param mayHaveRun whether a target may have executed the request
 */
Error refusalByTargets(bool mayHaveRun, std::string detail);

/** Returns how a request that fails with @p error is described in the log. */
std::string outcomeText(const Error &error);

} // namespace Heatherridge
