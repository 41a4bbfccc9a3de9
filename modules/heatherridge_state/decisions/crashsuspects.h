#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/keys/requestfingerprint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace Heatherridge
{

/** What an entry has seen of a request that may end the targets that run it. */
struct CrashReport
{
    enum class Kind {
        TargetDied, ///< a target ended while it had the request and had not answered a byte of it
        Answered, ///< a target ran it to an answer
    };

    Kind kind = Kind::TargetDied;
    RequestFingerprint request{};
    TargetName target{}; ///< that died; null for an answer

    bool operator==(const CrashReport &) const = default;
};

/**
 * Which requests are not sent to targets any more, since those that ran them have ended.
 *
 * Load pattern: one request ends each target that begins to run it, and its caller sends it again and again, through
 * any entry. Each death stops a whole expert group for seconds, so that a single caller takes most of the capacity.
 *
 * Every entry takes the same reports, its own and those of others, and so comes to the same verdict. Requests that were
 * at the target by chance are suspects too; an answer from any target clears them. One thread.
 */
class CrashSuspects
{
public:
    struct Options
    {
        /** Targets that died under a request before it is blocked. With one, all requests at a target that dies for
         * another reason would be blocked. */
        std::size_t deathsToBlock = 2;
        std::chrono::milliseconds retention{300'000}; ///< since the last report or refusal
        std::size_t maxRequests = 10'000; ///< beyond it the one that was heard of least recently is dropped
    };

    CrashSuspects()
        : CrashSuspects(Options{})
    {
    }
    explicit CrashSuspects(Options options);

    /** Takes @p report. @returns whether a request is blocked that was not before */
    bool record(const CrashReport &report, SteadyTime now);

    /** Whether a target has died under @p request, and none has answered it since. */
    bool isSuspect(const RequestFingerprint &request) const;

    /** Whether @p request must not be sent to a target. */
    bool isBlocked(const RequestFingerprint &request) const;

    /** Whether there is no suspect. */
    bool isEmpty() const;

    /**
     * The blocked @p request came again and was refused; it stays blocked while it goes on coming.
     * @returns a report to tell again when the last one is about to be forgotten by the others
     */
    std::optional<CrashReport> recordRefusal(const RequestFingerprint &request, SteadyTime now);

    /** Forgets what has not been heard of for long. */
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
 * The targets that have a suspect of this entry and have not answered a byte of it.
 *
 * Load pattern: a target dies with several requests that had just come to it. Sent on together, they would be at the
 * next target together, and all of them blocked when the one among them that ends targets ends that one too. One
 * thread.
 */
class SuspectTargets
{
public:
    /** @p target was sent a suspect. */
    void add(const TargetName &target);

    /** It has begun to answer it, or has it no longer. */
    void remove(const TargetName &target);

    /** Targets to send the next suspect to only when there are no others: @p tried and those that have a suspect. */
    std::set<TargetName> targetsToAvoid(std::set<TargetName> tried) const;

private:
    std::multiset<TargetName> m_targets;
};

} // namespace Heatherridge
