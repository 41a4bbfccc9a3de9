#pragma once

#include "fakegate.h"
#include "figures.h"

#include <set>

namespace Heatherridge::PolicyModel
{

/** Selects which entry-side mechanisms are enabled. */
struct EntryOptions
{
    PlacementRules placement{};
    bool oracle = false; ///< places requests by the actual state of all engines, without delay
    bool retries = true;
    bool budget = true; ///< false: only the number of attempts limits retries
    bool health = true;
    bool slowness = true;
    bool dropPrefixesOnGap =
        false; ///< whether a gap in a target's cache events removes the target from the prefix index
    RetryOptions retry{};
    bool usePending = true; ///< whether placement considers prompt tokens that targets have yet to compute
    bool usePressure = true; ///< whether placement considers the share of requests that targets refuse
    int maxClientRetries = 0; ///< how often a refused caller repeats its request, each time after the given retry delay
};

/** An entry with its own, incomplete view of the gates. */
class FakeEntry
{
public:
    FakeEntry(std::size_t number, int zone, EntryOptions options, std::vector<FakeGate *> gates,
              std::vector<int> gateZones, EventLoop &loop, Recorder &recorder, std::uint64_t seed);

    /** Accepts a request from a caller. */
    void accept(const Job &job);

    /** Receives a report of gate @p target, from a heartbeat, an answer frame or the end of an attempt. */
    void receiveReport(std::size_t target, const GateReport &report);

    /** Receives cache events of @p target. @param complete false if the events before them were lost */
    void receiveCacheEvents(std::size_t target, const std::vector<CacheEvent> &events, bool complete);

private:
    struct Link
    {
        GateReport report{};
        std::optional<SteadyTime> reported{};
        double load = 0;
        double promptSent = 0; ///< prompt tokens to be computed that were sent since the last report
        std::uint32_t inFlight = 0;
    };

    struct PendingRequest
    {
        Job job{};
        int attempt = 0;
        std::set<std::size_t> refusedBy{};
    };

    void place(PendingRequest request);
    void attempt(PendingRequest request, std::size_t target);
    void handleCompletion(const PendingRequest &request, std::size_t target, const AttemptResult &result);
    void handleFailure(PendingRequest request, std::size_t target, const Error &error);
    void refuse(Job job, const Error &error);
    void fillViews(const PendingRequest &request);
    void fillOracleViews(const Job &job);
    std::chrono::microseconds delayTo(std::size_t target) const;
    TargetName nameOf(std::size_t target) const;

    std::size_t m_number;
    int m_zone;
    EntryOptions m_options;
    std::vector<FakeGate *> m_gates;
    std::vector<int> m_gateZones;
    EventLoop &m_loop;
    Recorder &m_recorder;
    SeededRandom m_random;
    Placement m_placement;
    RetryPolicy m_retries;
    HealthTracker m_health;
    SlownessTracker m_slowness;
    PrefixIndex m_prefixes;
    std::vector<Link> m_links;
    std::vector<TargetView> m_views;
};

} // namespace Heatherridge::PolicyModel
