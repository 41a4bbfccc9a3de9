#pragma once

#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_transport/direct/crashguard.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <optional>

namespace Heatherridge
{

/**
 * What a gateway's crash guard knows of one request, and the target at which it lists the request as a suspect.
 *
 * Computes the request's fingerprint on first use. Used on the traffic thread only.
 */
class CrashSuspicion
{
public:
    /** @p guard, @p request and @p workspace must outlive this object. */
    CrashSuspicion(CrashGuard &guard, const HttpRequest &request, const WorkspaceName &workspace);

    const RequestFingerprint &fingerprint();

    bool isSuspect();
    bool isBlocked();

    /** Lists the request as a suspect that @p target runs, if it is one. */
    void markAt(const TargetName &target);

    /** Removes it from that list: the target has begun to answer, or no longer has the request. */
    void unmark();

    /** Records that a target answered the request. */
    void recordAnswer();

private:
    CrashGuard &m_guard;
    const HttpRequest &m_request;
    const WorkspaceName &m_workspace;
    std::optional<TargetName> m_suspectTarget;
    std::optional<RequestFingerprint> m_fingerprint;
};

} // namespace Heatherridge
