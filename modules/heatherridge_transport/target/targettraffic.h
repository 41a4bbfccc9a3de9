#pragma once

#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/link/frameencoder.h"
#include "heatherridge_transport/target/backendwork.h"
#include "heatherridge_transport/target/drainstatus.h"
#include "heatherridge_transport/target/heldrequests.h"
#include "heatherridge_transport/target/keyedcalls.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Heatherridge
{

/**
 * The traffic thread of the process beside a target: the only one that gives the target work.
 *
 * Requests come from entries over message connections; the one queue that sees all of them decides what starts, waits
 * or is refused. Because nobody else gives the target work, what this class calls "not run" has not run.
 * Methods may be called from any thread unless they say otherwise.
 *
 * @see AdmissionQueue, ConcurrencyLimit
 */
class TargetTraffic
{
public:
    struct Options
    {
        TargetName target{};
        Incarnation incarnation{};
        Endpoint listen{}; ///< for entries
        Endpoint logService{}; ///< the platform's log, for idempotency keys
        std::uint64_t windowBytes = 256UL << 10U; ///< most that is sent ahead of what the entry has passed on
        std::chrono::milliseconds maxConfigWait{500}; ///< longest wait for the configuration that a request relies on
    };

    /** What it is busy with. */
    struct Status
    {
        AdmissionLoad load{};
        bool draining = false;
        DrainReport drain{}; ///< what runs and since when, and whether new work is taken
        bool keysIdle = true; ///< no call with a key is open, and all outcomes are in the log
    };

    /** Not started yet. @p metrics must outlive it. */
    TargetTraffic(Options options, Metrics &metrics);
    ~TargetTraffic();

    TargetTraffic(const TargetTraffic &) = delete;
    TargetTraffic &operator=(const TargetTraffic &) = delete;

    /** Starts the thread and listens. @returns where, or why not */
    Result<Endpoint> start();

    /** Ends the thread; what runs is cut. @see drain */
    void stop();

    /** Where frames of Channel::Group go; called on the traffic thread. Before start(). */
    void setGroupReceiver(std::function<void(const Envelope &)> receiver);
    /** Who takes the control frames that peers send to this listener; on the traffic thread. */
    struct ControlSink
    {
        std::function<void(const std::shared_ptr<PeerSocket> &peer, const Envelope &envelope)> frame{};
        std::function<void(const std::shared_ptr<PeerSocket> &peer)> disconnected{};
    };

    /** Sets who takes control frames. Before start(). */
    void setControlSink(ControlSink sink);

    /** Sends @p frame to @p peer, a connection that it opened. */
    void sendFrame(const std::shared_ptr<PeerSocket> &peer, Bytes frame);

    /** A new configuration is in force. */
    void setView(std::shared_ptr<const ConfigView> view);

    /** Takes no new work from now on and hands waiting requests back as not run; running ones go on. */
    void drain();

    /** What it is busy with. Not from its own thread. */
    Status status();

private:
    using Work = std::shared_ptr<BackendWork>;
    using Socket = std::shared_ptr<PeerSocket>;

    void receive(const Socket &entry, const Bytes &frame);
    void receiveTraffic(const Socket &entry, const Envelope &envelope);
    void submit(const Socket &entry, const SubmitRequest &request, LogOffset requiredOffset);
    void admit(const Socket &entry, const SubmitRequest &request, SteadyTime arrived);
    std::optional<ErrorKind> refusalFor(const SubmitRequest &request) const;
    void enqueue(const Work &work);
    void runKeyed(const Uuid7 &key, const SubmitRequest &request, SteadyTime deadline);
    void refuseWork(const Work &work, const Error &error);
    void cancel(const RequestId &id);
    void handleCredit(const GrantCredit &grant);
    void handleEntryDisconnect(const Socket &entry);
    void start(const Work &work);
    void handleHead(const Work &work, int status, const std::vector<HttpHeader> &headers);
    bool handleData(const Work &work, std::string_view bytes);
    void handleFinished(const Work &work);
    void handleFailed(const Work &work, const HttpClient::Failure &failure);
    void finish(const Work &work);
    void processQueue();
    void tick();
    void releaseHeld();
    void rejectWaiting(ErrorKind kind);
    void reportLoad(bool always);
    void updateQueueLimit();
    void recordPace(std::chrono::microseconds time);
    double loadFromEntry(const Socket &entry) const;
    double pendingPromptTokens() const;
    void refuse(const Socket &entry, const RequestId &id, const Error &error);
    void send(const Socket &entry, const TrafficMessage &message);
    const Target *ownTarget() const;

    Options m_options;
    Metrics &m_metrics;
    EventLoop m_loop;
    std::shared_ptr<const ConfigView> m_view;
    FrameEncoder m_encoder;
    std::unique_ptr<PeerListener> m_listener;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<KeyedCalls> m_keys;
    AdmissionQueue m_queue;
    std::unique_ptr<ConcurrencyLimit> m_limit;
    std::function<void(const Envelope &)> m_groupReceiver;
    ControlSink m_controlSink;
    std::set<Socket> m_entries;
    std::unordered_map<RequestId, Work> m_work;
    HeldRequests m_held;
    double m_pace = 0; ///< smoothed microseconds between tokens, or of a plain call
    int m_ticksSinceReport = 0;
    bool m_draining = false;
    DrainTracker m_drain;
    Counter &m_startedCount;
    Counter &m_finishedCount;
    Counter &m_strayFrames;
    DurationHistogram &m_waitingTime;
};

} // namespace Heatherridge
