#include "feed/rulesfleet.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{20};
/** Time between the statement of a change and its effect at the other end, both ways. */
constexpr milliseconds CallTime{6};
constexpr milliseconds CallTimeout{500};
constexpr std::uint64_t MaxReadTime = 40;

RulesRecord recordOf(std::uint64_t version)
{
    return {.version = version, .key = "rules", .value = "rules of version " + std::to_string(version)};
}

} // namespace

class RulesFleet::Gateway final : public RulesLink
{
public:
    Gateway(RulesFleet &fleet, int number, const std::vector<TargetEntry> &targets, int zones)
        : m_fleet(fleet)
        , m_number(number)
        , m_targets(targets)
        , m_zone("z" + std::to_string(number % zones))
        , m_inZone(std::max<double>(1, static_cast<double>(fleet.m_gateways.capacity()) / zones))
    {
        start();
    }

    void start()
    {
        ++m_run;
        version = 0;
        drainedZones.clear();
        m_exchange = std::make_unique<RulesExchange>(
            *this, RulesExchange::Options{.zone = m_zone, .run = static_cast<std::uint64_t>(m_number)},
            RulesExchange::Events{.received = [this](const auto &record, const auto &) { putInForce(record); },
                                  .drainsReceived = [this](const auto &drains) { drainedZones = drains.zones; }});
        m_exchange->setTargets(m_targets);
        m_exchange->setKnownGateways({.all = 1, .inZone = m_inZone});
        readLog();
    }

    void readLog()
    {
        if (isRejected || isUnanswered) {
            return;
        }
        if (m_fleet.m_published > version) {
            putInForce(recordOf(m_fleet.m_published));
        }
        drainedZones = m_fleet.m_drains.zones;
        m_exchange->setDrains(m_fleet.m_drains);
    }

    void tick(SteadyTime now)
    {
        m_exchange->setReadsLog(!isRejected);
        m_exchange->tick(now);
    }

    void send(const TargetEntry &target, const RulesRequest &request,
              std::function<void(Result<RulesResponse>)> done) override
    {
        m_fleet.deliver(target, request, [this, run = m_run, done = std::move(done)](auto response) {
            if (run == m_run) {
                done(std::move(response));
            }
        });
    }

    std::uint64_t version = 0;
    std::set<ZoneName> drainedZones;
    bool isRejected = false;
    bool isUnanswered = false;

private:
    void putInForce(const RulesRecord &record)
    {
        const bool isPublished = record.version <= m_fleet.m_published && record == recordOf(record.version);
        m_fleet.m_hasOnlyRisen = m_fleet.m_hasOnlyRisen && isPublished && record.version > version;
        version = record.version;
        m_exchange->setRules(record);
    }

    RulesFleet &m_fleet;
    int m_number;
    const std::vector<TargetEntry> m_targets;
    ZoneName m_zone;
    double m_inZone;
    int m_run = 0;
    std::unique_ptr<RulesExchange> m_exchange;
};

RulesFleet::RulesFleet(const Options &options)
    : m_random(options.seed)
{
    std::vector<TargetEntry> targets;
    for (int number = 0; number < options.zones * options.sidecarsPerZone; ++number) {
        targets.push_back({.id = TargetName("t" + std::to_string(number)),
                           .zone = ZoneName("z" + std::to_string(number % options.zones))});
        m_sidecars.push_back({.target = targets.back()});
        m_sidecarNumbers[targets.back().id] = number;
    }
    m_gateways.reserve(options.gateways);
    for (int number = 0; number < options.gateways; ++number) {
        m_gateways.push_back(std::make_unique<Gateway>(*this, number, targets, options.zones));
    }
}

RulesFleet::~RulesFleet() = default;

int RulesFleet::gatewayCount() const
{
    return static_cast<int>(m_gateways.size());
}

int RulesFleet::sidecarCount() const
{
    return static_cast<int>(m_sidecars.size());
}

void RulesFleet::at(milliseconds time, std::function<void()> action)
{
    m_actions.emplace(time, std::move(action));
}

void RulesFleet::publish(std::uint64_t version)
{
    m_published = version;
    ++m_drains.position;
    wakeReaders();
}

void RulesFleet::drain(const std::set<ZoneName> &zones)
{
    m_drains.zones = zones;
    ++m_drains.position;
    wakeReaders();
}

void RulesFleet::restoreLog()
{
    m_drains.position /= 2;
    wakeReaders();
}

void RulesFleet::wakeReaders()
{
    for (const auto &gateway : m_gateways) {
        at(m_elapsed + milliseconds(m_random.below(MaxReadTime)), [&gateway] { gateway->readLog(); });
    }
}

void RulesFleet::setRejected(int gateway, bool isRejected)
{
    m_gateways.at(gateway)->isRejected = isRejected;
    m_gateways.at(gateway)->readLog();
}

void RulesFleet::setUnanswered(int gateway, bool isUnanswered)
{
    m_gateways.at(gateway)->isUnanswered = isUnanswered;
    m_gateways.at(gateway)->readLog();
}

bool RulesFleet::isUnanswered(int gateway) const
{
    return m_gateways.at(gateway)->isUnanswered;
}

void RulesFleet::restart(int gateway)
{
    m_gateways.at(gateway)->start();
}

void RulesFleet::setSidecarUp(int sidecar, bool isUp)
{
    m_sidecars.at(sidecar).isUp = isUp;
    m_sidecars.at(sidecar).rules = {};
}

void RulesFleet::deliver(const TargetEntry &target, const RulesRequest &request,
                         const std::function<void(Result<RulesResponse>)> &done)
{
    ++m_callCount;
    const auto bytes = encode(request);
    m_sentBytes += bytes.size();
    at(m_elapsed + CallTime / 2, [this, number = m_sidecarNumbers.at(target.id), bytes, done] {
        auto &sidecar = m_sidecars.at(number);
        if (!sidecar.isUp) {
            at(m_elapsed + CallTimeout, [done] { done(Error{.kind = ErrorKind::TargetUnreachable}); });
            return;
        }
        const auto response =
            encode(sidecar.rules.exchange(std::get<RulesRequest>(decodeRulesRequest(bytes)), SteadyTime(m_elapsed)));
        m_sentBytes += response.size();
        at(m_elapsed + CallTime / 2, [done, response] { done(decodeRulesResponse(response)); });
    });
}

void RulesFleet::run(milliseconds duration)
{
    for (const auto end = m_elapsed + duration; m_elapsed < end; m_elapsed += milliseconds(1)) {
        while (!m_actions.empty() && m_actions.begin()->first <= m_elapsed) {
            const auto action = m_actions.extract(m_actions.begin());
            action.mapped()();
        }
        for (std::size_t number = 0; number < m_gateways.size(); ++number) {
            if ((m_elapsed.count() + number) % TickPeriod.count() == 0) {
                m_gateways[number]->tick(SteadyTime(m_elapsed));
            }
        }
    }
}

std::uint64_t RulesFleet::version(int gateway) const
{
    return m_gateways.at(gateway)->version;
}

const std::set<ZoneName> &RulesFleet::drainedZones(int gateway) const
{
    return m_gateways.at(gateway)->drainedZones;
}

bool RulesFleet::hasOnlyRisen() const
{
    return m_hasOnlyRisen;
}

std::size_t RulesFleet::callCount() const
{
    return m_callCount;
}

std::size_t RulesFleet::sentBytes() const
{
    return m_sentBytes;
}

} // namespace Heatherridge
