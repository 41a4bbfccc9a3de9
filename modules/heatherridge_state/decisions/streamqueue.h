#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/decisions/runningestimate.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** A stream that waits at its entry for an engine. */
struct WaitingStream
{
    std::uint64_t number = 0; ///< identifies the stream; later streams have higher numbers
    ServiceName service{};
    bool hasStarted = false; ///< its caller has received a part of it
    SteadyTime onTimeUntil{}; ///< if sent after this time, the stream cannot be on time
    int rank = 0; ///< priority of its caller, 0 is the highest; 0 for all streams of a service without rank admission
    bool isOverShare = false; ///< its workspace demands more than its fair share
};

/**
 * Orders waiting streams for admission when capacity becomes available.
 *
 * Load pattern: for a second or two engines have less capacity than arrives. In order of arrival, streams that are late
 * already would take the capacity of those that could still be on time. Interrupted streams are therefore admitted
 * first, then those that can still be on time, the most urgent first, then late ones in order of arrival. Where rank
 * admission is in force, the rank comes before urgency and arrival, but a stream that can still be on time precedes one
 * of a higher rank that cannot. Of streams of the same rank, those of workspaces over their fair share come last.
 * Single-threaded.
 */
class StreamQueue
{
public:
    /** Adds @p stream to the queue at @p now, or replaces the stream with the same number. */
    void enqueue(const WaitingStream &stream, SteadyTime now);

    /** Removes the stream @p number without admitting it. */
    void remove(std::uint64_t number);

    bool isEmpty() const;

    /** Removes the stream @p number because it is admitted at @p now, and records the admission rate. */
    void admit(std::uint64_t number, SteadyTime now);

    /**
     * Returns how long @p stream would wait from @p now on behind the waiting streams of its class, those over their
     * share left out unless it is one of them. Zero while none of these waits or none has been admitted yet.
     */
    std::chrono::milliseconds expectedWait(const WaitingStream &stream, SteadyTime now) const;

    /**
     * Returns whether a stream is waiting that can be on time at @p now and precedes @p stream by its rank and share,
     * or equals it in both.
     */
    bool hasOnTimeStream(const WaitingStream &stream, SteadyTime now) const;

    /** Returns which part of the waiting streams of the rank of @p stream are put behind it by their share. */
    double partBehind(const WaitingStream &stream) const;

    /**
     * Returns the waiting stream of the same service to refuse in place of @p stream, if there is one of a lower rank,
     * or one of the same rank that is over its share while @p stream is within: of the lowest rank those over their
     * share first, and of these the last to arrive. Streams that have started are not refused.
     */
    std::optional<std::uint64_t> streamToRefuseInsteadOf(const WaitingStream &stream) const;

    /** Returns all streams in the order in which they are to be admitted. */
    std::vector<WaitingStream> inAdmissionOrder(SteadyTime now) const;

private:
    /** Streams that compete for the same capacity. */
    struct StreamClass
    {
        ServiceName service{};
        bool isLate = false;

        auto operator<=>(const StreamClass &) const = default;
    };

    /** Rate at which streams of one class are admitted while some wait. */
    struct AdmissionRate
    {
        RunningEstimate interval{};
        SteadyTime lastEvent{}; ///< last admission, or the time when the first stream began to wait
    };

    static StreamClass classOf(const WaitingStream &stream, SteadyTime now);
    std::ptrdiff_t countWaiting(const StreamClass &streamClass, SteadyTime now) const;

    std::map<std::uint64_t, WaitingStream> m_streams;
    std::map<StreamClass, AdmissionRate> m_admissionRates;
};

} // namespace Heatherridge
