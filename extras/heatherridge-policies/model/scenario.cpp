#include "scenario.h"

namespace Heatherridge::PolicyModel
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds FrameDelay{500};
constexpr double FlappingLoad = 1e5; ///< cost, far beyond the capacity of a target

/** Owns and drives all components of one run. */
class Simulation
{
public:
    explicit Simulation(const ScenarioOptions &options)
        : m_options(options)
        , m_workload(options.workload, options.seed)
        , m_recorder(options.targets, m_workload.options().customers)
        , m_random(options.seed + 7)
    {
        std::vector<FakeGate *> gates;
        std::vector<int> zones;
        for (std::size_t i = 0; i < options.targets; ++i) {
            m_gates.push_back(
                std::make_unique<FakeGate>(options.gate, options.engine, m_workload.options().customers, m_loop));
            gates.push_back(m_gates.back().get());
            zones.push_back(static_cast<int>(i) % options.zones);
        }
        m_zones = zones;
        for (std::size_t i = 0; i < options.entries; ++i) {
            m_entries.push_back(std::make_unique<FakeEntry>(i, static_cast<int>(i) % options.zones, options.entry,
                                                            gates, zones, m_loop, m_recorder, options.seed * 1000 + i));
        }
    }

    Figures run()
    {
        const auto start = m_loop.now() + m_options.warmup;
        const auto end = start + m_options.measuredDuration;
        m_recorder.setPeriod(start, end);
        scheduleArrival();
        for (std::size_t i = 0; i < m_gates.size(); ++i) {
            // Heartbeats are staggered over the interval, as those of hosts that started at different times are.
            m_loop.after(m_options.heartbeatInterval * i / m_gates.size(), [this, i] { sendHeartbeat(i); });
        }
        if (m_options.frameInterval.count() > 0) {
            sendFrames();
        }
        for (const auto &fault : m_options.faults) {
            m_loop.after(fault.from, [this, &fault] { apply(fault, true); });
            m_loop.after(fault.until, [this, &fault] { apply(fault, false); });
        }
        m_loop.runUntil(end);
        m_stopped = true;
        double limits = 0;
        for (const auto &gate : m_gates) {
            limits += static_cast<double>(gate->limit()) / static_cast<double>(m_gates.size());
        }
        m_loop.runUntil(end + m_options.workload.deadline * 2);
        auto figures = m_recorder.figures();
        figures.meanLimit = limits;
        return figures;
    }

private:
    void scheduleArrival()
    {
        m_loop.after(m_workload.timeToNextArrival(m_loop.now()), [this] {
            if (m_stopped) {
                return;
            }
            m_entries[m_nextEntry++ % m_entries.size()]->accept(m_workload.draw(m_loop.now()));
            scheduleArrival();
        });
    }

    void sendCacheEvents(std::size_t target)
    {
        const auto events = m_gates[target]->engine().collectCacheEvents();
        for (std::size_t i = 0; m_options.cacheEvents && i < m_entries.size(); ++i) {
            const bool lost = m_random.fraction() < m_options.cacheEventsLost;
            const bool complete = !m_gaps[{i, target}];
            m_gaps[{i, target}] = lost;
            if (!lost) {
                m_loop.after(m_options.reportDelay, [this, i, target, events, complete] {
                    m_entries[i]->receiveCacheEvents(target, events, complete);
                });
            }
        }
    }

    GateReport reportOf(std::size_t target, std::size_t entry)
    {
        auto report = m_gates[target]->reportFor(entry);
        if (m_flapping) {
            report.load = report.entryLoad + ((m_heartbeats + target) % 2 == 0 ? 0 : FlappingLoad);
        }
        return report;
    }

    void sendFrames()
    {
        for (std::size_t target = 0; target < m_gates.size(); ++target) {
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                if (m_gates[target]->servesEntry(entry)) {
                    m_loop.after(FrameDelay, [this, target, entry, report = reportOf(target, entry)] {
                        m_entries[entry]->receiveReport(target, report);
                    });
                }
            }
        }
        if (!m_stopped) {
            m_loop.after(m_options.frameInterval, [this] { sendFrames(); });
        }
    }

    void sendHeartbeat(std::size_t target)
    {
        sendCacheEvents(target);
        if (m_gates[target]->isUp()) {
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                const auto report = reportOf(target, i);
                m_loop.after(m_options.reportDelay,
                             [this, i, target, report] { m_entries[i]->receiveReport(target, report); });
            }
        }
        m_heartbeats += target == 0 ? 1 : 0;
        if (!m_stopped) {
            m_loop.after(m_options.heartbeatInterval, [this, target] { sendHeartbeat(target); });
        }
    }

    void apply(const Fault &fault, bool isStarting)
    {
        std::visit(Visitor{
                       [&](const SlowFault &slow) {
                           m_gates[slow.target]->engine().setSlowness(isStarting ? slow.factor : 1);
                       },
                       [&](const ZoneFault &lost) {
                           for (std::size_t i = 0; i < m_gates.size(); ++i) {
                               if (m_zones[i] == lost.zone) {
                                   m_gates[i]->setDown(isStarting);
                               }
                           }
                       },
                       [&](const OutageFault &) {
                           for (auto &gate : m_gates) {
                               gate->setDown(isStarting);
                           }
                       },
                       [&](const FlappingFault &) { m_flapping = isStarting; },
                   },
                   fault.type);
    }

    const ScenarioOptions &m_options;
    EventLoop m_loop;
    Workload m_workload;
    Recorder m_recorder;
    std::vector<std::unique_ptr<FakeGate>> m_gates;
    std::vector<std::unique_ptr<FakeEntry>> m_entries;
    std::vector<int> m_zones;
    std::map<std::pair<std::size_t, std::size_t>, bool>
        m_gaps; ///< by entry and target: whether the last cache events were lost
    SeededRandom m_random;
    std::size_t m_nextEntry = 0;
    std::size_t m_heartbeats = 0;
    bool m_flapping = false;
    bool m_stopped = false;
};

} // namespace

Figures run(const ScenarioOptions &options)
{
    return Simulation(options).run();
}

} // namespace Heatherridge::PolicyModel
