#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/keys/requestfingerprint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace Heatherridge
{

/** Observation by an entry about a request that may crash the targets that run it. */
struct CrashReport
{
    enum class Kind {
        TargetDied, ///< a target died while it had the request and before it sent any byte of the answer
        Answered, ///< a target ran it to an answer
    };

    Kind kind = Kind::TargetDied;
    RequestFingerprint request{};
    TargetName target{}; ///< that died; null for an answer

    bool operator==(const CrashReport &) const = default;
};

/**
 * Tracks requests that are no longer sent to targets because the targets that ran them died.
 *
 * Load pattern: one request crashes every target that starts to run it, and its caller sends it again and again through
 * any entry. Each crash stops a whole expert group for seconds, so a single caller can take down most of the capacity.
 *
 * Every entry records the same reports, its own and those of other entries, and therefore reaches the same verdict.
 * Requests that were at the target by chance become suspects too; an answer from any target clears them.
 * Single-threaded.
 */
class CrashSuspects
{
public:
    struct Options
    {
        /**
         * Number of targets that must die while running a request before it is blocked. With one, all requests at a
         * target that dies for another reason would be blocked.
         */
        std::size_t deathsToBlock = 2;
        std::chrono::milliseconds retention{300'000}; ///< since the last report or refusal
        /** Of the reports on a blocked request while it arrives; the log may keep reports for 20 s only. */
        std::chrono::milliseconds repeatInterval{8'000};
        std::size_t maxRequests = 10'000; ///< beyond it the least recently active request is evicted
    };

    CrashSuspects()
        : CrashSuspects(Options{})
    {
    }
    explicit CrashSuspects(Options options);

    /**
     * Records @p report.
     * @returns whether it causes a request to be blocked that was not blocked before
     */
    bool record(const CrashReport &report, SteadyTime now);

    /** Returns whether a target has died while it ran @p request and no target has answered it since. */
    bool isSuspect(const RequestFingerprint &request) const;

    /** Returns whether @p request must not be sent to any target. */
    bool isBlocked(const RequestFingerprint &request) const;

    /** Returns whether there are no suspects. */
    bool isEmpty() const;

    /**
     * Records that the blocked @p request was received again and refused. It stays blocked as long as it keeps coming.
     * @returns reports to send again, as many as block the request at an entry that knows no others; none unless
     * repeatInterval has passed since the last report of any entry
     */
    std::vector<CrashReport> recordRefusal(const RequestFingerprint &request, SteadyTime now);

    /** Evicts suspects without activity within the retention time. */
    void evictExpired(SteadyTime now);

private:
    struct Suspect
    {
        std::set<TargetName> deadTargets{};
        SteadyTime lastReport{};
        SteadyTime lastActivity{}; ///< of the last report or refusal
    };

    bool isBlocked(const Suspect &suspect) const;
    void evictOldest();

    Options m_options;
    std::map<RequestFingerprint, Suspect> m_suspects;
};

/**
 * Targets that hold a suspect request of this entry and have not sent any byte of its answer.
 *
 * Load pattern: a target dies with several requests that had just arrived. If they were all forwarded to the same next
 * target and the culprit crashed that one too, all of them would be blocked. Single-threaded.
 */
class SuspectTargets
{
public:
    /** Records that a suspect was sent to @p target. */
    void add(const TargetName &target);

    /** Records that @p target has started to answer its suspect, or no longer has it. */
    void remove(const TargetName &target);

    /**
     * Returns the targets to which the next suspect is sent only if there are no others: @p tried and those that hold a
     * suspect.
     */
    std::set<TargetName> targetsToAvoid(std::set<TargetName> tried) const;

private:
    std::multiset<TargetName> m_targets;
};

} // namespace Heatherridge
