#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/app/metrics.h"

#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Counts the calls of an exchange between gateways through sidecars by their result, and logs failures. */
class SidecarCalls
{
public:
    /** How the calls of an exchange are named. */
    struct Names
    {
        std::string metric{}; ///< the counter, with the result as its label
        std::string failureEvent{}; ///< the log event
    };

    /** @p metrics must outlive this object. */
    SidecarCalls(const Names &names, Metrics &metrics);

    /** Sets the targets whose sidecars may be called. */
    void setTargets(const std::vector<TargetEntry> &targets);

    /** Records the end of a call to the sidecar of @p target. @param error null if it was answered */
    void recordEnd(const TargetEntry &target, const Error *error);

private:
    std::string m_failureEvent;
    Counter &m_answered;
    Counter &m_failed;
    Counter &m_unsupported;
    Counter &m_malformed;
    std::set<TargetName> m_failing; ///< targets whose last call failed
};

} // namespace Heatherridge
