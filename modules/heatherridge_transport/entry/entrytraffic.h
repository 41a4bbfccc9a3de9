#pragma once

#include "heatherridge_coordination/heatherridge_coordination.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/entry/callerrequest.h"
#include "heatherridge_transport/entry/requestjournal.h"
#include "heatherridge_transport/entry/targettracker.h"
#include "heatherridge_transport/entry/targetlinks.h"
#include "heatherridge_transport/http/httpserver.h"

#include <memory>
#include <unordered_map>

namespace Heatherridge
{

struct EntryCall;

/**
 * One traffic thread of an entry: places callers' requests on targets and passes their answers back.
 *
 * Owns the calls it has open; nothing of one call is ever reached through another's id. Methods may be called from any
 * thread unless they say otherwise.
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

    /** Not started yet. @p metrics and @p journal must outlive it. */
    EntryTraffic(Options options, Metrics &metrics, RequestJournal &journal);
    ~EntryTraffic();

    EntryTraffic(const EntryTraffic &) = delete;
    EntryTraffic &operator=(const EntryTraffic &) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread; calls that are still open are dropped. */
    void stop();

    /** A new configuration is in force. */
    void setView(std::shared_ptr<const ConfigView> view);

    /** Takes a checked request, which will be answered through @p exchange. */
    void submit(CallerRequest request, std::shared_ptr<HttpExchange> exchange);

    /** How many calls are open. */
    std::size_t openCalls() const;

    /** What is known of every target in the inventory, for the operator. */
    struct TargetStatus
    {
        TargetName target{};
        bool isLinked = false; ///< this entry keeps a link to it
        bool isUp = false; ///< the link is connected
        LoadReport report{};
    };
    std::vector<TargetStatus> targets();

private:
    using Call = std::shared_ptr<EntryCall>;

    void begin(const Call &call);
    void attempt(const Call &call);
    void deadlinePassed(const RequestId &id);
    std::vector<const Target *> candidates(const EntryCall &call) const;
    std::vector<TargetView> viewsOf(const std::vector<const Target *> &targets, const EntryCall &call,
                                    SteadyTime now) const;
    bool isUsable(const Target &target, const EntryCall &call) const;
    void received(const TargetName &target, const TrafficMessage &message);
    bool isBusy(const TargetName &target) const;
    void linkDown(const TargetName &target);
    void takeHead(const Call &call, const AnswerHead &head);
    void takeChunk(const Call &call, const AnswerChunk &chunk);
    void takeEnd(const Call &call, const AnswerEnd &end);
    void beginBody(const Call &call);
    void passOn(const Call &call, const Bytes &bytes);
    void attemptFailed(const Call &call, const Error &error);
    bool readKey(EntryCall &call) const;
    const Target *holderFor(const EntryCall &call, const std::vector<const Target *> &targets) const;
    bool followRedirect(const Call &call, const TargetName &askAt);
    void place(const Call &call, const TargetName &target, std::chrono::milliseconds left);
    void finish(const Call &call, const std::string &outcome);
    void fail(const Call &call, Error error);
    void cancelAtTarget(const Call &call);
    void callerGone(const RequestId &id);
    void leaveTarget(EntryCall &call, AttemptOutcome attempt);

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
    DurationHistogram &m_firstByte;
    DurationHistogram &m_whole;
};

} // namespace Heatherridge
