#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

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
    bool isBegun = false; ///< its caller has a part of it
    SteadyTime onTimeUntil{}; ///< sent later it can't be on time any more
};

/**
 * The order in which streams that wait get the room that appears.
 *
 * Load pattern: for a second or two engines carry less than comes, because a map does not fit or half of them are gone.
 * Served in the order of arrival, the streams that waited longest are late already and take the room of those that
 * could still be on time, and so on until none is: late ones earn half whenever they are served. So streams that were
 * broken off come first, since their callers wait in the midst of an answer; then those that can still be on time, the
 * most urgent first; and what is late takes the room that is left, oldest first. One thread.
 */
class StreamLine
{
public:
    /** @p stream begins to wait, or goes on with other facts. */
    void put(const WaitingStream &stream);

    /** The stream @p number waits no longer. */
    void remove(std::uint64_t number);

    bool isEmpty() const;

    /** Whether a stream of @p service waits that can be on time at @p now. */
    bool hasTimely(const ServiceName &service, SteadyTime now) const;

    /** All streams by the order in which they get room. */
    std::vector<WaitingStream> order(SteadyTime now) const;

private:
    std::map<std::uint64_t, WaitingStream> m_streams;
};

} // namespace Heatherridge
