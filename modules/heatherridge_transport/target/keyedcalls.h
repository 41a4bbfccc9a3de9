#pragma once

#include "heatherridge_transport/app/configview.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/cxx17/peersocket.h"
#include "heatherridge_transport/entry/targetlinks.h"
#include "heatherridge_transport/http/httpclient.h"
#include "heatherridge_transport/platform/httplogservice.h"
#include "heatherridge_transport/target/keyshardlink.h"

#include <array>
#include <map>
#include <memory>

namespace Heatherridge
{

/**
 * The part of a target's process that handles calls with an idempotency key: one KeyGate per shard of its service, the
 * log that they use, and the connections to the other processes of the service.
 *
 * A call reaches the back end only through the run event. All methods must be called on the loop's thread.
 */
class KeyedCalls
{
public:
    using Socket = std::shared_ptr<PeerSocket>;

    struct Options
    {
        TargetName target{};
        Incarnation incarnation{};
        Endpoint logService{};
    };

    /** Callbacks to the owner. */
    struct Events
    {
        /** Sends the call to the back end once and reports the outcome with completeCall(), also if the call is refused
         * before it is sent. */
        std::function<void(const Uuid7 &key, const SubmitRequest &request, SteadyTime deadline)> run{};
        /** Sends @p message to the entry connected through the socket. */
        std::function<void(const Socket &entry, const TrafficMessage &message)> answer{};
    };

    /** Creates an object that runs on @p loop. All references must outlive it. */
    KeyedCalls(EventLoop &loop, Options options, const FrameEncoder &encoder, Metrics &metrics, Events events);
    ~KeyedCalls();

    KeyedCalls(const KeyedCalls &) = delete;
    KeyedCalls &operator=(const KeyedCalls &) = delete;

    /** Starts the timers. Must be called before the loop runs. */
    void start();

    /** Called when a new configuration takes effect. The first one that lists the target opens the shards. */
    void setView(const std::shared_ptr<const ConfigView> &view);

    /** Stops accepting new calls and hands the shards over to processes that request them. */
    void drain();

    /** Returns whether @p request must go through a key gate: it has a key and must not be repeated. */
    bool accepts(const SubmitRequest &request) const;

    /** Accepts @p request of @p entry. It is answered once, unless the entry cancels it or disconnects. */
    void submit(const Socket &entry, const SubmitRequest &request, SteadyTime deadline);

    /** Cancels the request @p id on behalf of its entry. Unknown ids are ignored. */
    void cancel(const RequestId &id);

    /** Cancels all requests of @p entry, whose connection was closed. */
    void handleEntryDisconnect(const Socket &entry);

    /** Reports the outcome of a run event. */
    void completeCall(const Uuid7 &key, const Result<StoredAnswer> &result);

    /** Processes a frame of Channel::Keys from another process. */
    void receive(const Envelope &envelope);

    /** Returns whether all records are in the log and all calls have been answered. */
    bool isIdle() const;

private:
    struct PendingCall
    {
        Socket entry{};
        SubmitRequest request{};
        SteadyTime deadline{};
    };

    struct Peer
    {
        Incarnation incarnation{};
        SteadyTime lastHeard{};
    };

    using Shards = std::array<std::unique_ptr<KeyShardLink>, KeyShardCount>;

    void open(const Target &target);
    void tick();
    void updatePlacement();
    KeyPlacement placementOf(KeyShard shard, SteadyTime now) const;
    bool isAlive(const Target &target, SteadyTime now) const;
    void sendPresence();
    void handlePeerDisconnect(const TargetName &target);
    void sendFrame(KeyShard shard, const GateId &to, const KeyMessage &message);
    void perform(KeyShard shard, const KeyAction &action);
    void answer(const AttemptId &attempt, const KeyReply &reply);
    void updateCounters();
    KeyShardLink &shardFor(const Uuid7 &key);

    EventLoop &m_loop;
    Options m_options;
    GateId m_ownGate;
    Metrics &m_metrics;
    Events m_events;
    HttpClient m_client;
    HttpLogService m_log;
    TargetLinks m_links;
    std::shared_ptr<const ConfigView> m_view;
    ServiceName m_service; ///< empty until the inventory lists the target as part of a plain service
    Shards m_shards;
    std::map<ProcessName, Peer> m_peers;
    std::map<AttemptId, PendingCall> m_pendingCalls;
    std::map<RequestId, AttemptId> m_attempts;
    std::map<std::string, std::uint64_t> m_exportedCounts; ///< totals added to the metrics so far
    std::uint64_t m_lastAttempt = 0;
    SteadyTime m_openedAt{};
    int m_ticks = 0;
    bool m_draining = false;
};

} // namespace Heatherridge
