#include "heatherridge_transport/direct/gatewayruns.h"

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/app/processhealth.h"

#include <array>
#include <ctime>

namespace Heatherridge
{

namespace
{

/** Time over which gateways that start together spread their first calls: 170 a second of 500 gateways. */
constexpr std::chrono::milliseconds CallSpread{3'000};

RunObservation observeProcess(const HostLimits &limits)
{
    return {.use = {.peakMemory = peakProcessMemory().value_or(0),
                    .memoryLimit = limits.memory,
                    .descriptors = openDescriptors().value_or(0),
                    .descriptorLimit = limits.descriptors},
            .handlerFailures = handlerFailures(),
            .lastFailure = lastHandlerFailure(MaxFailureReasonBytes)};
}

RunRecorder::Options recorderOptions(const GatewayRuns::Options &options)
{
    SeededRandom random(options.seed);
    return {.process = options.process,
            .run = options.run,
            .startedAt = std::chrono::time_point_cast<std::chrono::milliseconds>(processStart()),
            .version = HEATHERRIDGE_VERSION,
            .spread = std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(CallSpread.count())))};
}

/** Returns @p time in UTC, as in the lines of the log. */
std::string timestamp(WallTime time)
{
    const auto seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    return {text.data(), std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts)};
}

} // namespace

GatewayRuns::GatewayRuns(RunLog *log, const Options &options, Metrics &metrics)
    : m_unfinished(metrics.counter("heatherridge_previous_runs_unfinished_total"))
    , m_droppedRecords(metrics.counter("heatherridge_run_records_dropped_total"))
{
    if (log != nullptr) {
        m_recorder = std::make_unique<RunRecorder>(
            *log, recorderOptions(options), [limits = options.limits] { return observeProcess(limits); },
            RunRecorder::Events{.previousUnfinished = [this](const auto &record) { onPreviousUnfinished(record); },
                                .dropped = [this](auto what, const auto &error) { onDropped(what, error); }});
    }
}

void GatewayRuns::tick(SteadyTime now)
{
    if (m_recorder) {
        m_recorder->tick(now);
    }
}

void GatewayRuns::beginStop()
{
    if (m_recorder) {
        m_recorder->beginStop();
    }
}

void GatewayRuns::end()
{
    if (m_recorder) {
        m_recorder->end();
    }
}

void GatewayRuns::logRegained()
{
    if (m_recorder) {
        m_recorder->logRegained();
    }
}

void GatewayRuns::logRestored()
{
    if (m_recorder) {
        m_recorder->logRestored();
    }
}

void GatewayRuns::onPreviousUnfinished(const RunRecord &record)
{
    m_unfinished.add();
    logEvent(Severity::Warning, "previous-run-unfinished",
             {{"run", std::to_string(toNumber(record.run))},
              {"started", timestamp(record.startedAt)},
              {"version", record.version},
              {"state", std::string(toString(record.state))},
              {"likely", std::string(toString(probableCause(record)))},
              {"peak-memory", std::to_string(record.use.peakMemory)},
              {"memory-limit", std::to_string(record.use.memoryLimit)},
              {"descriptors", std::to_string(record.use.descriptors)},
              {"descriptor-limit", std::to_string(record.use.descriptorLimit)},
              {"handler-failures", std::to_string(record.handlerFailures)},
              {"last-failure", record.lastFailure}});
}

void GatewayRuns::onDropped(std::string_view what, const Error &error)
{
    m_droppedRecords.add();
    logEvent(Severity::Warning, "run-record-dropped", {{"call", std::string(what)}, {"reason", error.detail}});
}

} // namespace Heatherridge
