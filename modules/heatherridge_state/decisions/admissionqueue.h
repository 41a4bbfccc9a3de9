#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/servicerate.h"
#include "heatherridge_state/decisions/workspacequeue.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Limits of an AdmissionQueue. */
struct AdmissionOptions
{
    /**
     * Maximum number of waiting requests. At 16 slots and half a second per request, 256 requests are 8 s of work;
     * beyond that an immediate refusal serves callers better.
     */
    std::size_t queueCapacity = 256;
    /**
     * Cost that a workspace may receive ahead of its share after an idle period: about 16 calls of 500 tokens, the
     * burst of one page that asks several questions.
     */
    double burst = 8'000;
    /**
     * A workspace's queue is overloaded when none of its requests has started promptly (WorkspaceQueue::MaxShortWait)
     * for this long. A burst that fits the target ends sooner.
     */
    std::chrono::milliseconds overloadDelay{1000};
    /**
     * Maximum wait in an overloaded queue. Long enough to bridge the gap between two arrivals, short enough that a
     * refused caller learns it soon.
     */
    std::chrono::milliseconds maxOverloadWait{500};
    /** A request counts as long when its cost exceeds this multiple of the average cost. */
    double longRequestFactor = 4;
    /** Share of the slots that long requests may hold while short requests keep arriving. */
    double longRequestShare = 0.5;
};

/** The request was started at once. */
struct Started
{
};

/** The request waits. Either startNext() returns it, or collectAbandoned() reports why it does not run. */
struct Queued
{
};

/** Result of offering a request; an error always means that the request did not run. */
using OfferResult = std::variant<Started, Queued, Error>;

/** A request that waited and will not be started. */
struct AbandonedRequest
{
    RequestId id{};
    Error error{};
};

/** Current load of a target, as it reports it to entries. */
struct AdmissionLoad
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t limit = 0; ///< maximum number of running requests
    double waitingCost = 0;
    double runningCost = 0;
    double pressure = 1; ///< cost offered divided by cost started over the last seconds; 1 while nothing is refused
    double capacity = 0; ///< cost that runs when average requests occupy all slots; 0 before the first request
};

/**
 * Decides at a target which requests start, which wait and which are refused.
 *
 * Load pattern: many entries, each of which sees only its own traffic, send more than the target can process, most of
 * it from a few workspaces. Limits hold in total only if a single queue sees all requests. With a second queue at the
 * entries, each queue would act as if it were the only one, and requests would expire in the other. Entries therefore
 * never queue.
 *
 * - Shares: start-time fair queueing by cost. Each workspace has a tag that advances by cost / weight of the requests
 *   started; the workspace with the lowest tag is served next. Without it the workspace that sends most receives most.
 * - Priority moves a workspace ahead by a bounded offset of its tag (one average request per priority step), so that
 *   urgent requests start sooner while the share of their workspace stays the same. For the order of the requests of
 *   one workspace see WorkspaceQueue.
 * - Deadlines: a request that cannot finish in time at the measured service rate is refused as not run, either on
 *   arrival or as soon as this becomes true while it waits (see nextSweep()).
 * - Overload of a workspace's queue: the newest viable request is served first, and requests that have waited for
 *   maxOverloadWait are abandoned, so that callers get an answer or a refusal within about a second. Overload is judged
 *   by waiting times, not by whether the queue is occupied: a queue that is served promptly on each of its turns is
 *   within its share, however often it fills.
 * - Long requests leave half of the slots to short requests while there are any.
 *
 * After every call that may free a slot (offer, finish, setLimit, cancel) the owner calls startNext() until it returns
 * nothing, then collectAbandoned(). Single-threaded; has no clock of its own.
 */
class AdmissionQueue
{
public:
    /** Creates an empty queue that lets one request run at a time until setLimit() is called. */
    explicit AdmissionQueue(AdmissionOptions options = {});

    /** Offers @p request at @p now. A refusal says when a retry can succeed. */
    OfferResult offer(const WorkRequest &request, SteadyTime now);

    /**
     * Starts the next request and returns its id; nothing if none waits or all slots are taken. The request holds its
     * slot until finish().
     */
    std::optional<RequestId> startNext(SteadyTime now);

    /**
     * Records that the started request @p id has ended.
     * @param actualCost tokens that it actually used; corrects the cost charged to its workspace
     */
    void finish(const RequestId &id, double actualCost, SteadyTime now);

    /**
     * Cancels the request @p id because its caller has disconnected. Returns true if it was waiting, in which case it
     * never runs. Returns false for a running request, which continues.
     */
    bool cancel(const RequestId &id);

    /** Sets how many requests may run at a time, at least 1. Never stops running requests. */
    void setLimit(std::size_t limit);

    /** Abandons all waiting requests as not run and refuses new ones from now on. Running requests continue. */
    void drain();

    /** Returns the requests abandoned since the last call, each exactly once. */
    std::vector<AbandonedRequest> collectAbandoned();

    /**
     * Abandons requests that can no longer finish in time. startNext() calls it too; the owner sets a timer for
     * nextSweep().
     */
    void sweep(SteadyTime now);

    /** Returns the earliest time at which sweep() has work to do, or nothing. */
    std::optional<SteadyTime> nextSweep() const;

    /** Returns the current load. */
    AdmissionLoad load() const;

    /** Returns the number of running requests. */
    std::size_t running() const;

    /** Returns the number of waiting requests. */
    std::size_t waiting() const;

private:
    struct Share
    {
        WorkspaceQueue queue{};
        double tag = 0; ///< cost / weight started so far, in virtual time common to all workspaces
        double weight = 1;
        double deferredCost = 0; ///< cost refused with a retry delay and not yet worked off
        SteadyTime deferredAt{};
    };

    struct Running
    {
        WorkspaceName workspace{};
        double cost = 0;
        SteadyTime started{};
        bool isLong = false;
    };

    Share &shareFor(const WorkRequest &request);
    double fairSlots(const Share &share) const;
    bool isOverloaded(const Share &share, SteadyTime now) const;
    bool mayStartLong(SteadyTime now) const;
    std::chrono::microseconds expectedWait(const Share &share, SteadyTime now) const;
    std::chrono::milliseconds retryDelay(Share &share, double cost, SteadyTime now);
    Error makeRefusal(ErrorKind kind, Share &share, double cost, SteadyTime now);
    ErrorKind overloadKind(const Share &share) const;
    void abandon(Share &share, std::optional<WorkspaceQueue::QueuedRequest> waiting, ErrorKind kind, SteadyTime now);
    void abandonStale(Share &share, SteadyTime now);
    void scheduleSweep(const Share &share, SteadyTime now);
    bool makeRoom(Share &share, SteadyTime now);
    void decayPressure(SteadyTime now);
    void start(Share &share, const WorkRequest &request, bool isLong, SteadyTime now);

    AdmissionOptions m_options;
    std::map<WorkspaceName, Share> m_shares; ///< ordered, so that equal tags are served in the same order everywhere
    std::unordered_map<RequestId, WorkspaceName> m_waiting;
    std::unordered_map<RequestId, Running> m_running;
    std::vector<AbandonedRequest> m_abandoned;
    ServiceRate m_rate;
    std::optional<SteadyTime> m_nextSweep;
    std::optional<SteadyTime> m_lastShortArrival; ///< when the last short request arrived
    double m_virtualTime = 0;
    double m_activeWeight = 0; ///< sum of the weights of workspaces with waiting requests
    double m_offeredCost = 0; ///< cost offered recently, decaying exponentially
    double m_startedCost = 0; ///< cost started recently, decaying at the same rate
    SteadyTime m_decayedAt{};
    double m_averageCost = 0; ///< over all offered requests
    std::size_t m_limit = 1;
    std::size_t m_longRunning = 0;
    bool m_draining = false;
};

} // namespace Heatherridge
