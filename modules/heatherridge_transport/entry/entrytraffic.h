#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/entry/callerrequest.h"
#include "heatherridge_transport/entry/requestjournal.h"
#include "heatherridge_transport/entry/targetlinks.h"
#include "heatherridge_transport/entry/targettracker.h"
#include "heatherridge_transport/http/httpserver.h"

#include <memory>
#include <unordered_map>

namespace Heatherridge
{

struct EntryCall;

/**
 * One traffic thread of an entry: sends callers' requests to targets and returns the answers.
 *
 * Owns its open calls; no part of a call is accessible through the id of another one. Methods may be called from any
 * thread unless stated otherwise.
 */
class EntryTraffic
{
public:
    struct Options
    {
        ProcessName process{};
        Incarnation incarnation{};
        ZoneName zone{};
        LinkPlanOptions links{};
    };

    /** Creates a thread that is not started yet. @p metrics and @p journal must outlive it. */
    EntryTraffic(Options options, Metrics &metrics, RequestJournal &journal);
    ~EntryTraffic();

    EntryTraffic(const EntryTraffic &) = delete;
    EntryTraffic &operator=(const EntryTraffic &) = delete;

    /** Starts the thread. */
    void start();

    /** Stops the thread. Drops calls that are still open. */
    void stop();

    /** Called when a new configuration takes effect. */
    void setView(std::shared_ptr<const ConfigView> view);

    /** Accepts a validated request, which is answered through @p exchange. */
    void submit(CallerRequest request, std::shared_ptr<HttpExchange> exchange);

    /** Returns the number of open calls. */
    std::size_t openCalls() const;

    /** State of a target in the inventory, for the operator. */
    struct TargetStatus
    {
        TargetName target{};
        bool isLinked = false; ///< whether this entry maintains a link to it
        bool isUp = false; ///< whether the link is connected
        LoadReport report{};
    };
    std::vector<TargetStatus> targets();

private:
    using Call = std::shared_ptr<EntryCall>;

    void startCall(const Call &call);
    void startAttempt(const Call &call);
    void handleDeadline(const RequestId &id);
    std::vector<const Target *> candidates(const EntryCall &call) const;
    std::vector<TargetView> makeViews(const std::vector<const Target *> &targets, const EntryCall &call,
                                      SteadyTime now) const;
    bool isUsable(const Target &target, const EntryCall &call) const;
    void handleMessage(const TargetName &target, const TrafficMessage &message);
    bool isBusy(const TargetName &target) const;
    void handleLinkDown(const TargetName &target);
    void handleHead(const Call &call, const AnswerHead &head);
    void handleChunk(const Call &call, const AnswerChunk &chunk);
    void handleEnd(const Call &call, const AnswerEnd &end);
    void beginBody(const Call &call);
    void forwardBytes(const Call &call, const Bytes &bytes);
    void handleAttemptFailure(const Call &call, const Error &error);
    bool parseKey(EntryCall &call) const;
    const Target *findKeyHolder(const EntryCall &call, const std::vector<const Target *> &targets) const;
    bool followRedirect(const Call &call, const TargetName &askAt);
    void dispatchAttempt(const Call &call, const TargetName &target, std::chrono::milliseconds left);
    void completeAnswer(const Call &call);
    void finish(const Call &call, const std::string &outcome);
    void fail(const Call &call, Error error);
    void cancelAtTarget(const Call &call);
    void handleCallerDisconnect(const RequestId &id);
    void endAttempt(EntryCall &call, AttemptOutcome attempt);

    Options m_options;
    Metrics &m_metrics;
    RequestJournal &m_journal;
    EventLoop m_loop;
    std::shared_ptr<const ConfigView> m_view;
    FrameEncoder m_encoder;
    std::unique_ptr<TargetLinks> m_links;
    SeededRandom m_random;
    RetryPolicy m_retries;
    std::unique_ptr<Placement> m_placement;
    TargetTracker m_tracker;
    std::unordered_map<RequestId, Call> m_calls;
    std::atomic<std::size_t> m_openCalls{0};
    Counter &m_requests;
    Counter &m_answers;
    Counter &m_strayFrames;
    DurationHistogram &m_timeToFirstByte;
    DurationHistogram &m_answerDuration;
};

} // namespace Heatherridge
