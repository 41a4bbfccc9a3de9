#include "heatherridge_coordination/feed/runrecorder.h"

#include "heatherridge_protocol/runrecordcodec.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

RunRecorder::RunRecorder(RunLog &log, Options options, std::function<RunObservation()> observe, Events events)
    : m_log(log)
    , m_options(std::move(options))
    , m_observe(std::move(observe))
    , m_events(std::move(events))
    , m_callToken(std::make_shared<int>(0))
{
}

void RunRecorder::tick(SteadyTime now)
{
    m_now = now;
    if (!std::exchange(m_hasStarted, true)) {
        requestCall(now + m_options.spread);
    }
    if (now >= m_nextObservation) {
        m_nextObservation = now + m_options.samplePeriod;
        observe();
    }
    startDueCall();
}

void RunRecorder::beginStop()
{
    setState(RunState::Stopping);
}

void RunRecorder::end()
{
    setState(RunState::Ended);
}

void RunRecorder::logRegained()
{
    if (std::exchange(m_isDropped, false)) {
        requestCall(m_now + m_options.spread);
    }
}

void RunRecorder::logRestored()
{
    if (m_hasRead) {
        requestCall(m_now + m_options.spread);
    }
}

void RunRecorder::observe()
{
    m_observation = m_observe();
    const auto &use = m_observation.use;
    const auto memory = usageLevel(use.peakMemory, use.memoryLimit);
    const auto descriptors = usageLevel(use.descriptors, use.descriptorLimit);
    const bool hasHandlerFailed = m_observation.handlerFailures > 0;
    const bool isWorse =
        memory > m_memoryLevel || descriptors > m_descriptorLevel || (hasHandlerFailed && !m_hasHandlerFailed);
    m_memoryLevel = std::max(m_memoryLevel, memory);
    m_descriptorLevel = std::max(m_descriptorLevel, descriptors);
    m_hasHandlerFailed = hasHandlerFailed;
    if (isWorse && m_hasRead) {
        requestCall(std::max(m_now, m_nextWrite));
    }
}

void RunRecorder::startDueCall()
{
    if (m_isCalling || !m_nextCall || m_now < *m_nextCall) {
        return;
    }
    m_nextCall.reset();
    if (m_hasRead) {
        write();
    } else {
        read();
    }
}

std::weak_ptr<int> RunRecorder::beginCall()
{
    m_isCalling = true;
    return m_callToken;
}

void RunRecorder::read()
{
    m_log.readNewest(m_options.process, [this, token = beginCall()](const Result<std::optional<std::string>> &found) {
        if (!token.expired()) {
            handleRead(found);
        }
    });
}

void RunRecorder::handleRead(const Result<std::optional<std::string>> &found)
{
    m_isCalling = false;
    if (const auto *error = errorIn(found)) {
        handleFailure("read", *error);
        return;
    }
    m_hasRead = true;
    m_failures = 0;
    if (const auto &bytes = std::get<std::optional<std::string>>(found)) {
        reportPrevious(*bytes);
    }
    requestCall(m_now);
    startDueCall();
}

void RunRecorder::reportPrevious(const std::string &bytes)
{
    const auto decoded = decodeRunRecord(bytes);
    if (const auto *error = errorIn(decoded)) {
        m_events.dropped("record", *error);
        return;
    }
    const auto &record = std::get<RunRecord>(decoded);
    if (record.state != RunState::Ended) {
        m_events.previousUnfinished(record);
    }
}

void RunRecorder::write()
{
    m_nextWrite = m_now + m_options.minWritePeriod;
    const auto bytes = encodeRunRecord({.run = m_options.run,
                                        .startedAt = m_options.startedAt,
                                        .state = m_state,
                                        .use = m_observation.use,
                                        .handlerFailures = m_observation.handlerFailures,
                                        .lastFailure = m_observation.lastFailure,
                                        .version = m_options.version});
    m_log.write(m_options.process, bytes, [this, token = beginCall()](const Outcome &outcome) {
        if (!token.expired()) {
            handleWritten(outcome);
        }
    });
}

void RunRecorder::handleWritten(const Outcome &outcome)
{
    m_isCalling = false;
    if (const auto *error = errorIn(outcome)) {
        handleFailure("write", *error);
        return;
    }
    m_failures = 0;
    m_isDropped = false;
    startDueCall();
}

void RunRecorder::handleFailure(std::string_view what, const Error &error)
{
    if (++m_failures < m_options.maxTries) {
        requestCall(m_now + m_options.retryDelay * (1 << (m_failures - 1)));
    } else {
        m_failures = 0;
        m_isDropped = true;
        m_events.dropped(what, error);
    }
    startDueCall();
}

void RunRecorder::setState(RunState state)
{
    m_state = state;
    m_failures = 0;
    requestCall(m_now);
    if (m_hasStarted) {
        observe();
        startDueCall();
    }
}

void RunRecorder::requestCall(SteadyTime time)
{
    m_nextCall = m_nextCall ? std::min(*m_nextCall, time) : time;
}

} // namespace Heatherridge
