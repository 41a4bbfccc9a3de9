#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/decisions/runningestimate.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace Heatherridge
{

/** A stream that waits at its entry for an engine. */
struct WaitingStream
{
    std::uint64_t number = 0; ///< names it; higher ones came later
    ServiceName service{};
    bool hasStarted = false; ///< its caller has a part of it
    SteadyTime onTimeUntil{}; ///< sent later it can't be on time any more
};

/**
 * The order in which streams that wait get the room that appears.
 *
 * Load pattern: for a second or two engines carry less than comes. Served by arrival, streams that are late already
 * take the room of those that could still be on time. So streams that were broken off come first, then those that can
 * still be on time, the most urgent first, then late ones by arrival. One thread.
 */
class StreamQueue
{
public:
    /** @p stream begins to wait at @p now, or goes on with other facts. */
    void enqueue(const WaitingStream &stream, SteadyTime now);

    /** The stream @p number waits no longer. */
    void remove(std::uint64_t number);

    bool isEmpty() const;

    /** The stream @p number has got room at @p now, and waits no longer. */
    void admit(std::uint64_t number, SteadyTime now);

    /**
     * How long a stream like @p stream, and behind those that wait, would wait from @p now on. Zero while nothing like
     * it waits or none has got room yet.
     */
    std::chrono::milliseconds expectedWait(const WaitingStream &stream, SteadyTime now) const;

    /** Whether a stream of @p service waits that can be on time at @p now. */
    bool hasOnTimeStream(const ServiceName &service, SteadyTime now) const;

    /** All streams by the order in which they get room. */
    std::vector<WaitingStream> inAdmissionOrder(SteadyTime now) const;

private:
    /** Streams that compete for the same room. */
    struct StreamClass
    {
        ServiceName service{};
        bool isLate = false;

        auto operator<=>(const StreamClass &) const = default;
    };

    /** How quickly streams of one kind get room while some wait. */
    struct AdmissionRate
    {
        RunningEstimate interval{};
        SteadyTime lastEvent{}; ///< the last one got room, or the first began to wait
    };

    static StreamClass classOf(const WaitingStream &stream, SteadyTime now);
    std::ptrdiff_t countWaiting(const StreamClass &streamClass, SteadyTime now) const;

    std::map<std::uint64_t, WaitingStream> m_streams;
    std::map<StreamClass, AdmissionRate> m_admissionRates;
};

} // namespace Heatherridge
