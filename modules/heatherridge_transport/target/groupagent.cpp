#include "heatherridge_transport/target/groupagent.h"

#include "heatherridge_coordination/groups/groupplanner.h"
#include "heatherridge_coordination/groups/orderqueue.h"
#include "heatherridge_coordination/groups/rankgate.h"
#include "heatherridge_protocol/grouprecord.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/link/frameencoder.h"
#include "heatherridge_transport/platform/httplogservice.h"
#include "heatherridge_transport/target/ranklinks.h"

namespace Heatherridge
{

namespace
{

/** Time without messages from the leader after which the lowest rank claims the role. Each further rank waits
 * ClaimStagger longer, so that only one rank makes a claim. */
constexpr std::chrono::seconds LeaderSilenceTimeout{4};
constexpr std::chrono::seconds ClaimStagger{1};
constexpr std::chrono::milliseconds ReadWait{5000};
constexpr std::chrono::milliseconds ReadRetryDelay{500};
constexpr std::size_t ReadRecords = 64;
constexpr std::chrono::milliseconds OrderTimeout{5000};
/** Assumed bandwidth of the weight store for one group, as the store does not report it yet. */
constexpr double WeightStoreBytesPerSecond = 2e9;
/** Number of maps kept that the leader ordered to load, so that this process knows their placement when it becomes the
 * leader. */
constexpr std::size_t MaxKnownMaps = 8;

} // namespace

class GroupAgent::Implementation : public std::enable_shared_from_this<GroupAgent::Implementation>
{
public:
    Implementation(Options options, EventLoop &loop, Metrics &metrics)
        : m_options(std::move(options))
        , m_loop(loop)
        , m_metrics(metrics)
        , m_view(std::make_shared<ConfigView>())
    {
    }

    void start()
    {
        m_http = std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{});
        m_log = std::make_unique<HttpLogService>(*m_http, HttpLogService::Options{.endpoint = m_options.logService});
        m_links = std::make_unique<RankLinks>(m_loop.context());
        joinGroup();
        tick();
    }

    void stop()
    {
        m_stopped = true;
        m_links.reset();
        m_log.reset();
        m_http.reset();
    }

    void setView(const std::shared_ptr<const ConfigView> &view)
    {
        m_view = view;
        joinGroup();
        if (m_planner) {
            m_planner->setRanks(plannedRanks());
            m_planner->setWeights(m_view->rules->balance());
        }
    }

    void receive(const Envelope &envelope)
    {
        const auto frame = decodeGroupFrame(envelope.payload);
        if (errorIn(frame) != nullptr) {
            m_metrics.errors(ErrorKind::MalformedFrame).add();
            return;
        }
        const auto &[group, message] = std::get<GroupFrame>(frame);
        const auto *sender = m_view->inventory->find(TargetName(envelope.sender.text()));
        if (!m_gate || group != m_group || sender == nullptr || sender->group != m_group) {
            return;
        }
        handleMessage(message, sender->rank, envelope.incarnation);
    }

    nlohmann::ordered_json status() const
    {
        if (!m_gate) {
            return nullptr;
        }
        nlohmann::ordered_json json{{"group", m_group.text()},
                                    {"rank", m_rank},
                                    {"leads", m_leader != nullptr},
                                    {"fencing", m_claims.current() ? toNumber(m_claims.current()->fencing) : 0}};
        if (const auto &engine = m_gate->engineState()) {
            json["epoch"] = toNumber(engine->epoch);
            json["ranks"] = engine->ranks.size();
            json["map"] = toNumber(engine->map);
            json["step"] = toNumber(engine->next);
            json["undecided"] = engine->limit ? toNumber(engine->limit->map) : 0;
        }
        if (m_leader) {
            json["whole"] = m_leader->hasAllMembers();
            json["switches"] = m_leader->counters().switchesCommitted;
            json["epochs"] = m_leader->counters().epochsComposed;
        }
        return json;
    }

private:
    /** Starts the gate once the inventory lists this target in a group. */
    void joinGroup()
    {
        const auto *self = m_view->inventory->find(m_options.target);
        if (m_gate || self == nullptr || self->group.isEmpty() || !m_http) {
            return;
        }
        m_group = self->group;
        m_rank = self->rank;
        makeGate();
        readStream();
        logEvent(Severity::Info, "group-entered", {{"group", m_group.text()}, {"rank", std::to_string(m_rank)}});
    }

    /** Frames carry the incarnation of the gate, to which proposals are addressed. */
    FrameEncoder makeEncoder()
    {
        return {ProcessName(m_options.target.text()), m_run, [this] { return m_view; }};
    }

    void makeGate()
    {
        m_gate = std::make_unique<RankGate>(RankGate::Options{.rank = m_rank, .run = m_run});
        if (m_epochs.current()) {
            perform(m_gate->handleEpoch(*m_epochs.current()));
        }
    }

    void tick()
    {
        if (m_stopped) {
            return;
        }
        m_loop.after(m_options.tick, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tick();
            }
        });
        if (m_gate) {
            perform(m_gate->tick());
            updateMetrics();
            m_leaderSilence += m_options.tick;
            if (m_leader) {
                runLeader();
            } else if (m_leaderSilence > LeaderSilenceTimeout + m_rank * ClaimStagger) {
                claimLeadership();
            }
        }
    }

    /** Exports the state machines' counters as metrics. They restart from zero with the process, and the leader's also
     * whenever the role is acquired.
     */
    void updateMetrics()
    {
        const auto setGauge = [this](const char *name, std::uint64_t value) {
            m_metrics.gauge(std::string("heatherridge_group_") + name).set(static_cast<std::int64_t>(value));
        };
        const auto &gate = m_gate->counters();
        setGauge("agreed", gate.agreed);
        setGauge("refused_not_ready", gate.refusedNotReady);
        setGauge("refused_fenced", gate.refusedFenced);
        setGauge("refused_undecided", gate.refusedUndecided);
        setGauge("refused_cancelled", gate.refusedCancelled);
        setGauge("fenced_messages", gate.fencedMessages);
        setGauge("committed", gate.committed);
        setGauge("aborted", gate.aborted);
        setGauge("epochs_entered", gate.epochsEntered);
        setGauge("undecided_ticks", gate.undecidedTicks);
        if (m_leader) {
            const auto &leader = m_leader->counters();
            setGauge("leader_switches_committed", leader.switchesCommitted);
            setGauge("leader_switches_aborted", leader.switchesAborted);
            setGauge("leader_cancelled_restart", leader.cancelledRestart);
            setGauge("leader_cancelled_load", leader.cancelledLoad);
            setGauge("leader_epochs_composed", leader.epochsComposed);
            setGauge("leader_epochs_lost", leader.epochsSuperseded);
            setGauge("leader_appends_repeated", leader.appendsRepeated);
        }
    }

    void runLeader()
    {
        for (const auto *rank : m_view->inventory->ranksOf(m_group)) {
            // Regular messages from the leader keep the other ranks from claiming the role.
            send(rank->rank, StatusRequest{.leader = m_claims.current()->fencing});
        }
        perform(m_leader->tick());
        const auto &engine = m_gate->engineState();
        if (!m_planner && engine && engine->model.layers > 0) {
            m_planner = std::make_unique<GroupPlanner>(
                GroupPlanner::Options{.model = engine->model, .storeBytesPerSecond = WeightStoreBytesPerSecond},
                plannedRanks());
            m_planner->setWeights(m_view->rules->balance());
            for (const auto &[number, map] : m_maps) {
                m_planner->addMap(map);
            }
        }
        if (m_planner) {
            m_planner->proposeChanges(*m_leader, m_options.tick);
        }
    }

    std::vector<PlannedRank> plannedRanks() const
    {
        std::vector<PlannedRank> ranks;
        std::map<std::string, int> hosts;
        std::map<std::string, int> zones;
        for (const auto *target : m_view->inventory->ranksOf(m_group)) {
            const int host = hosts.try_emplace(target->host.text(), static_cast<int>(hosts.size())).first->second;
            const int zone = zones.try_emplace(target->zone.text(), static_cast<int>(zones.size())).first->second;
            ranks.push_back({.rank = target->rank,
                             .slots = target->expertSlots,
                             .isLeaving = !m_view->acceptsNewWork(*target),
                             .place = {.host = host, .zone = zone}});
        }
        return ranks;
    }

    void claimLeadership()
    {
        m_leaderSilence = {};
        const GroupClaim claim{.rank = m_rank,
                               .incarnation = m_run,
                               .replaces = m_claims.current() ? m_claims.current()->fencing : FencingNumber{}};
        // Whether the claim succeeds is known only when it is read back from the log, so the reply is ignored.
        m_log->append(stream(), encodeGroupRecord(claim), [](const Result<LogOffset> &) {});
    }

    StreamName stream() const
    {
        return StreamName("group-" + m_group.text());
    }

    void readStream()
    {
        if (m_stopped) {
            return;
        }
        m_log->read(stream(), m_nextOffset, ReadRecords, ReadWait,
                    [weak = weak_from_this()](const Result<LogPage> &page) {
                        if (const auto self = weak.lock(); self && !self->m_stopped) {
                            self->handlePage(page);
                        }
                    });
    }

    void handlePage(const Result<LogPage> &result)
    {
        if (errorIn(result) != nullptr) {
            m_loop.after(ReadRetryDelay, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->readStream();
                }
            });
            return;
        }
        const auto &page = std::get<LogPage>(result);
        for (const auto &record : page.records) {
            const auto decoded = decodeGroupRecord(record.payload);
            if (const auto *groupRecord = std::get_if<GroupRecord>(&decoded)) {
                handleRecord(record.offset, *groupRecord);
            }
            m_nextOffset = next(record.offset);
        }
        m_nextOffset = std::max(m_nextOffset, page.first);
        if (m_leader && m_nextOffset > page.last) {
            m_leader->setCaughtUp();
        }
        readStream();
    }

    void handleRecord(LogOffset offset, const GroupRecord &record)
    {
        std::visit(Visitor{
                       [&](const GroupClaim &claim) {
                           if (m_claims.apply(offset, claim)) {
                               changeLeader();
                           }
                       },
                       [&](const GroupEpoch &epoch) { handleEpochRecord(epoch); },
                   },
                   record);
    }

    void handleEpochRecord(const GroupEpoch &epoch)
    {
        m_epochs.apply(epoch);
        perform(m_gate->handleEpoch(epoch));
        if (m_leader) {
            perform(m_leader->handleEpoch(epoch));
        }
    }

    void changeLeader()
    {
        const auto &currentClaim = *m_claims.current();
        m_gate->handleClaim(currentClaim.fencing);
        m_leaderSilence = {};
        m_leader.reset();
        m_planner.reset();
        if (currentClaim.claim.rank != m_rank || currentClaim.claim.incarnation != m_run) {
            return;
        }
        std::vector<int> ranks;
        for (const auto *target : m_view->inventory->ranksOf(m_group)) {
            ranks.push_back(target->rank);
        }
        m_leader = std::make_unique<GroupLeader>(currentClaim.fencing, ranks);
        if (m_epochs.current()) {
            perform(m_leader->handleEpoch(*m_epochs.current()));
        }
        logEvent(Severity::Info, "group-leader",
                 {{"group", m_group.text()}, {"fencing", std::to_string(toNumber(currentClaim.fencing))}});
    }

    void handleMessage(const GroupMessage &message, int from, Incarnation run)
    {
        const int leader = m_claims.current() ? m_claims.current()->claim.rank : -1;
        if (from == leader) {
            m_leaderSilence = {};
        }
        if (const auto *load = std::get_if<LoadMap>(&message)) {
            m_maps.insert_or_assign(load->map.number(), load->map);
            if (m_maps.size() > MaxKnownMaps) {
                m_maps.erase(m_maps.begin());
            }
        }
        if (m_leader) {
            if (m_planner) {
                m_planner->recordContact(from);
                if (const auto *report = std::get_if<RankLoadReport>(&message)) {
                    m_planner->addReport(report->report);
                }
            }
            perform(m_leader->handle(message, from, run));
        }
        perform(m_gate->handle(message, from));
    }

    void perform(const GateActions &actions)
    {
        for (const auto &action : actions) {
            std::visit(Visitor{
                           [this](const SendToLeader &message) {
                               if (m_claims.current()) {
                                   send(m_claims.current()->claim.rank, message.message);
                               }
                           },
                           [this](const SendToRank &message) { send(message.rank, message.message); },
                           [this](const OrderEngine &order) { m_orders.enqueue(order); },
                       },
                       action);
        }
    }

    void perform(const LeaderActions &actions)
    {
        for (const auto &action : actions) {
            std::visit(Visitor{
                           [this](const SendToGate &message) { send(message.rank, message.message); },
                           [this](const AppendEpoch &append) {
                               m_log->append(stream(), encodeGroupRecord(append.epoch),
                                             [weak = weak_from_this()](const Result<LogOffset> &result) {
                                                 const auto self = weak.lock();
                                                 if (self && self->m_leader) {
                                                     self->m_leader->handleAppendResult(errorIn(result) == nullptr);
                                                 }
                                             });
                           },
                       },
                       action);
        }
    }

    void send(int rank, const GroupMessage &message)
    {
        if (m_planner) {
            if (const auto *load = std::get_if<LoadMap>(&message)) {
                m_planner->addMap(load->map);
            }
        }
        if (rank == m_rank) {
            // Posted instead of handled directly: the sender may still be processing another message.
            m_loop.post([weak = weak_from_this(), message] {
                if (const auto self = weak.lock(); self && !self->m_stopped) {
                    self->handleMessage(message, self->m_rank, self->m_run);
                }
            });
            return;
        }
        for (const auto *target : m_view->inventory->ranksOf(m_group)) {
            if (target->rank == rank) {
                m_links->send(
                    rank, target->gate,
                    m_encoder.frame(Channel::Group, encode(GroupFrame{.group = m_group, .message = message})));
            }
        }
    }

    bool sendOrder(const OrderEngine &order)
    {
        const auto *self = m_view->inventory->find(m_options.target);
        if (self == nullptr || m_stopped) {
            return false;
        }
        const auto body = encode(EngineOrderRequest{.run = order.run, .order = order.order});
        m_http->send({.endpoint = self->backend,
                      .request = {.method = "POST",
                                  .path = "/group/orders",
                                  .headers = {{"content-type", "application/cbor"}},
                                  .body = std::string(body.begin(), body.end())},
                      .timeout = OrderTimeout},
                     [weak = weak_from_this()](const std::variant<HttpResponse, HttpClient::Failure> &reply) {
                         if (const auto agent = weak.lock(); agent && !agent->m_stopped) {
                             agent->m_orders.finishCurrent([&](Incarnation run) { agent->handleReply(reply, run); });
                         }
                     });
        return true;
    }

    void handleReply(const std::variant<HttpResponse, HttpClient::Failure> &reply, Incarnation run)
    {
        const auto *response = std::get_if<HttpResponse>(&reply);
        if (response == nullptr || run != m_run) {
            return;
        }
        const auto state = decodeEngineState(Bytes(response->body.begin(), response->body.end()));
        if (const auto *known = std::get_if<EngineState>(&state)) {
            handleEngineStateReply(*known);
        }
    }

    void handleEngineStateReply(const EngineState &state)
    {
        if (state.load && state.load->window > m_lastWindow) {
            m_lastWindow = state.load->window;
            perform(GateActions{SendToLeader{RankLoadReport{*state.load}}});
        }
        perform(m_gate->handleEngineState(state));
        if (m_gate->isReplaced()) {
            m_run = static_cast<Incarnation>(toNumber(m_run) + 1);
            m_encoder = makeEncoder();
            makeGate();
        }
    }

    Options m_options;
    EventLoop &m_loop;
    Metrics &m_metrics;
    std::shared_ptr<const ConfigView> m_view;
    Incarnation m_run = m_options.run;
    FrameEncoder m_encoder = makeEncoder();
    std::unique_ptr<HttpClient> m_http;
    std::unique_ptr<HttpLogService> m_log;
    std::unique_ptr<RankLinks> m_links;
    GroupName m_group;
    int m_rank = 0;
    std::unique_ptr<RankGate> m_gate;
    std::unique_ptr<GroupLeader> m_leader;
    std::unique_ptr<GroupPlanner> m_planner;
    GroupClaimTracker m_claims;
    GroupEpochTracker m_epochs;
    std::map<MapNumber, ExpertMap> m_maps;
    OrderQueue m_orders{[this](const OrderEngine &order) { return sendOrder(order); }};
    std::chrono::milliseconds m_leaderSilence{};
    LogOffset m_nextOffset{1};
    std::uint64_t m_lastWindow = 0;
    bool m_stopped = false;
};

GroupAgent::GroupAgent(Options options, EventLoop &loop, Metrics &metrics)
    : m_implementation(std::make_shared<Implementation>(std::move(options), loop, metrics))
    , m_loop(loop)
{
}

GroupAgent::~GroupAgent() = default;

void GroupAgent::start()
{
    m_loop.post([implementation = m_implementation] { implementation->start(); });
}

void GroupAgent::stop()
{
    m_loop.runAndWait([this] { m_implementation->stop(); });
}

void GroupAgent::setView(const std::shared_ptr<const ConfigView> &view)
{
    m_implementation->setView(view);
}

void GroupAgent::receive(const Envelope &envelope)
{
    m_loop.post([implementation = m_implementation, envelope] { implementation->receive(envelope); });
}

nlohmann::ordered_json GroupAgent::status()
{
    nlohmann::ordered_json json;
    m_loop.runAndWait([&] { json = m_implementation->status(); });
    return json;
}

} // namespace Heatherridge
