#include "restoredlog/logrestoresimulation.h"

#include "heatherridge_protocol/crashreportcodec.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds Step{20};
constexpr milliseconds FaultPhase{25'000};
constexpr milliseconds RecoveryPhase{12'000};
constexpr milliseconds BackupPeriod{250};
constexpr milliseconds MaxHeartbeatInterval{1'200};
constexpr milliseconds CallTimeout{700};
constexpr std::size_t GatewayCount = 3;
constexpr int CopyCount = 2;
constexpr std::size_t TargetCount = 4;
constexpr milliseconds DrainPeriod{4'000}; ///< average time between orders to drain a zone or withdrawals
constexpr std::array<const char *, 2> Zones{"a-1", "b-1"};
constexpr double LostAnswerProbability = 0.03;

const Error NoAnswer{.kind = ErrorKind::PlatformUnavailable, .detail = "no answer"};

} // namespace

/** The actual state of a target. */
struct LogRestoreSimulation::Target
{
    TargetRecord record{};
    bool hasLeft = false;
};

/** One gateway's client of the simulated log. */
class LogRestoreSimulation::SimulatedLogClient final : public RegisterLog, public ShareLog, public ReportLog
{
public:
    SimulatedLogClient(LogRestoreSimulation &simulation, LogEvents events)
        : m_simulation(simulation)
        , m_events(std::move(events))
        , m_alive(std::make_shared<int>(0))
    {
    }

    void readNewest(RegisterKind kind, RegisterLog::Done done) override
    {
        call<RegisterPage>({}, std::move(done), [kind](const LogContent &log) {
            const auto &records = kind == RegisterKind::Rules ? log.rules : log.targets;
            std::map<std::string, RegisterChange> byKey;
            for (const auto &record : records) {
                byKey.insert_or_assign(record.key, record);
            }
            RegisterPage page{.end = records.size()};
            for (const auto &[key, record] : byKey) {
                if (record.value) {
                    page.changes.push_back(record);
                }
            }
            std::sort(page.changes.begin(), page.changes.end(),
                      [](const auto &a, const auto &b) { return a.offset < b.offset; });
            return std::optional(Result<RegisterPage>(std::move(page)));
        });
    }

    void read(RegisterKind kind, std::uint64_t from, milliseconds wait, RegisterLog::Done done) override
    {
        call<RegisterPage>(
            wait, std::move(done),
            [kind, from](const LogContent &log) -> std::optional<Result<RegisterPage>> {
                const auto &records = kind == RegisterKind::Rules ? log.rules : log.targets;
                if (from > records.size()) {
                    return Error{.kind = ErrorKind::NotFound};
                }
                RegisterPage page{.changes = {records.begin() + static_cast<std::ptrdiff_t>(from), records.end()},
                                  .end = records.size()};
                return page.changes.empty() ? std::nullopt : std::optional(Result<RegisterPage>(std::move(page)));
            },
            RegisterPage{.end = from});
    }

    void readCopy(int copy, std::function<void(Result<RulesCopy>)> done) override
    {
        call<RulesCopy>({}, std::move(done), [copy](const LogContent &log) {
            RulesCopy stored;
            for (const auto &[version, rules] : log.copies[static_cast<std::size_t>(copy)]) {
                stored.versions.emplace(version, 1);
                stored.changes.push_back({.key = "config", .value = rules});
            }
            stored.drains = log.copiedDrains[static_cast<std::size_t>(copy)];
            return std::optional(Result<RulesCopy>(std::move(stored)));
        });
    }

    void writeCopy(int copy, const RulesCopyUpdate &update, std::function<void(Result<std::size_t>)> done) override
    {
        call<std::size_t>({}, std::move(done), [copy, update](LogContent &log) {
            auto &stored = log.copies[static_cast<std::size_t>(copy)];
            for (const auto &[old, records] : update.droppedVersions) {
                stored.erase(old);
            }
            if (update.rules) {
                stored[update.version] = update.rules->value.value_or("");
            }
            auto &drains = log.copiedDrains[static_cast<std::size_t>(copy)];
            for (const auto &stamp : update.droppedDrains) {
                drains.erase(stamp);
            }
            for (const auto &[stamp, zones] : update.drains) {
                drains.insert_or_assign(stamp, zones);
            }
            return std::optional(Result<std::size_t>(std::size_t{1}));
        });
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const override
    {
        if (change.key != "config") {
            return std::nullopt;
        }
        return RoutingConfig{.version = std::stoull(change.value.value_or("0"))};
    }

    std::optional<ZoneDrain> parseZoneDrain(const RegisterChange &change) const override
    {
        if (change.key == "config") {
            return std::nullopt;
        }
        return ZoneDrain{.zone = ZoneName(change.key), .isInForce = change.value.has_value()};
    }

    Result<TargetRecord> parseTarget(const RegisterChange &change) const override
    {
        if (!change.value) {
            return Error{.kind = ErrorKind::BadRequest};
        }
        std::istringstream text(*change.value);
        TargetRecord record{.entry = {.id = TargetName(change.key)}};
        text >> record.entry.address.port >> record.revision >> record.entry.isDraining;
        record.revision = m_simulation.m_safeguards.comparesRevisions ? record.revision : 0;
        return record;
    }

    void join(const std::string &, milliseconds, std::uint64_t,
              std::function<void(Result<ShareAssignment>)> done) override
    {
        call<ShareAssignment>({}, std::move(done), [](const LogContent &) {
            return std::optional(Result<ShareAssignment>(ShareAssignment{.generation = 1, .partitions = {0}}));
        });
    }

    void leave(const std::string &) override
    {
    }

    void append(const std::vector<std::string> &records, std::function<void(Outcome)> done) override
    {
        call<std::monostate>({}, std::move(done), [records](LogContent &log) {
            log.reports.insert(log.reports.end(), records.begin(), records.end());
            return std::optional(Outcome());
        });
    }

    void read(std::uint64_t from, milliseconds wait, std::function<void(Result<ReportPage>)> done) override
    {
        call<ReportPage>(
            wait, std::move(done),
            [from](const LogContent &log) -> std::optional<Result<ReportPage>> {
                if (from > log.reports.size()) {
                    return ReportPage{.end = 0};
                }
                ReportPage page{.records = {log.reports.begin() + static_cast<std::ptrdiff_t>(from), log.reports.end()},
                                .end = log.reports.size()};
                return page.records.empty() ? std::nullopt : std::optional(Result<ReportPage>(std::move(page)));
            },
            ReportPage{.end = from});
    }

private:
    template<typename T>
    using Operation = std::function<std::optional<Result<T>>(LogContent &)>; ///< empty result: no record yet

    template<typename T>
    struct Call
    {
        SteadyTime deadline{}; ///< when it is answered if no record has arrived
        std::optional<std::uint64_t> eraAtCall{};
        std::uint64_t eraAtArrival = 0;
        std::function<void(Result<T>)> done{};
        Operation<T> operation{};
        Result<T> emptyResult{}; ///< the answer if no record has arrived
    };

    template<typename T>
    void call(milliseconds wait, std::function<void(Result<T>)> done, Operation<T> operation,
              Result<T> emptyResult = NoAnswer)
    {
        Call<T> call{.deadline = m_simulation.m_now + wait,
                     .eraAtCall = m_era.current(),
                     .done = std::move(done),
                     .operation = std::move(operation),
                     .emptyResult = std::move(emptyResult)};
        scheduleWhileAlive(m_simulation.randomDelay(2, 60), [this, call = std::move(call)]() mutable {
            call.eraAtArrival = m_simulation.m_era;
            execute(call);
        });
    }

    void scheduleWhileAlive(milliseconds delay, std::function<void()> task)
    {
        m_simulation.schedule(delay, [alive = std::weak_ptr(m_alive), task = std::move(task)] {
            if (!alive.expired()) {
                task();
            }
        });
    }

    template<typename T>
    void execute(const Call<T> &call)
    {
        const bool isInterrupted = m_simulation.m_isLogDown || call.eraAtArrival != m_simulation.m_era;
        const bool isLost = m_simulation.m_random.fraction() < LostAnswerProbability;
        const auto result = isInterrupted ? std::optional(Result<T>(NoAnswer)) : call.operation(m_simulation.m_log);
        if (!result && m_simulation.m_now < call.deadline) {
            scheduleWhileAlive(Step, [this, call] { execute(call); });
            return;
        }
        const bool isAnswered = !isInterrupted && !isLost;
        scheduleWhileAlive(
            isLost ? CallTimeout : m_simulation.randomDelay(2, 400),
            [this, call, result = result.value_or(call.emptyResult), isAnswered, era = m_simulation.m_era] {
                call.done(isAnswered ? checkEra<T>(result, era, call.eraAtCall) : Result<T>(NoAnswer));
            });
    }

    template<typename T>
    Result<T> checkEra(const Result<T> &result, std::uint64_t era, std::optional<std::uint64_t> eraAtCall)
    {
        const auto eraCheck = m_era.check(std::to_string(era), eraAtCall);
        if (const auto *eraRise = std::get_if<EraAdvanced>(&eraCheck)) {
            m_events.restored({.previousCount = eraRise->before, .newCount = eraRise->after});
        }
        const bool isAccepted = std::holds_alternative<EraUnchanged>(eraCheck) || !m_simulation.m_safeguards.checksEras;
        return isAccepted ? result : Result<T>(NoAnswer);
    }

    LogRestoreSimulation &m_simulation;
    LogEvents m_events;
    LogEra m_era;
    std::shared_ptr<int> m_alive;
};

/** The control state of one run of a gateway process. */
struct LogRestoreSimulation::Gateway
{
    explicit Gateway(LogRestoreSimulation &simulation)
        : log(simulation, {.restored = [this, &simulation](const auto &) { restored(simulation); }})
        , crashFeed(log, {}, {.received = [](auto) {}, .failed = [](auto, const auto &) {}, .lost = [](auto) {}})
        , workShare(log, {.member = "m"})
        , control(log, {.rulesCopies = CopyCount},
                  {.rulesChanged = [](auto) {},
                   .targetsChanged = [](auto) {},
                   .drainedZonesChanged = [this](const auto &zones) { drainedZones = zones; },
                   .reachabilityChanged = [](bool) {}},
                  metrics)
    {
    }

    void restored(LogRestoreSimulation &simulation)
    {
        if (simulation.m_safeguards.rereadsRegisters) {
            control.logRestored(simulation.m_random);
        }
        if (simulation.m_safeguards.resendsReports) {
            crashFeed.logRestored();
        }
        workShare.logRestored();
    }

    std::uint64_t version() const
    {
        return control.rules() ? control.rules()->config().version : 0;
    }

    Metrics metrics;
    SimulatedLogClient log;
    CrashFeed crashFeed;
    WorkShare workShare;
    GatewayControl control;
    std::set<ZoneName> drainedZones;
    std::uint64_t highestVersion = 0;
    std::set<TargetName> withdrawn; ///< targets seen draining
    std::set<std::uint64_t> reported; ///< requests that this run has reported
};

LogRestoreSimulation::LogRestoreSimulation(std::uint64_t seed, RestoreSafeguards safeguards)
    : m_random(seed)
    , m_safeguards(safeguards)
    , m_now(SteadyTime{} + std::chrono::hours(1))
    , m_operatorRandom(seed)
{
    m_log.copies.resize(CopyCount);
    m_log.copiedDrains.resize(CopyCount);
    m_gateways.resize(GatewayCount);
    publish();
    for (std::size_t index = 0; index < GatewayCount; ++index) {
        startGateway(index);
    }
}

LogRestoreSimulation::~LogRestoreSimulation() = default;

std::string LogRestoreSimulation::run()
{
    const auto faultsEndAt = m_now + FaultPhase;
    while (m_now < faultsEndAt && m_failure.empty()) {
        injectFaults();
        step();
    }
    while (m_now < faultsEndAt + RecoveryPhase && m_failure.empty()) {
        step();
    }
    checkFinalState();
    return m_failure;
}

void LogRestoreSimulation::step()
{
    m_now += Step;
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
        const auto task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
    for (std::size_t index = 0; index < GatewayCount; ++index) {
        auto &gateway = *m_gateways[index];
        gateway.control.tick(m_now, index == 0);
        gateway.workShare.tick(m_now);
        gateway.crashFeed.tick(m_now);
    }
    checkInvariants();
    const bool isDue = m_backups.empty() || m_now - m_backups.rbegin()->first >= BackupPeriod;
    if (isDue && !m_isLogDown) {
        m_backups.emplace(m_now, m_log);
    }
    while (m_backups.size() > 40) {
        m_backups.erase(m_backups.begin());
    }
}

void LogRestoreSimulation::injectFaults()
{
    if (m_targets.size() < TargetCount) {
        const int port = freePort();
        m_targets.push_back(std::make_unique<Target>());
        auto &target = *m_targets.back();
        const int number = ++m_targetCount;
        target.record.entry = {.id = TargetName("t" + std::to_string(number)), .address = {.port = port}};
        heartbeat(target);
    }
    for (const auto &target : m_targets) {
        const bool canDrain = !target->record.entry.isDraining;
        if (canDrain && occursOnAverageEvery(milliseconds(9'000))) {
            target->record.entry.isDraining = true;
            schedule(milliseconds(2'500), [target = target.get()] { target->hasLeft = true; });
        }
    }
    if (occursOnAverageEvery(milliseconds(3'000))) {
        publish();
    }
    if (m_operatorRandom.below(DrainPeriod / Step) == 0) {
        const std::string zone = Zones.at(m_operatorRandom.below(Zones.size()));
        if (m_drainedZones.erase(zone) == 0) {
            m_drainedZones.insert(zone);
        }
        writeDrain(zone);
    }
    if (occursOnAverageEvery(milliseconds(6'000))) {
        restoreLog();
    }
    if (occursOnAverageEvery(milliseconds(12'000))) {
        startGateway(m_random.below(GatewayCount));
    }
    if (occursOnAverageEvery(milliseconds(1'500))) {
        reportTargetDeath(*m_gateways[m_random.below(GatewayCount)]);
    }
}

int LogRestoreSimulation::freePort() const
{
    int port = 1;
    const auto isTaken = [&](const auto &target) { return target->record.entry.address.port == port; };
    while (std::any_of(m_targets.begin(), m_targets.end(), isTaken)) {
        ++port;
    }
    return port;
}

void LogRestoreSimulation::publish()
{
    ++m_version;
    writeRules();
}

void LogRestoreSimulation::heartbeat(Target &target)
{
    if (m_isLogDown) {
        scheduleHeartbeat(target, milliseconds(200));
        return;
    }
    const auto &entry = target.record.entry;
    if (target.hasLeft) {
        writeRemoval(entry.id.text());
        std::erase_if(m_targets, [&](const auto &other) { return other.get() == &target; });
        return;
    }
    ++target.record.revision;
    append(m_log.targets, entry.id.text(),
           std::to_string(entry.address.port) + " " + std::to_string(target.record.revision) + " "
               + (entry.isDraining ? "1" : "0"));
    scheduleHeartbeat(target,
                      entry.isDraining ? milliseconds(300)
                                       : randomDelay(400, static_cast<int>(MaxHeartbeatInterval.count())));
}

void LogRestoreSimulation::scheduleHeartbeat(const Target &target, milliseconds delay)
{
    schedule(delay, [this, id = target.record.entry.id] {
        const auto found = std::find_if(m_targets.begin(), m_targets.end(),
                                        [&](const auto &other) { return other->record.entry.id == id; });
        if (found != m_targets.end()) {
            heartbeat(**found);
        }
    });
}

void LogRestoreSimulation::restoreLog()
{
    if (m_isLogDown || m_backups.empty()) {
        return;
    }
    auto backup = m_backups.lower_bound(m_now - randomDelay(200, 4'000));
    backup = backup == m_backups.end() ? m_backups.begin() : backup;
    const auto lostContent = m_log;
    m_log = backup->second;
    m_backups.erase(std::next(backup), m_backups.end());
    ++m_era;
    m_isLogDown = true;
    schedule(randomDelay(100, 1'500), [this, lostContent] {
        m_isLogDown = false;
        // The platform removes the records of targets that have left; operators write their rules again.
        std::set<std::string> departed;
        for (const auto &record : lostContent.targets) {
            departed.insert(record.key);
        }
        for (const auto &target : m_targets) {
            departed.erase(target->record.entry.id.text());
        }
        for (const auto &key : departed) {
            schedule(milliseconds(3'600), [this, key] { writeRemoval(key); });
        }
        schedule(randomDelay(50, 1'000), [this] {
            for (const auto *zone : Zones) {
                writeDrain(zone);
            }
            writeRules();
        });
    });
}

void LogRestoreSimulation::writeRules()
{
    if (m_isLogDown) {
        schedule(milliseconds(200), [this] { writeRules(); });
        return;
    }
    append(m_log.rules, "config", std::to_string(m_version));
}

void LogRestoreSimulation::writeDrain(const std::string &zone)
{
    if (m_isLogDown) {
        schedule(milliseconds(200), [this, zone] { writeDrain(zone); });
        return;
    }
    append(m_log.rules, zone, m_drainedZones.contains(zone) ? std::optional<std::string>("{}") : std::nullopt);
}

void LogRestoreSimulation::writeRemoval(const std::string &target)
{
    if (m_isLogDown) {
        schedule(milliseconds(200), [this, target] { writeRemoval(target); });
        return;
    }
    append(m_log.targets, target, {});
}

void LogRestoreSimulation::append(std::vector<RegisterChange> &records, const std::string &key,
                                  std::optional<std::string> value)
{
    records.push_back({.key = key, .value = std::move(value), .offset = records.size()});
}

void LogRestoreSimulation::startGateway(std::size_t index)
{
    m_gateways[index] = std::make_unique<Gateway>(*this);
}

void LogRestoreSimulation::reportTargetDeath(Gateway &gateway)
{
    const auto request = m_random.draw();
    gateway.crashFeed.report(CrashReport{.request = {.low = request}, .target = TargetName("t")});
    gateway.reported.insert(request);
}

void LogRestoreSimulation::checkInvariants()
{
    for (const auto &gateway : m_gateways) {
        const auto version = gateway->version();
        if (version < gateway->highestVersion) {
            recordFailure("rules " + std::to_string(version) + " after " + std::to_string(gateway->highestVersion));
        }
        gateway->highestVersion = version;
        for (const auto &entry : gateway->control.targets()) {
            if (entry.isDraining) {
                gateway->withdrawn.insert(entry.id);
            } else if (gateway->withdrawn.contains(entry.id)) {
                recordFailure(entry.id.text() + " was withdrawn and is used again");
            }
        }
    }
}

void LogRestoreSimulation::checkFinalState()
{
    std::set<TargetName> serving;
    for (const auto &target : m_targets) {
        if (!target->record.entry.isDraining) {
            serving.insert(target->record.entry.id);
        }
    }
    for (const auto &gateway : m_gateways) {
        if (gateway->version() != m_version) {
            recordFailure("rules " + std::to_string(gateway->version()) + " long after " + std::to_string(m_version));
        }
        std::set<TargetName> used;
        for (const auto &entry : gateway->control.targets()) {
            if (!entry.isDraining) {
                used.insert(entry.id);
            }
        }
        if (used != serving) {
            std::string text;
            for (const auto &id : used) {
                text += " " + id.text();
            }
            for (const auto &id : serving) {
                text += " serves:" + id.text();
            }
            recordFailure("the used targets differ from the serving ones:" + text);
        }
    }
    checkCopies();
    std::set<std::uint64_t> storedReports;
    for (const auto &record : m_log.reports) {
        storedReports.insert(std::get<CrashReport>(decodeCrashReport(record)).request.low);
    }
    for (const auto &gateway : m_gateways) {
        if (!std::includes(storedReports.begin(), storedReports.end(), gateway->reported.begin(),
                           gateway->reported.end())) {
            recordFailure("a crash report was lost");
        }
    }
}

void LogRestoreSimulation::checkCopies()
{
    for (const auto &copy : m_log.copies) {
        if (!copy.contains(m_version)) {
            recordFailure("a copy lacks the rules in force");
        }
    }
    std::set<ZoneName> drained;
    for (const auto &zone : m_drainedZones) {
        drained.insert(ZoneName(zone));
    }
    for (const auto &gateway : m_gateways) {
        if (gateway->drainedZones != drained) {
            recordFailure("a gateway does not have the drained zones in force");
        }
    }
    for (const auto &copy : m_log.copiedDrains) {
        if (copy.empty() ? !drained.empty() : copy.rbegin()->second != drained) {
            recordFailure("a copy does not have the drained zones in force");
        }
    }
}

void LogRestoreSimulation::recordFailure(const std::string &what)
{
    if (m_failure.empty()) {
        m_failure = what;
    }
}

void LogRestoreSimulation::schedule(milliseconds delay, std::function<void()> task)
{
    m_tasks.emplace(m_now + delay, std::move(task));
}

milliseconds LogRestoreSimulation::randomDelay(int min, int max)
{
    const auto width = static_cast<std::uint64_t>(max) - static_cast<std::uint64_t>(min) + 1;
    return milliseconds(min + static_cast<int>(m_random.below(width)));
}

bool LogRestoreSimulation::occursOnAverageEvery(milliseconds interval)
{
    return m_random.fraction() < static_cast<double>(Step.count()) / static_cast<double>(interval.count());
}

} // namespace Heatherridge
