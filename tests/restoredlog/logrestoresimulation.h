#pragma once

#include "heatherridge_coordination/feed/crashfeed.h"
#include "heatherridge_coordination/feed/logrestore.h"
#include "heatherridge_coordination/feed/workshare.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_transport/direct/gatewaycontrol.h"
#include "logera.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What guards gateways against a log that comes back older; each can be switched off. */
struct RestoreSafeguards
{
    bool checksEras = true; ///< answers from before the log came back are dropped
    bool rereadsRegisters = true; ///< registers and copies are read again, and what was known of targets is kept
    bool resendsReports = true; ///< crash reports are written again
    bool comparesRevisions = true; ///< targets' records are compared by revision
};

/** All that the log holds; copied and put back as a whole. */
struct LogContent
{
    std::vector<RegisterChange> rules{};
    std::vector<RegisterChange> targets{};
    std::vector<std::map<std::uint64_t, std::string>> copies{};
    std::vector<std::string> reports{};
};

/**
 * Gateways' control state before a log that comes back from copies some seconds old, loses answers, and delays calls.
 * Operators and targets write, and write again what was lost. Time is simulated; one thread.
 */
class LogRestoreSimulation
{
public:
    LogRestoreSimulation(std::uint64_t seed, RestoreSafeguards safeguards);
    ~LogRestoreSimulation();

    /** Plays troubles for a while, then calm. @returns what was wrong, or nothing */
    std::string run();

private:
    struct Target;
    struct Gateway;
    class SimulatedLogClient;

    void step();
    void injectFaults();
    int freePort() const;
    void publish();
    void heartbeat(Target &target);
    void scheduleHeartbeat(const Target &target, std::chrono::milliseconds delay);
    void restoreLog();
    void writeRules();
    void writeRemoval(const std::string &target);
    static void append(std::vector<RegisterChange> &records, const std::string &key, std::optional<std::string> value);
    void startGateway(std::size_t index);
    void reportTargetDeath(Gateway &gateway);
    void checkInvariants();
    void checkFinalState();
    void recordFailure(const std::string &what);
    void schedule(std::chrono::milliseconds delay, std::function<void()> task);
    std::chrono::milliseconds randomDelay(int min, int max);
    bool occursOnAverageEvery(std::chrono::milliseconds interval);

    SeededRandom m_random;
    RestoreSafeguards m_safeguards;
    SteadyTime m_now;
    std::multimap<SteadyTime, std::function<void()>> m_tasks;
    LogContent m_log;
    std::uint64_t m_era = 1;
    bool m_isLogDown = false;
    std::map<SteadyTime, LogContent> m_backups;
    std::uint64_t m_version = 0;
    int m_targetCount = 0;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::string m_failure;
};

} // namespace Heatherridge
