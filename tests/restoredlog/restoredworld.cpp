#include "restoredlog/restoredworld.h"

#include "heatherridge_protocol/crashreportcodec.h"

#include <algorithm>
#include <sstream>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds Step{20};
constexpr milliseconds Troubles{25'000};
constexpr milliseconds Calm{12'000};
constexpr milliseconds BackupPeriod{250};
constexpr milliseconds Heartbeat{1'200};
constexpr milliseconds CallTimeout{700};
constexpr std::size_t Gateways = 3;
constexpr int Copies = 2;
constexpr std::size_t UsualTargets = 4;
constexpr double LostAnswers = 0.03;

const Error NoAnswer{.kind = ErrorKind::PlatformUnavailable, .detail = "no answer"};

} // namespace

/** A target as it is in truth. */
struct RestoredWorld::Target
{
    TargetRecord record{};
    bool isGone = false;
};

/** One gateway's end of the log. */
class RestoredWorld::LogEnd final : public RegisterLog, public ShareLog, public ReportLog
{
public:
    LogEnd(RestoredWorld &world, LogEvents events)
        : m_world(world)
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
            RulesCopy kept;
            for (const auto &[version, rules] : log.copies[static_cast<std::size_t>(copy)]) {
                kept.versions.emplace(version, 1);
                kept.changes.push_back({.key = "config", .value = rules});
            }
            return std::optional(Result<RulesCopy>(std::move(kept)));
        });
    }

    void writeCopy(int copy, const RegisterChange &rules, std::uint64_t version,
                   const std::map<std::uint64_t, std::size_t> &dropped,
                   std::function<void(Result<std::size_t>)> done) override
    {
        call<std::size_t>({}, std::move(done), [copy, rules, version, dropped](LogContent &log) {
            auto &kept = log.copies[static_cast<std::size_t>(copy)];
            for (const auto &[old, records] : dropped) {
                kept.erase(old);
            }
            kept[version] = rules.value.value_or("");
            return std::optional(Result<std::size_t>(std::size_t{1}));
        });
    }

    std::optional<Result<RoutingConfig>> parseRules(const RegisterChange &change) const override
    {
        return RoutingConfig{.version = std::stoull(change.value.value_or("0"))};
    }

    Result<TargetRecord> parseTarget(const RegisterChange &change) const override
    {
        if (!change.value) {
            return Error{.kind = ErrorKind::BadRequest};
        }
        std::istringstream text(*change.value);
        TargetRecord record{.entry = {.id = TargetName(change.key)}};
        text >> record.entry.address.port >> record.revision >> record.entry.isDraining;
        record.revision = m_world.m_safeguards.knowsRevisions ? record.revision : 0;
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
    using Run = std::function<std::optional<Result<T>>(LogContent &)>; ///< nothing: there is nothing yet

    template<typename T>
    struct Call
    {
        SteadyTime latest{}; ///< it is answered then, if nothing has come
        std::optional<std::uint64_t> eraAtCall{};
        std::uint64_t eraAtArrival = 0;
        std::function<void(Result<T>)> done{};
        Run<T> run{};
        Result<T> empty{}; ///< the answer when nothing has come
    };

    template<typename T>
    void call(milliseconds wait, std::function<void(Result<T>)> done, Run<T> run, Result<T> empty = NoAnswer)
    {
        Call<T> call{.latest = m_world.m_now + wait,
                     .eraAtCall = m_era.current(),
                     .done = std::move(done),
                     .run = std::move(run),
                     .empty = std::move(empty)};
        later(m_world.drawn(2, 60), [this, call = std::move(call)]() mutable {
            call.eraAtArrival = m_world.m_era;
            perform(call);
        });
    }

    void later(milliseconds delay, std::function<void()> task)
    {
        m_world.after(delay, [alive = std::weak_ptr(m_alive), task = std::move(task)] {
            if (!alive.expired()) {
                task();
            }
        });
    }

    template<typename T>
    void perform(const Call<T> &call)
    {
        const bool isCut = m_world.m_isLogDown || call.eraAtArrival != m_world.m_era;
        const bool isLost = m_world.m_random.fraction() < LostAnswers;
        const auto result = isCut ? std::optional(Result<T>(NoAnswer)) : call.run(m_world.m_log);
        if (!result && m_world.m_now < call.latest) {
            later(Step, [this, call] { perform(call); });
            return;
        }
        const bool isAnswered = !isCut && !isLost;
        later(isLost ? CallTimeout : m_world.drawn(2, 400),
              [this, call, result = result.value_or(call.empty), isAnswered, era = m_world.m_era] {
                  call.done(isAnswered ? believed<T>(result, era, call.eraAtCall) : Result<T>(NoAnswer));
              });
    }

    template<typename T>
    Result<T> believed(const Result<T> &result, std::uint64_t era, std::optional<std::uint64_t> eraAtCall)
    {
        const auto verdict = m_era.judge(std::to_string(era), eraAtCall);
        if (const auto *risen = std::get_if<EraRisen>(&verdict)) {
            m_events.restored({.previousCount = risen->before, .newCount = risen->after});
        }
        const bool holds = std::holds_alternative<EraUnchanged>(verdict) || !m_world.m_safeguards.judgesEras;
        return holds ? result : Result<T>(NoAnswer);
    }

    RestoredWorld &m_world;
    LogEvents m_events;
    LogEra m_era;
    std::shared_ptr<int> m_alive;
};

/** The control state of one run of a gateway. */
struct RestoredWorld::Gateway
{
    explicit Gateway(RestoredWorld &world)
        : log(world, {.restored = [this, &world](const auto &) { restored(world); }})
        , crashFeed(log, {}, {.received = [](auto) {}, .failed = [](auto, const auto &) {}, .lost = [](auto) {}})
        , workShare(log, {.member = "m"})
        , control(log, {.rulesCopies = Copies},
                  {.rulesChanged = [](auto) {}, .targetsChanged = [](auto) {}, .reachabilityChanged = [](bool) {}},
                  metrics)
    {
    }

    void restored(RestoredWorld &world)
    {
        if (world.m_safeguards.readsAnew) {
            control.onLogRestored(world.m_random);
        }
        if (world.m_safeguards.tellsAgain) {
            crashFeed.logRestored();
        }
        workShare.logRestored();
    }

    std::uint64_t version() const
    {
        return control.rules() ? control.rules()->config().version : 0;
    }

    Metrics metrics;
    LogEnd log;
    CrashFeed crashFeed;
    WorkShare workShare;
    GatewayControl control;
    std::uint64_t highestVersion = 0;
    std::set<TargetName> withdrawn; ///< targets seen to drain
    std::set<std::uint64_t> reported; ///< requests that it has reported
};

RestoredWorld::RestoredWorld(std::uint64_t seed, RestoreSafeguards safeguards)
    : m_random(seed)
    , m_safeguards(safeguards)
    , m_now(SteadyTime{} + std::chrono::hours(1))
{
    m_log.copies.resize(Copies);
    m_gateways.resize(Gateways);
    publish();
    for (std::size_t index = 0; index < Gateways; ++index) {
        startGateway(index);
    }
}

RestoredWorld::~RestoredWorld() = default;

std::string RestoredWorld::play()
{
    const auto calmFrom = m_now + Troubles;
    while (m_now < calmFrom && m_fault.empty()) {
        happen();
        step();
    }
    while (m_now < calmFrom + Calm && m_fault.empty()) {
        step();
    }
    checkCalm();
    return m_fault;
}

void RestoredWorld::step()
{
    m_now += Step;
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
        const auto task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
    for (std::size_t index = 0; index < Gateways; ++index) {
        auto &gateway = *m_gateways[index];
        gateway.control.tick(m_now, index == 0);
        gateway.workShare.tick(m_now);
        gateway.crashFeed.tick(m_now);
    }
    check();
    const bool isDue = m_backups.empty() || m_now - m_backups.rbegin()->first >= BackupPeriod;
    if (isDue && !m_isLogDown) {
        m_backups.emplace(m_now, m_log);
    }
    while (m_backups.size() > 40) {
        m_backups.erase(m_backups.begin());
    }
}

void RestoredWorld::happen()
{
    if (m_targets.size() < UsualTargets) {
        const int port = freePort();
        m_targets.push_back(std::make_unique<Target>());
        auto &target = *m_targets.back();
        const int number = ++m_targetCount;
        target.record.entry = {.id = TargetName("t" + std::to_string(number)), .address = {.port = port}};
        heartbeat(target);
    }
    for (const auto &target : m_targets) {
        const bool mayDrain = !target->record.entry.isDraining;
        if (mayDrain && happensOnceIn(milliseconds(9'000))) {
            target->record.entry.isDraining = true;
            after(milliseconds(2'500), [target = target.get()] { target->isGone = true; });
        }
    }
    if (happensOnceIn(milliseconds(3'000))) {
        publish();
    }
    if (happensOnceIn(milliseconds(6'000))) {
        restoreLog();
    }
    if (happensOnceIn(milliseconds(12'000))) {
        startGateway(m_random.below(Gateways));
    }
    if (happensOnceIn(milliseconds(1'500))) {
        reportDeath(*m_gateways[m_random.below(Gateways)]);
    }
}

int RestoredWorld::freePort() const
{
    int port = 1;
    const auto isTaken = [&](const auto &target) { return target->record.entry.address.port == port; };
    while (std::any_of(m_targets.begin(), m_targets.end(), isTaken)) {
        ++port;
    }
    return port;
}

void RestoredWorld::publish()
{
    ++m_version;
    writeRules();
}

void RestoredWorld::heartbeat(Target &target)
{
    if (m_isLogDown) {
        beatAfter(target, milliseconds(200));
        return;
    }
    const auto &entry = target.record.entry;
    if (target.isGone) {
        writeRemoval(entry.id.text());
        std::erase_if(m_targets, [&](const auto &other) { return other.get() == &target; });
        return;
    }
    ++target.record.revision;
    append(m_log.targets, entry.id.text(),
           std::to_string(entry.address.port) + " " + std::to_string(target.record.revision) + " "
               + (entry.isDraining ? "1" : "0"));
    beatAfter(target, entry.isDraining ? milliseconds(300) : drawn(400, static_cast<int>(Heartbeat.count())));
}

void RestoredWorld::beatAfter(const Target &target, milliseconds delay)
{
    after(delay, [this, id = target.record.entry.id] {
        const auto found = std::find_if(m_targets.begin(), m_targets.end(),
                                        [&](const auto &other) { return other->record.entry.id == id; });
        if (found != m_targets.end()) {
            heartbeat(**found);
        }
    });
}

void RestoredWorld::restoreLog()
{
    if (m_isLogDown || m_backups.empty()) {
        return;
    }
    auto backup = m_backups.lower_bound(m_now - drawn(200, 4'000));
    backup = backup == m_backups.end() ? m_backups.begin() : backup;
    const auto lost = m_log;
    m_log = backup->second;
    m_backups.erase(std::next(backup), m_backups.end());
    ++m_era;
    m_isLogDown = true;
    after(drawn(100, 1'500), [this, lost] {
        m_isLogDown = false;
        // The platform drops a target that has left; its operators write their rules again.
        std::set<std::string> left;
        for (const auto &record : lost.targets) {
            left.insert(record.key);
        }
        for (const auto &target : m_targets) {
            left.erase(target->record.entry.id.text());
        }
        for (const auto &key : left) {
            after(milliseconds(3'600), [this, key] { writeRemoval(key); });
        }
        after(drawn(50, 1'000), [this] { writeRules(); });
    });
}

void RestoredWorld::writeRules()
{
    if (m_isLogDown) {
        after(milliseconds(200), [this] { writeRules(); });
        return;
    }
    append(m_log.rules, "config", std::to_string(m_version));
}

void RestoredWorld::writeRemoval(const std::string &target)
{
    if (m_isLogDown) {
        after(milliseconds(200), [this, target] { writeRemoval(target); });
        return;
    }
    append(m_log.targets, target, {});
}

void RestoredWorld::append(std::vector<RegisterChange> &records, const std::string &key,
                           std::optional<std::string> value)
{
    records.push_back({.key = key, .value = std::move(value), .offset = records.size()});
}

void RestoredWorld::startGateway(std::size_t index)
{
    m_gateways[index] = std::make_unique<Gateway>(*this);
}

void RestoredWorld::reportDeath(Gateway &gateway)
{
    const auto request = m_random.draw();
    gateway.crashFeed.report({.request = {.low = request}, .target = TargetName("t")});
    gateway.reported.insert(request);
}

void RestoredWorld::check()
{
    for (const auto &gateway : m_gateways) {
        const auto version = gateway->version();
        if (version < gateway->highestVersion) {
            fail("rules " + std::to_string(version) + " after " + std::to_string(gateway->highestVersion));
        }
        gateway->highestVersion = version;
        for (const auto &entry : gateway->control.targets()) {
            if (entry.isDraining) {
                gateway->withdrawn.insert(entry.id);
            } else if (gateway->withdrawn.contains(entry.id)) {
                fail(entry.id.text() + " was withdrawn and is used again");
            }
        }
    }
}

void RestoredWorld::checkCalm()
{
    std::set<TargetName> serving;
    for (const auto &target : m_targets) {
        if (!target->record.entry.isDraining) {
            serving.insert(target->record.entry.id);
        }
    }
    for (const auto &gateway : m_gateways) {
        if (gateway->version() != m_version) {
            fail("rules " + std::to_string(gateway->version()) + " long after " + std::to_string(m_version));
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
            fail("other targets are used than those that serve:" + text);
        }
    }
    for (const auto &copy : m_log.copies) {
        if (!copy.contains(m_version)) {
            fail("a copy without the rules in force");
        }
    }
    std::set<std::uint64_t> held;
    for (const auto &record : m_log.reports) {
        held.insert(std::get<CrashReport>(decodeCrashReport(record)).request.low);
    }
    for (const auto &gateway : m_gateways) {
        if (!std::includes(held.begin(), held.end(), gateway->reported.begin(), gateway->reported.end())) {
            fail("a report that is lost");
        }
    }
}

void RestoredWorld::fail(const std::string &what)
{
    if (m_fault.empty()) {
        m_fault = what;
    }
}

void RestoredWorld::after(milliseconds delay, std::function<void()> task)
{
    m_tasks.emplace(m_now + delay, std::move(task));
}

milliseconds RestoredWorld::drawn(int least, int most)
{
    const auto width = static_cast<std::uint64_t>(most) - static_cast<std::uint64_t>(least) + 1;
    return milliseconds(least + static_cast<int>(m_random.below(width)));
}

bool RestoredWorld::happensOnceIn(milliseconds time)
{
    return m_random.fraction() < static_cast<double>(Step.count()) / static_cast<double>(time.count());
}

} // namespace Heatherridge
