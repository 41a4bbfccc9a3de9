#pragma once

#include "heatherridge_coordination/feed/workshare.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/fleetretrybudget.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Divides partitions evenly among the members whose lease is valid. A member gets a partition that another one has
 * held only after that one has joined again, left or lost its lease. */
class ShareLogModel
{
public:
    static constexpr int PartitionCount = 228;

    /** Joins @p member at @p now and returns its partitions. */
    ShareAssignment join(const std::string &member, std::chrono::milliseconds lease, SteadyTime now);

    void leave(const std::string &member);

private:
    std::set<int> targetOf(const std::string &member) const;

    std::map<std::string, SteadyTime> m_members; ///< with the end of each lease
    std::map<int, std::string> m_owners;
    std::uint64_t m_generation = 1;
};

/**
 * Gateways that share one retry budget, in virtual time: each with its own run of the process, clock and view of the
 * log. Targets fail all requests while they are set to, and each request is then retried as often as the budget lets
 * it.
 */
class RetryFleet
{
public:
    struct Options
    {
        int gateways = 4;
        double requestsPerSecond = 35; ///< at each gateway
        double share = 0.2;
        double slack = 88;
        std::chrono::seconds window{10};
        double failingFraction = 1; ///< of the requests, while targets fail
        int maxRetries = 2; ///< of a request
        std::uint64_t seed = 1;
    };

    explicit RetryFleet(const Options &options);
    ~RetryFleet();

    /** Calls @p action once the fleet has run for @p time. */
    void at(std::chrono::milliseconds time, std::function<void()> action);

    void setFailing(bool isFailing);
    void setLogAway(bool isAway);
    /** Sets whether the log rejects the calls of @p gateway and serves the others. */
    void setRejected(int gateway, bool isRejected);
    /** Ends the process at once; a new run begins after @p downTime. */
    void kill(int gateway, std::chrono::milliseconds downTime);
    /** As kill(), after the process has left the log's division of work. */
    void stop(int gateway, std::chrono::milliseconds downTime);

    void run(std::chrono::milliseconds duration);

    int retries() const;
    int deniedRetries() const;

    /** Returns by how many retries the limit was exceeded in the worst window; not positive if it was kept. */
    double worstExcess() const;

private:
    class Gateway;

    void step();

    Options m_options;
    SeededRandom m_random;
    ShareLogModel m_log;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::multimap<std::chrono::milliseconds, std::function<void()>> m_actions;
    std::chrono::milliseconds m_elapsed{0};
    bool m_isFailing = false;
    bool m_isLogAway = false;
    std::vector<int> m_requestsByStep;
    std::vector<int> m_retriesByStep;
    int m_denied = 0;
};

} // namespace Heatherridge
