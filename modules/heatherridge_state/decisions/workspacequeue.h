#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace Heatherridge
{

/** A request for a slot at a target. */
struct WorkRequest
{
    RequestId id{};
    WorkspaceName workspace{};
    double weight = 1; ///< the workspace's weight in the active rule set
    int priority = 0; ///< sum of the request's and the workspace's priority; higher first
    double cost = 1; ///< expected tokens of prompt and answer; 1 for a call of a plain service
    SteadyTime deadline{}; ///< when the caller stops waiting for the complete answer
};

/**
 * Queue of the waiting requests of one workspace at one target.
 *
 * Load pattern: urgent beside ordinary and short beside long requests of one customer. Without classes a short call
 * waits behind a long prompt, and with strict classes the lowest one starves. Each pair of priority and size therefore
 * forms a class, and a class gains one step of priority for each AgeingStep since it was last served. The highest class
 * is served first, and the lowest is served at the latest after (difference + 1) * AgeingStep. Long requests rank one
 * step below short ones of the same priority. Within a class the oldest request is served first, or the newest under
 * overload, when the oldest would miss its deadline anyway. Owned by AdmissionQueue, single-threaded.
 */
class WorkspaceQueue
{
public:
    /** One second per step: half the 20 steps from -10 to 10 pass within a third of the default deadline of 30 s. */
    static constexpr std::chrono::milliseconds AgeingStep{1000};

    /**
     * Waits up to this count as negligible: below the target time to first token of 360 ms, with time left for the
     * prompt.
     */
    static constexpr std::chrono::milliseconds MaxShortWait{250};

    /** A queued request and its arrival time. */
    struct QueuedRequest
    {
        WorkRequest request{};
        SteadyTime arrived{};
        SteadyTime latestStart{}; ///< if started later, the request misses its deadline
        bool isLong = false;
    };

    /** Adds @p queued at the end of its class. */
    void add(QueuedRequest queued, SteadyTime now);

    /** Returns whether the queue is empty, or holds only long requests when @p allowLong is false. */
    bool isEmpty(bool allowLong = true) const;

    /** Removes and returns the request to start next; nothing when isEmpty(@p allowLong). */
    std::optional<QueuedRequest> pop(SteadyTime now, bool allowLong, bool newestFirst);

    /** Removes and returns the request that arrived first, whatever its class. */
    std::optional<QueuedRequest> popOldest();

    /** Removes and returns the request @p id. */
    std::optional<QueuedRequest> remove(const RequestId &id);

    /** Removes and returns one request whose latest start is before @p now. */
    std::optional<QueuedRequest> popExpired(SteadyTime now);

    /** Returns the earliest of all latest starts. */
    std::optional<SteadyTime> earliestLatestStart() const;

    /** Returns the highest priority among the waiting classes; 0 when none waits. */
    int highestPriority() const;

    /** Returns the total cost of the waiting requests. */
    double backlog() const;

    /** Returns the number of waiting requests. */
    std::size_t size() const;

    /** Returns the arrival time of the oldest request; nothing when none waits. */
    std::optional<SteadyTime> oldestArrival() const;

    /**
     * Returns the arrival time of the newest request, whether or not it still waits; nothing while the queue is empty.
     */
    std::optional<SteadyTime> lastArrival() const;

    /**
     * Returns when the queue was last empty, or when it last served a request while its oldest had waited no longer
     * than MaxShortWait; nothing while it is empty.
     */
    std::optional<SteadyTime> lastShortWait() const;

private:
    struct ClassKey
    {
        int priority = 0;
        bool isLong = false;

        auto operator<=>(const ClassKey &) const = default;
    };

    struct PriorityClass
    {
        std::deque<QueuedRequest> requests{};
        SteadyTime agesSince{}; ///< when the class was last served or created
    };

    using Classes = std::map<ClassKey, PriorityClass>;

    QueuedRequest extract(Classes::iterator position, const std::deque<QueuedRequest>::const_iterator &request);

    Classes m_classes;
    double m_backlog = 0;
    std::size_t m_size = 0;
    std::optional<SteadyTime> m_lastShortWait;
    SteadyTime m_lastArrival{};
};

} // namespace Heatherridge
