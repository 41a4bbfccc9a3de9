#pragma once

#include "heatherridge_state/decisions/answerevidence.h"
#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_transport/direct/brokenattempts.h"
#include "heatherridge_transport/direct/crashguard.h"
#include "heatherridge_transport/direct/promptpartguard.h"
#include "heatherridge_transport/direct/trafficcodec.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * What a gateway's guards know of one request and the parts of its prompt, and the target at which it is listed as a
 * suspect.
 *
 * Computes the request's fingerprint and its parts on first use. Used on the traffic thread only.
 */
class CrashSuspicion
{
public:
    struct Guards
    {
        CrashGuard &requests;
        PromptPartGuard &parts;
    };

    /** What identifies the request; everything referred to must outlive the suspicion. */
    struct Request
    {
        const HttpRequest &http;
        const CallerFields &fields;
        const WorkspaceName &workspace;
        const ServiceName &service; ///< read on first use only
    };

    /** @p guards must outlive this object. */
    CrashSuspicion(Guards guards, Request request);

    /** Describes the last attempt, which @p target broke off after @p events complete events. */
    BrokenAttempt brokenAttempt(const TargetName &target, bool hasBegun, std::uint32_t events);

    bool isSuspect();

    /** Returns whether the request must not be sent, unless it is chosen as the trial of what is blocked. */
    bool isBlocked();

    /** Returns whether the blocked request waits to be sent as a trial, which this gateway has claimed for it. */
    bool awaitsTrial();

    /** Returns whether awaitsTrial() did when it was last asked. */
    bool isAwaitingTrial() const;

    /**
     * Returns whether the request may be sent to a target that can take it. If not, it waits for the fate of another
     * request with a part of its prompt.
     */
    bool mayStart();

    /** Called when the request, which may have been chosen as a trial, has not reached a target and may never do. */
    void returnTrial();

    /** Returns whether a part of its prompt is held. */
    bool isHeld();

    /** Returns whether the request is the one that @p request identifies. */
    bool matches(const RequestFingerprint &request);

    /** Returns whether @p part is one of the parts of its prompt. */
    bool matches(PromptPart part);

    /** Records that the blocked request was refused. @returns what it is blocked for, for the log */
    std::string recordRefusal();

    /** Called when the request is sent to @p target. Lists it as a suspect that @p target runs, if it is one. */
    void markAt(const TargetName &target);

    /** Removes it from that list: the target no longer has the request. */
    void unmark();

    /** Called when bytes of the body of an answer have arrived, with @p events complete events in this attempt. */
    void recordProgress(std::uint32_t events);

    /** Records the end of an attempt whose answer is whole, after @p events complete events. */
    void recordAnswer(const AttemptEvidence &evidence, std::uint32_t events);

private:
    const RequestFingerprint &fingerprint();
    const std::vector<PromptPart> &parts();
    bool isRequestBlocked();
    bool isPartBlocked();
    std::optional<PromptPart> heldPart();
    bool isSuspectRequest();
    bool hasSuspectPart();
    void recordPartsAnswered(std::uint32_t events, bool isComplete);

    Guards m_guards;
    Request m_request;
    std::optional<TargetName> m_suspectTarget;
    bool m_isPartSuspect = false; ///< listed for a part of its prompt
    SteadyTime m_sentAt{}; ///< in the last attempt
    bool m_isAtTarget = false;
    bool m_isAwaitingTrial = false;
    bool m_isRequestTrial = false; ///< may be sent once although the request is blocked
    bool m_isTriedRequest = false; ///< the same, or is at a target as this trial
    bool m_isTrial = false; ///< may be sent once although a part is blocked
    std::optional<PromptPart> m_triedPart; ///< blocked or held part of whose trial it is the request
    bool m_hasRecordedAnswer = false; ///< of its parts, in this attempt
    std::optional<RequestFingerprint> m_fingerprint;
    std::optional<std::vector<PromptPart>> m_parts;
};

} // namespace Heatherridge
