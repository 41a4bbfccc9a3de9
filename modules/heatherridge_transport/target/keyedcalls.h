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
 * The part of a target's process that takes calls with an idempotency key: one KeyGate a shard of its service, the
 * log behind them, and the connections to the other processes of the service.
 *
 * A call reaches the back end only through the run event. All methods on the loop's thread.
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

    /** What the owner does. */
    struct Events
    {
        /** Send the call to the back end once, and report with served(); a refusal before that too. */
        std::function<void(const Uuid7 &key, const SubmitRequest &request, SteadyTime deadline)> run{};
        /** Send @p message to the entry behind the socket. */
        std::function<void(const Socket &entry, const TrafficMessage &message)> answer{};
    };

    /** Calls on @p loop; all references must outlive it. */
    KeyedCalls(EventLoop &loop, Options options, const FrameEncoder &encoder, Metrics &metrics, Events events);
    ~KeyedCalls();

    KeyedCalls(const KeyedCalls &) = delete;
    KeyedCalls &operator=(const KeyedCalls &) = delete;

    /** Starts its timers. Before the loop runs. */
    void start();

    /** A new configuration is in force. The first one that lists the target opens the shards. */
    void setView(const std::shared_ptr<const ConfigView> &view);

    /** Takes no new calls and hands the shards over to whoever asks. */
    void drain();

    /** Whether @p request is for a gate: it has a key and may not be repeated. */
    bool accepts(const SubmitRequest &request) const;

    /** Takes @p request of @p entry. It is answered once, unless the entry goes. */
    void submit(const Socket &entry, const SubmitRequest &request, SteadyTime deadline);

    /** The entry gives @p id up. Ignored when unknown. */
    void cancel(const RequestId &id);

    /** Nobody waits behind @p entry any more. */
    void handleEntryDisconnect(const Socket &entry);

    /** What came of a run event. */
    void completeCall(const Uuid7 &key, const Result<StoredAnswer> &result);

    /** A frame of Channel::Keys from another process. */
    void receive(const Envelope &envelope);

    /** Records that are not in the log yet, and calls not yet answered. */
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
    ServiceName m_service; ///< empty until the inventory lists the target as one of a plain service
    Shards m_shards;
    std::map<ProcessName, Peer> m_peers;
    std::map<AttemptId, PendingCall> m_pendingCalls;
    std::map<RequestId, AttemptId> m_attempts;
    std::map<std::string, std::uint64_t> m_exportedCounts; ///< what the counters have been given so far
    std::uint64_t m_lastAttempt = 0;
    SteadyTime m_openedAt{};
    int m_ticks = 0;
    bool m_draining = false;
};

} // namespace Heatherridge
