#pragma once

#include "heatherridge_coordination/feed/runrecorder.h"
#include "heatherridge_transport/app/metrics.h"

#include <cstdint>
#include <memory>

namespace Heatherridge
{

/** What the host gives this process; 0 where it is not known. */
struct HostLimits
{
    std::uint64_t memory = 0; ///< in bytes
    std::uint64_t descriptors = 0;
};

/**
 * Records the run of a gateway in the platform's log, and logs and counts a run before it that did not end in order.
 * Used on the control thread. @see RunRecorder
 */
class GatewayRuns
{
public:
    struct Options
    {
        ProcessName process{};
        Incarnation run{};
        HostLimits limits{};
        std::uint64_t seed = 0; ///< different in each process; from it follows when the first call is made
    };

    /** @param log may be null: nothing is recorded then. It and @p metrics must outlive this object. */
    GatewayRuns(RunLog *log, const Options &options, Metrics &metrics);

    /** Called every few tens of milliseconds. */
    void tick(SteadyTime now);

    /** Called when the process is told to stop. */
    void beginStop();

    /** Called when the process has finished its work. */
    void end();

    /** Called when the log answers again. */
    void logRegained();

    /** Called when the log was restored from an older copy. */
    void logRestored();

private:
    void onPreviousUnfinished(const RunRecord &record);
    void onDropped(std::string_view what, const Error &error);

    Counter &m_unfinished;
    Counter &m_droppedRecords;
    std::unique_ptr<RunRecorder> m_recorder; ///< null without a log
};

} // namespace Heatherridge
