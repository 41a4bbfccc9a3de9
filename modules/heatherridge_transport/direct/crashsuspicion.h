#pragma once

#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_transport/direct/brokenattempts.h"
#include "heatherridge_transport/direct/crashguard.h"
#include "heatherridge_transport/direct/trafficcodec.h"
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
    /** What identifies the request; everything referred to must outlive the suspicion. */
    struct Request
    {
        const HttpRequest &http;
        const CallerFields &fields;
        const WorkspaceName &workspace;
        const ServiceName &service; ///< read on first use only
    };

    /** @p guard must outlive this object. */
    CrashSuspicion(CrashGuard &guard, Request request);

    const RequestFingerprint &fingerprint();

    /** Describes an attempt that @p target broke off after @p events complete events. */
    BrokenAttempt brokenAttempt(const TargetName &target, bool hasBegun, int events);

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
    Request m_request;
    std::optional<TargetName> m_suspectTarget;
    std::optional<RequestFingerprint> m_fingerprint;
};

} // namespace Heatherridge
