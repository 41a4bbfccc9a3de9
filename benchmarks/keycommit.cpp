#include "heatherridge_coordination/keys/keygate.h"
#include "heatherridge_protocol/keyrecordcodec.h"
#include "heatherridge_state/base/randomsource.h"

#include <algorithm>
#include <cstdio>
#include <queue>

using namespace Heatherridge;

/**
 * What group commit costs and buys: one gate a shard before a log with a stated round trip and a stated bound of
 * appends a second, on a virtual clock. Prints appends a second, records an append, and the latency that reading
 * back the intent adds, with group commit and with one record an append.
 */
namespace
{

using namespace std::chrono_literals;
using Micros = std::chrono::microseconds;

constexpr Micros LogRoundTrip{4000};
constexpr double LogAppendsPerSecond = 400;
constexpr Micros ServiceTime{10'000};
constexpr Micros RunFor{20'000'000};
constexpr Micros AppendPause{20'000};
constexpr int AppendBurst = 10;
constexpr Micros TickPeriod{50'000};

struct Scenario
{
    const char *name;
    double bookingsPerSecond;
    bool grouped;
};

/** One shard: a gate, and what is under way for it. */
struct Shard
{
    explicit Shard(std::uint32_t number)
        : gate({.process = ProcessName("g"), .incarnation = static_cast<Incarnation>(number + 1)}, {})
    {
    }

    KeyGate gate;
    std::uint64_t offset = 0;
    Micros nextAppend{0};
};

class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : m_scenario(scenario)
    {
        for (std::uint32_t number = 0; number < KeyShardCount; ++number) {
            m_shards.push_back(std::make_unique<Shard>(number));
            auto &shard = *m_shards.back();
            perform(shard, shard.gate.placementChanged({.shouldHold = true}, wall()));
            perform(shard, shard.gate.logAvailabilityChanged(true, wall()));
            perform(shard, shard.gate.streamCaughtUp(wall()));
        }
    }

    void run()
    {
        at(Micros(1'000'000), [this] { arrive(); });
        at(TickPeriod, [this] { tick(); });
        while (!m_events.empty() && m_events.top().due < RunFor) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.due;
            event.task();
        }
        print();
    }

private:
    struct Event
    {
        Micros due;
        std::uint64_t order;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return std::pair(due, order) > std::pair(other.due, other.order);
        }
    };

    WallTime wall() const
    {
        return WallTime(1'000'000s) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now);
    }

    void at(Micros due, std::function<void()> task)
    {
        m_events.push({.due = due, .order = ++m_order, .task = std::move(task)});
    }

    void tick()
    {
        for (const auto &shard : m_shards) {
            perform(*shard, shard->gate.tick(wall()));
        }
        at(m_now + TickPeriod, [this] { tick(); });
    }

    void arrive()
    {
        const auto key = Uuid7::make(wall(), m_random.draw(), m_random.draw());
        auto &shard = *m_shards[toNumber(shardOf(key))];
        m_arrived[key] = m_now;
        perform(shard,
                shard.gate.requestReceived({.attempt = {.entry = {}, .number = ++m_attempts}, .key = key}, wall()));
        const auto gap = -std::log(1 - m_random.fraction()) / m_scenario.bookingsPerSecond;
        at(m_now + Micros(static_cast<std::int64_t>(gap * 1e6)), [this] { arrive(); });
    }

    void perform(Shard &shard, const KeyActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *append = std::get_if<AppendBatch>(&action)) {
                send(shard, append->batch);
            } else if (const auto *run = std::get_if<RunCall>(&action)) {
                m_added.push_back(m_now - m_arrived.at(run->key));
                at(m_now + ServiceTime, [this, &shard, key = run->key] {
                    perform(shard, shard.gate.callCompleted(key, StoredAnswer{.status = 201, .body = "{}"}));
                });
            }
        }
    }

    /** Appends a batch as one record, or, without group commit, at the price of one append a record. */
    void send(Shard &shard, const KeyBatch &batch)
    {
        const auto appends = m_scenario.grouped ? 1 : std::max<std::size_t>(batch.records.size(), 1);
        const auto pause = m_scenario.grouped ? AppendPause : Micros(0);
        const auto price = Micros(static_cast<std::int64_t>(1e6 / LogAppendsPerSecond)) * static_cast<int>(appends);
        const auto slot = std::max(shard.nextAppend, m_now - AppendBurst * pause);
        shard.nextAppend = slot + pause;
        const auto begin = std::max({m_now, m_logFree, slot});
        m_logFree = begin + price;
        m_appends += appends;
        m_records += batch.records.size();
        m_bytes += encode(batch).size();
        at(m_logFree + LogRoundTrip, [this, &shard, batch] {
            perform(shard, shard.gate.appendCompleted(batch.serial, true, wall()));
            perform(shard, shard.gate.recordRead(static_cast<LogOffset>(++shard.offset), batch, wall()));
        });
    }

    void print()
    {
        std::sort(m_added.begin(), m_added.end());
        const auto percentile = [this](double share) {
            const auto place = static_cast<std::size_t>(share * static_cast<double>(m_added.size() - 1));
            return m_added.empty() ? 0.0 : static_cast<double>(m_added[place].count()) / 1000;
        };
        const auto seconds = static_cast<double>(RunFor.count()) / 1e6 - 1;
        std::printf("%-34s %9.0f %8s %10.1f %9.1f %9.0f %9.1f %9.1f %8.1f%%\n", m_scenario.name,
                    m_scenario.bookingsPerSecond, m_scenario.grouped ? "yes" : "no",
                    static_cast<double>(m_appends) / seconds,
                    static_cast<double>(m_records) / static_cast<double>(m_appends),
                    static_cast<double>(m_bytes) / static_cast<double>(m_records), percentile(0.5), percentile(0.99),
                    100 * static_cast<double>(m_added.size()) / static_cast<double>(m_arrived.size()));
    }

    Scenario m_scenario;
    SeededRandom m_random{1};
    std::vector<std::unique_ptr<Shard>> m_shards;
    std::priority_queue<Event> m_events;
    std::map<Uuid7, Micros> m_arrived;
    std::vector<Micros> m_added;
    Micros m_now{0};
    Micros m_logFree{0};
    std::uint64_t m_order = 0;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_records = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace

int main()
{
    std::printf("One service of %u shards; log: %.0f appends/s, round trip %.0f ms; 19 s on a virtual clock.\n\n",
                KeyShardCount, LogAppendsPerSecond, static_cast<double>(LogRoundTrip.count()) / 1000);
    std::printf("%-34s %9s %8s %10s %9s %9s %9s %9s %9s\n", "load", "bookings", "grouped", "appends/s", "records",
                "bytes", "p50 ms", "p99 ms", "run");
    for (const bool grouped : {true, false}) {
        for (const auto &[name, rate] :
             {std::pair{"today, quiet", 5.0}, std::pair{"today, peak", 50.0},
              std::pair{"half the log's appends", 200.0}, std::pair{"two years, 1% of 39,000/s", 390.0},
              std::pair{"two years, 5% of 39,000/s", 1950.0}}) {
            Simulation({.name = name, .bookingsPerSecond = rate, .grouped = grouped}).run();
        }
    }
}
