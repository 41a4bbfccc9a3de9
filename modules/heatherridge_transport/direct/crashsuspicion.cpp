#include "heatherridge_transport/direct/crashsuspicion.h"

#include "heatherridge_state/decisions/promptparthash.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

CrashSuspicion::CrashSuspicion(Guards guards, Request request)
    : m_guards(guards)
    , m_request(request)
{
}

const RequestFingerprint &CrashSuspicion::fingerprint()
{
    if (!m_fingerprint) {
        const auto url = std::string(m_request.http.header("Host")) + m_request.http.target;
        m_fingerprint = fingerprintOf(m_request.workspace, m_request.http.method, url, m_request.http.body);
    }
    return *m_fingerprint;
}

const std::vector<PromptPart> &CrashSuspicion::parts()
{
    if (!m_parts) {
        m_parts = promptPartsOf(m_request.service, m_request.fields.promptParts);
    }
    return *m_parts;
}

BrokenAttempt CrashSuspicion::brokenAttempt(const TargetName &target, bool hasBegun, std::uint32_t events)
{
    return {.request = m_request.fields.id,
            .fingerprint = fingerprint(),
            .target = target,
            .promptParts = parts(),
            .hasBegun = hasBegun,
            .events = events,
            .sentAt = m_sentAt,
            .isSuspect = isSuspectRequest()};
}

bool CrashSuspicion::isSuspectRequest()
{
    return !m_guards.requests.isIdle() && m_guards.requests.isSuspect(fingerprint());
}

bool CrashSuspicion::hasSuspectPart()
{
    return !m_guards.parts.isIdle() && m_guards.parts.isSuspect(parts());
}

bool CrashSuspicion::isSuspect()
{
    return isSuspectRequest() || hasSuspectPart();
}

bool CrashSuspicion::isBlocked()
{
    return isRequestBlocked() || isPartBlocked();
}

bool CrashSuspicion::isRequestBlocked()
{
    if (m_guards.requests.isIdle() || !m_guards.requests.isBlocked(fingerprint())) {
        return false;
    }
    if (!m_isRequestTrial && m_guards.requests.takeTrial(fingerprint())) {
        m_isRequestTrial = true;
        m_isTriedRequest = true;
    }
    return !m_isRequestTrial;
}

bool CrashSuspicion::awaitsTrial()
{
    auto &requests = m_guards.requests;
    const bool mayTry = requests.isBlocked(fingerprint()) && !isPartBlocked();
    m_isAwaitingTrial =
        mayTry && (m_isAwaitingTrial ? requests.awaitsClaim(fingerprint()) : requests.claimTrial(fingerprint()));
    return m_isAwaitingTrial;
}

bool CrashSuspicion::isAwaitingTrial() const
{
    return m_isAwaitingTrial;
}

bool CrashSuspicion::isPartBlocked()
{
    const auto blocked = m_guards.parts.isIdle() ? std::nullopt : m_guards.parts.blockedPart(parts());
    if (!blocked) {
        return false;
    }
    if (!m_isTrial && m_guards.parts.takeTrial(parts())) {
        m_isTrial = true;
        m_triedPart = blocked;
    }
    return !m_isTrial;
}

bool CrashSuspicion::mayStart()
{
    const auto held = heldPart();
    if (!held) {
        return true;
    }
    const bool isTrial = m_guards.parts.mayStart(parts());
    m_triedPart = isTrial ? held : m_triedPart;
    return isTrial;
}

void CrashSuspicion::returnTrial()
{
    if (std::exchange(m_isTriedRequest, false)) {
        m_isRequestTrial = false;
        m_guards.requests.returnTrial(fingerprint());
    }
    if (const auto part = std::exchange(m_triedPart, {})) {
        m_isTrial = false;
        m_guards.parts.returnTrial(*part);
    }
}

bool CrashSuspicion::isHeld()
{
    return heldPart().has_value();
}

std::optional<PromptPart> CrashSuspicion::heldPart()
{
    return m_guards.parts.isIdle() ? std::nullopt : m_guards.parts.heldPart(parts());
}

bool CrashSuspicion::matches(const RequestFingerprint &request)
{
    return fingerprint() == request;
}

bool CrashSuspicion::matches(PromptPart part)
{
    return std::find(parts().begin(), parts().end(), part) != parts().end();
}

std::string CrashSuspicion::recordRefusal()
{
    if (const auto part = m_guards.parts.blockedPart(parts())) {
        m_guards.parts.recordRefusal(parts());
        return "prompt part " + toString(*part);
    }
    m_guards.requests.recordRefusal(fingerprint());
    return "fingerprint " + toString(fingerprint());
}

void CrashSuspicion::markAt(const TargetName &target)
{
    m_hasRecordedAnswer = false;
    m_sentAt = std::chrono::steady_clock::now();
    m_isAtTarget = true;
    m_isAwaitingTrial = false;
    m_isRequestTrial = false; // a trial is sent once
    m_isTrial = false;
    m_isPartSuspect = hasSuspectPart();
    if (m_isPartSuspect || isSuspectRequest()) {
        m_suspectTarget = target;
        m_guards.requests.suspectTargets().add(target);
    }
}

void CrashSuspicion::unmark()
{
    if (std::exchange(m_isAtTarget, false)) {
        m_triedPart.reset();
        m_isTriedRequest = false;
    }
    if (!m_suspectTarget) {
        return;
    }
    m_guards.requests.suspectTargets().remove(*m_suspectTarget);
    m_suspectTarget.reset();
}

void CrashSuspicion::recordProgress(std::uint32_t events)
{
    const bool isBeyondBeginning = events > PromptPartSuspects::Options{}.maxProgress;
    if (isBeyondBeginning || !m_isPartSuspect) {
        unmark();
    }
    if (isBeyondBeginning) {
        recordPartsAnswered(events, false);
    }
    if (events > 0 && isSuspectRequest()) {
        m_guards.requests.recordProgress(fingerprint(), events);
    }
}

void CrashSuspicion::recordAnswer(const AttemptEvidence &evidence, std::uint32_t events)
{
    if (provesRequestHarmless(evidence) && isSuspectRequest()) {
        m_guards.requests.recordAnswer(fingerprint());
    }
    if (provesPromptHarmless(evidence)) {
        recordPartsAnswered(events, true);
    }
}

void CrashSuspicion::recordPartsAnswered(std::uint32_t events, bool isComplete)
{
    if (!m_hasRecordedAnswer) {
        m_hasRecordedAnswer = true;
        m_guards.parts.recordAnswer(parts(), events, isComplete);
    }
}

} // namespace Heatherridge
