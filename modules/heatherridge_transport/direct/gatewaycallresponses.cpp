#include "heatherridge_transport/direct/gatewaycall.h"

#include <asio/post.hpp>

namespace Heatherridge
{

namespace
{

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

ExchangeEvents GatewayCall::exchangeEvents()
{
    const auto self = shared_from_this();
    return {.headBytes = [self](std::size_t bytes) { return self->holdBytes(bytes); },
            .head = [self](const HttpMessageHead &head) { self->onResponseHead(head); },
            .body = [self](std::string_view bytes) { self->onResponseBody(bytes); },
            .complete = [self] { self->onResponseComplete(); },
            .failed = [self](const ExchangeFailure &failure) { self->onExchangeFailed(failure); }};
}

void GatewayCall::onResponseHead(const HttpMessageHead &head)
{
    if (m_isAbandoningAttempt) {
        return; // a read that had completed before reading was paused
    }
    m_response.setHead(head, m_traffic.m_codec.readResponseFields(head.status, head.headers), m_callerFields.id);
    if (auto *target = m_traffic.m_targets.find(m_target)) {
        m_traffic.m_targets.recordAnswer(*target, now());
        if (const auto &load = m_response.fields().load) {
            target->load.recordReport(load->running + load->waiting, target->lastReceivedAt);
        }
        if (m_response.belongsToRequest()) {
            m_traffic.applyTargetStatements(*target, m_response.fields(), m_callerFields.id);
        }
    }
    if (m_response.plainResult() == AttemptResult::InvalidAnswer && !m_response.isUsable()) {
        leaveInvalidResponse();
    } else if (!holdBytes(m_response.bufferedBytes())) {
        endAttemptForMemory();
    }
}

void GatewayCall::leaveInvalidResponse()
{
    // Posted, because the connection calls this while it reads.
    asio::post(m_traffic.m_loop, [self = shared_from_this(), attempt = m_attempts] {
        if (!self->m_isDone && self->m_attempts == attempt && self->m_connection) {
            self->finishAttempt(AttemptResult::InvalidAnswer, "status " + std::to_string(self->m_response.status()));
        }
    });
}

void GatewayCall::onResponseBody(std::string_view bytes)
{
    if (m_isAbandoningAttempt) {
        return;
    }
    if (auto *target = m_traffic.m_targets.find(m_target)) {
        target->lastReceivedAt = now();
    }
    if (!m_response.beginBody(bytes.size())) {
        if (m_response.hasExcessBytes()) {
            abandonAttempt("the body does not end");
        }
        return;
    }
    if (isStream() && m_response.status() == 200) {
        forwardEvents(bytes);
    } else {
        m_response.append(bytes);
    }
    m_suspicion.recordProgress(m_stream.eventsInAttempt());
    if (!holdBytes(m_response.bufferedBytes() + m_stream.bufferedBytes())) {
        endAttemptForMemory();
    } else if (m_stream.isBroken()) {
        abandonAttempt("an event of the stream is missing or cannot be placed");
    }
}

void GatewayCall::keepTargetFailure()
{
    m_attemptBytes.release();
    m_targetFailure = m_response.take();
    if (!m_failureBytes.hold(allocatedBytes(m_targetFailure->headers) + m_targetFailure->body.size())) {
        m_targetFailure.reset();
        m_failureBytes.release();
    }
}

void GatewayCall::abandonAttempt(std::string reason)
{
    if (m_isDone || !m_connection) {
        return; // forwarding the last event has ended the call
    }
    m_isAbandoningAttempt = true;
    m_connection->pauseReading();
    // Posted, because the connection calls this while it reads.
    asio::post(m_traffic.m_loop, [self = shared_from_this(), attempt = m_attempts, reason = std::move(reason)] {
        if (self->m_isDone || self->m_attempts != attempt || !self->m_connection) {
            return; // the attempt has ended meanwhile
        }
        self->m_traffic.m_counters.abandonedAnswers.add();
        self->releaseTarget(false);
        if (self->m_caller->hasBegun() || self->m_response.isUsable()) {
            self->finishBrokenAttempt(reason);
        } else {
            self->finishAttempt(self->m_response.plainResult(), reason);
        }
    });
}

void GatewayCall::onResponseComplete()
{
    if (m_isAbandoningAttempt) {
        return; // the attempt ends as abandoned
    }
    if (m_isDone) {
        return;
    }
    if (isStream() && m_response.status() == 200 && m_response.isUsable()) {
        onStreamComplete();
        return;
    }
    finishAttempt(m_response.plainResult(), "status " + std::to_string(m_response.status()));
}

void GatewayCall::onExchangeFailed(const ExchangeFailure &failure)
{
    if (m_isDone) {
        return;
    }
    if (failure.mayHaveArrived) {
        finishBrokenAttempt(failure.reason);
        return;
    }
    m_traffic.m_targets.recordUnreachable(m_target);
    finishAttempt(AttemptResult::NeverSent, failure.reason);
}

void GatewayCall::forwardEvents(std::string_view bytes)
{
    for (const auto &event : m_stream.feed(bytes)) {
        if (!m_isDone) {
            forwardEvent(event);
        }
    }
}

void GatewayCall::forwardEvent(const StreamEvent &event)
{
    const auto forwardedAt = now();
    const bool isFirstOfAttempt = m_stream.lastEventAt() <= m_sentAt;
    const auto pause = m_stream.recordForwarded(forwardedAt, age());
    if (!pause) {
        m_traffic.firstEventDelayFor(m_service).record(forwardedAt - m_sentAt);
        m_traffic.m_counters.streamFirstEvent.record(m_stream.timeToFirstEvent());
    } else if (!isFirstOfAttempt) {
        m_traffic.m_targets.recordPause(m_placement.group, *pause, forwardedAt);
    }
    m_caller->forward(event.text, m_response.status(), m_response.headers());
    if (m_caller->isFull()) {
        m_connection->pauseReading();
    }
}

void GatewayCall::onStreamComplete()
{
    if (const auto reason = m_stream.brokenOffReason(m_response.endsWithConnection())) {
        finishBrokenAttempt(std::string(*reason));
        return;
    }
    releaseTarget(true);
    m_traffic.m_targets.recordAttempt(m_target, AttemptOutcome::Succeeded, now());
    const auto events = m_stream.eventsInAttempt();
    m_suspicion.recordAnswer(
        {.result = AttemptResult::Answered, .status = m_response.status(), .hasContent = events > 0}, events);
    conclude(CompleteStream{.status = m_response.status(), .headers = m_response.headers()});
}

} // namespace Heatherridge
