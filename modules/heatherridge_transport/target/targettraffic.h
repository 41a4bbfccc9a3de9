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
 * The traffic thread of the process beside a target: the only source of the target's requests.
 *
 * Requests arrive from entries over message connections; a single queue for all of them decides which start, wait or
 * are refused. Because nothing else sends requests to the target, a request that this class reports as "not run" has
 * not run. Methods may be called from any thread unless stated otherwise.
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
        std::uint64_t windowBytes = 256UL << 10U; ///< maximum bytes sent beyond those that the entry has forwarded
        std::chrono::milliseconds maxConfigWait{500}; ///< maximum wait for the configuration that a request depends on
    };

    /** Current load and drain state. */
    struct Status
    {
        AdmissionLoad load{};
        bool draining = false;
        DrainReport drain{}; ///< running requests with their ages, and whether new requests are accepted
        bool keysIdle = true; ///< whether no call with a key is open and all outcomes are in the log
    };

    /** Creates a thread that is not started yet. @p metrics must outlive it. */
    TargetTraffic(Options options, Metrics &metrics);
    ~TargetTraffic();

    TargetTraffic(const TargetTraffic &) = delete;
    TargetTraffic &operator=(const TargetTraffic &) = delete;

    /** Starts the thread and listens. @returns the endpoint that serves entries, or the error */
    Result<Endpoint> start();

    /** Stops the thread. Aborts running requests. @see drain */
    void stop();

    /** Sets the receiver of frames of Channel::Group, which is called on the traffic thread. Must be called before
     * start(). */
    void setGroupReceiver(std::function<void(const Envelope &)> receiver);
    /** Receives the control frames that peers send to this listener; called on the traffic thread. */
    struct ControlSink
    {
        std::function<void(const std::shared_ptr<PeerSocket> &peer, const Envelope &envelope)> frame{};
        std::function<void(const std::shared_ptr<PeerSocket> &peer)> disconnected{};
    };

    /** Sets the receiver of control frames. Must be called before start(). */
    void setControlSink(ControlSink sink);

    /** Sends @p frame over @p peer, a connection that the peer opened. */
    void sendFrame(const std::shared_ptr<PeerSocket> &peer, Bytes frame);

    /** Called when a new configuration takes effect. */
    void setView(std::shared_ptr<const ConfigView> view);

    /** Stops accepting new requests and refuses waiting ones as not run; running ones continue. */
    void drain();

    /** Returns the current load and drain state. Must not be called on the traffic thread. */
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
    double m_pace = 0; ///< smoothed time between tokens, or until the head of a plain call's answer, in microseconds
    int m_ticksSinceReport = 0;
    bool m_draining = false;
    DrainTracker m_drain;
    Counter &m_startedCount;
    Counter &m_finishedCount;
    Counter &m_strayFrames;
    DurationHistogram &m_waitingTime;
};

} // namespace Heatherridge
