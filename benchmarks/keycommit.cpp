#include "heatherridge_coordination/keys/keygate.h"
#include "heatherridge_protocol/keyrecordcodec.h"
#include "heatherridge_state/base/randomsource.h"

#include <algorithm>
#include <cstdio>
#include <queue>

using namespace Heatherridge;

/**
 * Measures the costs and benefits of group commit on a virtual clock: one gate per shard, and a log with a given round
 * trip and a given limit of appends per second. Prints appends per second, records per append, and the latency added by
 * reading back the intent, with group commit and with one record per append.
 */
namespace
{

using namespace std::chrono_literals;
using Micros = std::chrono::microseconds;

constexpr Micros LogRoundTrip{4000};
constexpr double LogAppendsPerSecond = 400;
constexpr Micros ServiceTime{10'000};
constexpr Micros RunDuration{20'000'000};
constexpr Micros AppendInterval{20'000};
constexpr int AppendBurst = 10;
constexpr Micros TickPeriod{50'000};

struct Scenario
{
    const char *name;
    double bookingsPerSecond;
    bool grouped;
};

/** One shard: its gate and the state of its log stream. */
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
            performActions(shard, shard.gate.placementChanged({.shouldHold = true}, wallTime()));
            performActions(shard, shard.gate.logAvailabilityChanged(true, wallTime()));
            performActions(shard, shard.gate.streamCaughtUp(wallTime()));
        }
    }

    void run()
    {
        schedule(Micros(1'000'000), [this] { handleArrival(); });
        schedule(TickPeriod, [this] { tick(); });
        while (!m_events.empty() && m_events.top().due < RunDuration) {
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

    WallTime wallTime() const
    {
        return WallTime(1'000'000s) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now);
    }

    void schedule(Micros due, std::function<void()> task)
    {
        m_events.push({.due = due, .order = ++m_order, .task = std::move(task)});
    }

    void tick()
    {
        for (const auto &shard : m_shards) {
            performActions(*shard, shard->gate.tick(wallTime()));
        }
        schedule(m_now + TickPeriod, [this] { tick(); });
    }

    void handleArrival()
    {
        const auto key = Uuid7::make(wallTime(), m_random.draw(), m_random.draw());
        auto &shard = *m_shards[toNumber(shardOf(key))];
        m_arrivalTimes[key] = m_now;
        performActions(
            shard,
            shard.gate.requestReceived({.attempt = {.entry = {}, .number = ++m_attempts}, .key = key}, wallTime()));
        const auto secondsToNext = -std::log(1 - m_random.fraction()) / m_scenario.bookingsPerSecond;
        schedule(m_now + Micros(static_cast<std::int64_t>(secondsToNext * 1e6)), [this] { handleArrival(); });
    }

    void performActions(Shard &shard, const KeyActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *append = std::get_if<AppendBatch>(&action)) {
                appendBatch(shard, append->batch);
            } else if (const auto *run = std::get_if<RunCall>(&action)) {
                m_addedLatencies.push_back(m_now - m_arrivalTimes.at(run->key));
                schedule(m_now + ServiceTime, [this, &shard, key = run->key] {
                    performActions(shard, shard.gate.callCompleted(key, StoredAnswer{.status = 201, .body = "{}"}));
                });
            }
        }
    }

    /** Appends a batch at the cost of one append, or, without group commit, of one append per record. */
    void appendBatch(Shard &shard, const KeyBatch &batch)
    {
        const auto appends = m_scenario.grouped ? 1 : std::max<std::size_t>(batch.records.size(), 1);
        const auto interval = m_scenario.grouped ? AppendInterval : Micros(0);
        const auto appendCost =
            Micros(static_cast<std::int64_t>(1e6 / LogAppendsPerSecond)) * static_cast<int>(appends);
        const auto earliestStart = std::max(shard.nextAppend, m_now - AppendBurst * interval);
        shard.nextAppend = earliestStart + interval;
        const auto begin = std::max({m_now, m_logFreeTime, earliestStart});
        m_logFreeTime = begin + appendCost;
        m_appends += appends;
        m_records += batch.records.size();
        m_bytes += encode(batch).size();
        schedule(m_logFreeTime + LogRoundTrip, [this, &shard, batch] {
            performActions(shard, shard.gate.appendCompleted(batch.serial, true, wallTime()));
            performActions(shard, shard.gate.recordRead(static_cast<LogOffset>(++shard.offset), batch, wallTime()));
        });
    }

    void print()
    {
        std::sort(m_addedLatencies.begin(), m_addedLatencies.end());
        const auto percentile = [this](double share) {
            const auto index = static_cast<std::size_t>(share * static_cast<double>(m_addedLatencies.size() - 1));
            return m_addedLatencies.empty() ? 0.0 : static_cast<double>(m_addedLatencies[index].count()) / 1000;
        };
        const auto seconds = static_cast<double>(RunDuration.count()) / 1e6 - 1;
        std::printf("%-34s %9.0f %8s %10.1f %9.1f %9.0f %9.1f %9.1f %8.1f%%\n", m_scenario.name,
                    m_scenario.bookingsPerSecond, m_scenario.grouped ? "yes" : "no",
                    static_cast<double>(m_appends) / seconds,
                    static_cast<double>(m_records) / static_cast<double>(m_appends),
                    static_cast<double>(m_bytes) / static_cast<double>(m_records), percentile(0.5), percentile(0.99),
                    100 * static_cast<double>(m_addedLatencies.size()) / static_cast<double>(m_arrivalTimes.size()));
    }

    Scenario m_scenario;
    SeededRandom m_random{1};
    std::vector<std::unique_ptr<Shard>> m_shards;
    std::priority_queue<Event> m_events;
    std::map<Uuid7, Micros> m_arrivalTimes;
    std::vector<Micros> m_addedLatencies;
    Micros m_now{0};
    Micros m_logFreeTime{0};
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
