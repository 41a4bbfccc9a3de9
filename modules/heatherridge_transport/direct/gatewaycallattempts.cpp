#include "heatherridge_transport/direct/gatewaycall.h"
#include "heatherridge_transport/direct/placementrefusal.h"

namespace Heatherridge
{

namespace
{

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void GatewayCall::finishBrokenAttempt(const std::string &reason)
{
    releaseTarget(false);
    const auto *target = m_traffic.m_targets.find(m_target);
    auto attempt = m_suspicion.brokenAttempt(m_target, m_response.hasBodyBegun(), m_stream.eventsInAttempt());
    m_isProbingTarget = target != nullptr && BrokenAttempts::mayBlock(attempt);
    if (target != nullptr) {
        const auto finish = [weak = weak_from_this(), waits = m_isProbingTarget, reason] {
            const auto self = weak.lock();
            if (waits && self && !self->m_isDone) {
                self->m_isProbingTarget = false;
                self->finishAttempt(AttemptResult::Interrupted, reason);
            }
        };
        m_traffic.m_brokenAttempts.inspect(std::move(attempt), target->entry, finish);
    }
    if (!m_isProbingTarget) {
        finishAttempt(AttemptResult::Interrupted, reason);
    }
}

void GatewayCall::finishAttempt(AttemptResult result, std::string_view reason)
{
    const bool hasCompleted = result == AttemptResult::Answered || result == AttemptResult::FailedAtTarget;
    const bool isBlocked = m_refusalDeadline.has_value();
    if (result == AttemptResult::NeverSent) {
        m_suspicion.returnTrial();
    }
    releaseTarget(hasCompleted || result == AttemptResult::RefusedAtTarget);
    if (result == AttemptResult::RefusedAtTarget) {
        m_traffic.m_targets.recordRefusal(m_target, now());
    }
    if (result == AttemptResult::Answered) {
        m_traffic.m_targets.recordAttempt(m_target, AttemptOutcome::Succeeded, now());
    } else if (result != AttemptResult::RefusedAtTarget) {
        m_traffic.m_targets.recordAttempt(
            m_target, result == AttemptResult::TimedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Failed, now());
    }
    if (hasCompleted) {
        m_suspicion.recordAnswer(
            {.result = result, .status = m_response.status(), .hasContent = m_response.hasBodyBegun()},
            m_stream.eventsInAttempt());
    }
    m_possibleExecutions += mayHaveRun(result) ? 1 : 0;
    m_possibleArrivals += result != AttemptResult::NeverSent ? 1 : 0;
    if (isBlocked && !mayHaveRun(result)) {
        refuseBlocked();
        return;
    }
    const auto step = nextStep(result,
                               {.kind = m_route.kind,
                                .isResumable = m_route.isResumable && m_stream.isResumable(),
                                .hasStreamBegun = m_caller->hasBegun(),
                                .possibleRuns = m_possibleExecutions,
                                .maxRuns = m_route.maxAttempts,
                                .attempts = m_attempts,
                                .hasTimeLeft = timeLeft() >= MinAttemptTime,
                                .hasRetryBudget = m_traffic.retryBudgetFor(m_service).remaining(now()) >= 1});
    switch (step) {
    case NextStep::Deliver:
        deliver();
        return;
    case NextStep::Retry:
        logAttempt("repeat", result, reason);
        if (result == AttemptResult::FailedAtTarget && !m_caller->hasBegun()) {
            keepTargetFailure();
        }
        startAttempt();
        return;
    case NextStep::Fail:
        break;
    }
    auto error = refusalByTargets(m_possibleExecutions > 0,
                                  std::string(toString(result)) + " at " + m_target.text() + " " + std::string(reason));
    if (mayHaveRun(result)) {
        fail(std::move(error));
        return;
    }
    logAttempt("repeat-put-off", result, reason);
    waitForTarget(std::move(error));
}

void GatewayCall::logAttempt(std::string_view event, AttemptResult result, std::string_view reason) const
{
    logAttemptEnd(event,
                  {.request = m_callerFields.id,
                   .result = result,
                   .target = m_target,
                   .reason = reason,
                   .attempts = m_attempts,
                   .age = age()});
}

} // namespace Heatherridge
