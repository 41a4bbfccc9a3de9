#pragma once

#include "fakegate.h"
#include "figures.h"

#include <set>

namespace Heatherridge::PolicyModel
{

/** Which of the entry-side mechanisms are on. */
struct EntryOptions
{
    PlacementRules placement{};
    bool oracle = false; ///< knows the true state of all engines, without delay
    bool retries = true;
    bool budget = true; ///< off: retries are bounded by the number of attempts alone
    bool health = true;
    bool slowness = true;
    bool dropPrefixesOnGap = false; ///< a gap in a target's cache events voids what was known of its cache
    RetryOptions retry{};
    bool usePending = true; ///< whether prompts that targets still compute count in placement
    bool usePressure = true; ///< whether the share that targets refuse counts in placement
    int maxClientRetries = 0; ///< how often a refused caller comes back, at the time it was told
};

/** One entry with its own incomplete view of the gates. */
class FakeEntry
{
public:
    FakeEntry(std::size_t number, int zone, EntryOptions options, std::vector<FakeGate *> gates,
              std::vector<int> gateZones, EventLoop &loop, Recorder &recorder, std::uint64_t seed);

    /** A caller asks. */
    void accept(const Job &job);

    /** A heartbeat of gate @p target arrives. */
    void receiveReport(std::size_t target, const GateReport &report);

    /** Cache events of @p target arrive. @param complete false when some before them were lost */
    void receiveCacheEvents(std::size_t target, const std::vector<CacheEvent> &events, bool complete);

private:
    struct Link
    {
        GateReport report{};
        std::optional<SteadyTime> reported{};
        double load = 0;
        double promptSent = 0; ///< prompt tokens to compute, sent since the last report
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
