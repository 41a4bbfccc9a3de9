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

/** Safeguards of gateways against a log restored from an older copy; each can be disabled. */
struct RestoreSafeguards
{
    bool checksEras = true; ///< answers from before the restore are dropped
    bool rereadsRegisters = true; ///< registers and copies are read again; known targets are kept
    bool resendsReports = true; ///< recent crash reports are written again
    bool comparesRevisions = true; ///< records of targets are compared by revision
};

/** The complete content of the log; backed up and restored as a whole. */
struct LogContent
{
    std::vector<RegisterChange> rules{};
    std::vector<RegisterChange> targets{};
    std::vector<std::map<std::uint64_t, std::string>> copies{};
    std::vector<StoredDrains> copiedDrains{}; ///< per copy
    std::vector<std::string> reports{};
};

/**
 * Simulates the control state of gateways whose log is restored from backups some seconds old, loses answers and delays
 * calls. Operators and targets write records, and write lost ones again. Simulated time; single-threaded.
 */
class LogRestoreSimulation
{
public:
    LogRestoreSimulation(std::uint64_t seed, RestoreSafeguards safeguards);
    ~LogRestoreSimulation();

    /** Runs a phase with faults and one without. @returns a description of the first violation, or an empty string */
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
    void writeDrain(const std::string &zone);
    void checkCopies();
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
    SeededRandom m_operatorRandom; ///< for the orders to drain a zone
    std::set<std::string> m_drainedZones; ///< as the operator has ordered
    int m_targetCount = 0;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::string m_failure;
};

} // namespace Heatherridge
