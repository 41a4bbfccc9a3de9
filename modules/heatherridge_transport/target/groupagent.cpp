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

/** Silence of the leader after which the lowest rank claims the role; each further rank waits ClaimStagger longer, so
 * that one claim is made and not one a rank. */
constexpr std::chrono::seconds ClaimAfter{4};
constexpr std::chrono::seconds ClaimStagger{1};
constexpr std::chrono::milliseconds ReadWait{5000};
constexpr std::chrono::milliseconds ReadPause{500};
constexpr std::size_t ReadRecords = 64;
constexpr std::chrono::milliseconds OrderTimeout{5000};
/** What the weight store is taken to give one group, until it says so itself. */
constexpr double StoreBytesPerSecond = 2e9;
/** Maps kept that the leader had loaded, so that this process knows their placement when it comes to lead. */
constexpr std::size_t MapsKept = 8;

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
        enterGroup();
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
        enterGroup();
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
        take(message, sender->rank, envelope.incarnation);
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
    /** Takes up work once the inventory lists this target in a group. */
    void enterGroup()
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

    /** Frames carry the run of the gate: proposals are addressed to it. */
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
        if (m_gate) {
            perform(m_gate->tick());
            showCounters();
            m_leaderSilent += m_options.tick;
            if (m_leader) {
                lead();
            } else if (m_leaderSilent > ClaimAfter + m_rank * ClaimStagger) {
                claim();
            }
        }
        m_loop.after(m_options.tick, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tick();
            }
        });
    }

    /** Shows the state machines' counters as metrics; they start anew with the process, and the leader's with the role.
     */
    void showCounters()
    {
        const auto show = [this](const char *name, std::uint64_t value) {
            m_metrics.gauge(std::string("heatherridge_group_") + name).set(static_cast<std::int64_t>(value));
        };
        const auto &gate = m_gate->counters();
        show("agreed", gate.agreed);
        show("refused_not_ready", gate.refusedNotReady);
        show("refused_fenced", gate.refusedFenced);
        show("refused_undecided", gate.refusedUndecided);
        show("refused_cancelled", gate.refusedCancelled);
        show("fenced_messages", gate.fencedMessages);
        show("committed", gate.committed);
        show("aborted", gate.aborted);
        show("epochs_entered", gate.epochsEntered);
        show("undecided_ticks", gate.undecidedTicks);
        if (m_leader) {
            const auto &leader = m_leader->counters();
            show("leader_switches_committed", leader.switchesCommitted);
            show("leader_switches_aborted", leader.switchesAborted);
            show("leader_cancelled_restart", leader.cancelledRestart);
            show("leader_cancelled_load", leader.cancelledLoad);
            show("leader_epochs_composed", leader.epochsComposed);
            show("leader_epochs_lost", leader.epochsSuperseded);
            show("leader_appends_repeated", leader.appendsRepeated);
        }
    }

    void lead()
    {
        for (const auto *rank : m_view->inventory->ranksOf(m_group)) {
            // Regular word from the leader keeps the others from claiming.
            send(rank->rank, StatusRequest{.leader = m_claims.current()->fencing});
        }
        perform(m_leader->tick());
        const auto &engine = m_gate->engineState();
        if (!m_planner && engine && engine->model.layers > 0) {
            m_planner = std::make_unique<GroupPlanner>(
                GroupPlanner::Options{.model = engine->model, .storeBytesPerSecond = StoreBytesPerSecond},
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
                             .isLeaving = !m_view->takesWork(*target),
                             .place = {.host = host, .zone = zone}});
        }
        return ranks;
    }

    void claim()
    {
        m_leaderSilent = {};
        const GroupClaim claim{.rank = m_rank,
                               .incarnation = m_run,
                               .replaces = m_claims.current() ? m_claims.current()->fencing : FencingNumber{}};
        // Whether it counts is only known once it is read back, so the reply is of no interest.
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
        m_log->read(stream(), m_from, ReadRecords, ReadWait, [weak = weak_from_this()](const Result<LogPage> &page) {
            if (const auto self = weak.lock(); self && !self->m_stopped) {
                self->takePage(page);
            }
        });
    }

    void takePage(const Result<LogPage> &result)
    {
        if (errorIn(result) != nullptr) {
            m_loop.after(ReadPause, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->readStream();
                }
            });
            return;
        }
        const auto &page = std::get<LogPage>(result);
        for (const auto &record : page.records) {
            const auto decoded = decodeGroupRecord(record.payload);
            if (const auto *typed = std::get_if<GroupRecord>(&decoded)) {
                takeRecord(record.offset, *typed);
            }
            m_from = next(record.offset);
        }
        m_from = std::max(m_from, page.first);
        if (m_leader && m_from > page.last) {
            m_leader->setCaughtUp();
        }
        readStream();
    }

    void takeRecord(LogOffset offset, const GroupRecord &record)
    {
        std::visit(Visitor{
                       [&](const GroupClaim &claim) {
                           if (m_claims.apply(offset, claim)) {
                               changeLeader();
                           }
                       },
                       [&](const GroupEpoch &epoch) { takeEpoch(epoch); },
                   },
                   record);
    }

    void takeEpoch(const GroupEpoch &epoch)
    {
        m_epochs.apply(epoch);
        perform(m_gate->handleEpoch(epoch));
        if (m_leader) {
            perform(m_leader->handleEpoch(epoch));
        }
    }

    void changeLeader()
    {
        const auto &present = *m_claims.current();
        m_gate->handleClaim(present.fencing);
        m_leaderSilent = {};
        m_leader.reset();
        m_planner.reset();
        if (present.claim.rank != m_rank || present.claim.incarnation != m_run) {
            return;
        }
        std::vector<int> ranks;
        for (const auto *target : m_view->inventory->ranksOf(m_group)) {
            ranks.push_back(target->rank);
        }
        m_leader = std::make_unique<GroupLeader>(present.fencing, ranks);
        if (m_epochs.current()) {
            perform(m_leader->handleEpoch(*m_epochs.current()));
        }
        logEvent(Severity::Info, "group-leader",
                 {{"group", m_group.text()}, {"fencing", std::to_string(toNumber(present.fencing))}});
    }

    void take(const GroupMessage &message, int from, Incarnation run)
    {
        const int leader = m_claims.current() ? m_claims.current()->claim.rank : -1;
        if (from == leader) {
            m_leaderSilent = {};
        }
        if (const auto *load = std::get_if<LoadMap>(&message)) {
            m_maps.insert_or_assign(load->map.number(), load->map);
            if (m_maps.size() > MapsKept) {
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
            // Later and not here: the sender may be in the midst of handling another message.
            m_loop.post([weak = weak_from_this(), message] {
                if (const auto self = weak.lock(); self && !self->m_stopped) {
                    self->take(message, self->m_rank, self->m_run);
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
                             agent->m_orders.finishCurrent([&](Incarnation run) { agent->takeReply(reply, run); });
                         }
                     });
        return true;
    }

    void takeReply(const std::variant<HttpResponse, HttpClient::Failure> &reply, Incarnation run)
    {
        const auto *response = std::get_if<HttpResponse>(&reply);
        if (response == nullptr || run != m_run) {
            return;
        }
        const auto state = decodeEngineState(Bytes(response->body.begin(), response->body.end()));
        if (const auto *known = std::get_if<EngineState>(&state)) {
            takeState(*known);
        }
    }

    void takeState(const EngineState &state)
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
    std::chrono::milliseconds m_leaderSilent{};
    LogOffset m_from{1};
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
    m_loop.run([this] { m_implementation->stop(); });
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
    m_loop.run([&] { json = m_implementation->status(); });
    return json;
}

} // namespace Heatherridge
