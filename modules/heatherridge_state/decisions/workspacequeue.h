#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace Heatherridge
{

/** A request that asks for a place at a target. */
struct WorkRequest
{
    RequestId id{};
    WorkspaceName workspace{};
    double weight = 1; ///< the workspace's weight in the rule set in force
    int priority = 0; ///< the request's own and its workspace's, added up; higher first
    double cost = 1; ///< expected tokens, prompt and answer; 1 for a call of a plain service
    SteadyTime deadline{}; ///< when the caller stops waiting for the whole answer
};

/**
 * The waiting requests of one workspace at one target.
 *
 * Load pattern: urgent beside ordinary and short beside long requests of one customer. Without classes a short call
 * waits behind a long prompt, and with strict classes the lowest one starves. So each pair of priority and size is a
 * class of its own, and a class gains one step of priority for each AgeingStep since it was last served: the highest
 * class goes first, and the lowest is served at the latest after (difference + 1) * AgeingStep. Long requests stand one
 * step below short ones of the same priority. Within a class the oldest goes first, or the newest under overload, when
 * the oldest would come too late anyway. Owned by AdmissionQueue, one thread.
 */
class WorkspaceQueue
{
public:
    /** A second a step: half the 20 steps from -10 to 10 pass within a third of the default deadline of 30 s. */
    static constexpr std::chrono::milliseconds AgeingStep{1000};

    /** A request that starts within this wait has not met a queue worth the name: below the time to first token of
     * 360 ms that callers are to see, with room for the prompt. */
    static constexpr std::chrono::milliseconds MaxShortWait{250};

    /** A request in the lane and when it came. */
    struct QueuedRequest
    {
        WorkRequest request{};
        SteadyTime arrived{};
        SteadyTime latestStart{}; ///< after it the deadline cannot be met
        bool isLong = false;
    };

    /** Adds @p waiting at the end of its class. */
    void add(QueuedRequest queued, SteadyTime now);

    /** Whether nothing waits, or nothing but long requests when @p longAllowed is false. */
    bool isEmpty(bool allowLong = true) const;

    /** Takes out the request to start next; nothing when isEmpty(@p longAllowed). */
    std::optional<QueuedRequest> pop(SteadyTime now, bool allowLong, bool newestFirst);

    /** Takes out the request that came first, whatever its class. */
    std::optional<QueuedRequest> popOldest();

    /** Takes out the request named @p id. */
    std::optional<QueuedRequest> remove(const RequestId &id);

    /** Takes out one request whose latest start is before @p now. */
    std::optional<QueuedRequest> popExpired(SteadyTime now);

    /** The earliest of all latest starts. */
    std::optional<SteadyTime> earliestLatestStart() const;

    /** The priority of the most urgent class that waits; 0 when none does. */
    int highestPriority() const;

    /** Sum of the costs that wait. */
    double backlog() const;

    /** How many requests wait. */
    std::size_t size() const;

    /** When the oldest request came; nothing when none waits. */
    std::optional<SteadyTime> oldestArrival() const;

    /** When the newest request came, waiting still or not; nothing while the lane is empty. */
    std::optional<SteadyTime> lastArrival() const;

    /** When the lane was last empty, or gave out a request while its oldest had not waited beyond MaxShortWait; nothing
     * while it is empty. */
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
        SteadyTime agesSince{}; ///< when it was last served, or came to be
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
