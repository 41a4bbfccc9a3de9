#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/servicerate.h"
#include "heatherridge_state/decisions/workspacelane.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Bounds of an AdmissionQueue. */
struct AdmissionOptions
{
    /** Waiting requests in all. At 16 slots and half a second a request, 256 are 8 s of work: beyond it callers are
     * better served by an answer at once. */
    std::size_t queueCapacity = 256;
    /** Cost that a workspace may receive ahead of its share after a pause: about 16 calls of 500 tokens, the burst of
     * one page that asks several questions. */
    double burst = 8'000;
    /** A lane is overloaded when for so long none of its requests started promptly (WorkspaceLane::PromptWait): a burst
     * that fits the target ends sooner. */
    std::chrono::milliseconds overloadDelay{1000};
    /** Longest wait in an overloaded lane: bridges the gap between two arrivals, and a refused caller knows soon. */
    std::chrono::milliseconds maxOverloadWait{500};
    /** A request is long from this multiple of the average cost on. */
    double longRequestFactor = 4;
    /** Slots that long requests may hold while short ones have been asking. */
    double longRequestShare = 0.5;
};

/** A request that was started at once. */
struct Started
{
};

/** A request that waits; take() hands it out, or collectGivenUp() says why not. */
struct Queued
{
};

/** What becomes of an offered request; an error always means that it did not run. */
using OfferResult = std::variant<Started, Queued, Error>;

/** A request that waited and will not be started. */
struct AbandonedRequest
{
    RequestId id{};
    Error error{};
};

/** What a target is busy with, as it reports it to entries. */
struct AdmissionLoad
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t limit = 0; ///< how many may run at a time
    double waitingCost = 0;
    double runningCost = 0;
    double pressure = 1; ///< cost offered over cost started in the last seconds; 1 while nothing is refused
    double capacity = 0; ///< cost that runs when all slots are taken by average requests; 0 before the first request
};

/**
 * Decides at a target which requests start, which wait and which are refused.
 *
 * Load pattern: many entries, each of which sees only its own part, send more than the target can do, most of it from
 * few workspaces. Without one queue at the one place that sees all, limits do not hold in sum; with a second queue at
 * the entries each would think it is the only one, and work would expire in the other. Hence entries never queue.
 *
 * - Shares: start-time fair queueing over cost. Each lane has a tag that advances by cost / weight of what was
 *   started; the lowest tag goes next. Without it the workspace that sends most receives most.
 * - Priority brings a lane forward by a bounded lead of its tag (one average request a step), so that urgent work
 *   starts sooner but its workspace's share stays the same; within a lane see WorkspaceLane.
 * - Deadlines: what cannot finish in time by the measured rate is refused at once as not run, on arrival or as soon as
 *   it becomes so while it waits (see nextSweep()).
 * - Overload of a lane: the newest viable request is served first, and what has waited overloadedWait is given up, so
 *   that callers get their answer or refusal within about a second. A lane is judged by its waits, not by being
 *   occupied: one that is served promptly whenever its turn comes is within its share, however often it fills.
 * - Long requests leave half of the slots to short ones while there are any.
 *
 * After every call that may free a slot (offer, finish, setLimit, cancel) the owner calls take() until it returns
 * nothing and then collectGivenUp(). One thread; no clock of its own.
 */
class AdmissionQueue
{
public:
    /** An empty queue that lets one request run at a time until setLimit(). */
    explicit AdmissionQueue(AdmissionOptions options = {});

    /** Asks for a place for @p request at @p now. A refusal says when asking again can help. */
    OfferResult offer(const WorkRequest &request, SteadyTime now);

    /** The request to start next, or nothing when none waits or all slots are taken. It holds a slot until finish(). */
    std::optional<RequestId> startNext(SteadyTime now);

    /**
     * The started request @p id has ended.
     * @param actualCost tokens it really took; corrects what its workspace was charged
     */
    void finish(const RequestId &id, double actualCost, SteadyTime now);

    /** The caller of @p id has gone. Returns whether it was waiting, and then it never runs; false leaves it running.
     */
    bool cancel(const RequestId &id);

    /** Sets how many requests may run at a time; at least 1. Running ones are never stopped. */
    void setLimit(std::size_t limit);

    /** Gives up all waiting requests as not run and refuses new ones from now on. Running ones go on. */
    void drain();

    /** Requests given up since the last call, each reported exactly once. */
    std::vector<AbandonedRequest> collectAbandoned();

    /** Gives up what cannot finish any more. Called by take() too; the owner sets a timer for nextSweep(). */
    void sweep(SteadyTime now);

    /** When sweep() has something to do at the earliest, or nothing. */
    std::optional<SteadyTime> nextSweep() const;

    /** What runs and waits now. */
    AdmissionLoad load() const;

    /** How many run now. */
    std::size_t running() const;

    /** How many wait now. */
    std::size_t waiting() const;

private:
    struct Share
    {
        WorkspaceLane lane{};
        double tag = 0; ///< cost / weight started so far, on the common virtual time line
        double weight = 1;
        double deferredCost = 0; ///< cost refused with a time to come back, worked off since
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
    void abandon(Share &share, std::optional<WorkspaceLane::Waiting> waiting, ErrorKind kind, SteadyTime now);
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
    std::optional<SteadyTime> m_lastShortArrival; ///< when a short request last came
    double m_virtualTime = 0;
    double m_activeWeight = 0; ///< sum of the weights of lanes with waiting requests
    double m_offeredCost = 0; ///< cost offered lately, fading
    double m_startedCost = 0; ///< cost started lately, fading alike
    SteadyTime m_decayedAt{};
    double m_averageCost = 0; ///< of all offered requests
    std::size_t m_limit = 1;
    std::size_t m_longRunning = 0;
    bool m_draining = false;
};

} // namespace Heatherridge
