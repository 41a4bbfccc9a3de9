#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/decisions/blocktrials.h"
#include "heatherridge_state/decisions/crashreport.h"
#include "heatherridge_state/decisions/targetdeaths.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** What follows from an observation about a request. */
struct RequestCrashChanges
{
    std::vector<RequestCrashRecord> toPublish{}; ///< for all entries
    std::vector<RequestFingerprint> blocked{}; ///< were not blocked before
    std::vector<RequestFingerprint> released{}; ///< were blocked before
};

/**
 * Tracks requests that are no longer sent to targets because the targets that ran them died.
 *
 * Load pattern: one request crashes every target that starts to run it, and its caller sends it again and again through
 * any entry. Each crash stops a whole expert group for seconds, so a single caller can take down most of the capacity.
 * A request that is asked for all the time is in progress at several targets when these die for another reason.
 *
 * A death counts against a request beyond the first one if the request was sent after an earlier death was known: two
 * targets that die at the same moment with copies that were in progress are one event, whatever its cause. Three deaths
 * block the request in any case. A request that was at a target by chance becomes a suspect too; an answer from any
 * target clears it, and so does a stream that comes further than at these deaths. A blocked request gets a few trials,
 * each sent by one entry.
 *
 * Every entry records the same reports, its own and those of other entries, and therefore reaches the same verdict; the
 * verdict is published too, for entries that miss the reports. Single-threaded; time comes from the caller.
 */
class CrashSuspects
{
public:
    struct Options
    {
        /**
         * Number of deaths while targets run a request, also of one target that starts again, before it is blocked.
         * With one, all requests at a target that dies for another reason would be blocked.
         */
        std::size_t deathsToBlock = 2;
        /**
         * The same if the request was in progress at all these targets when the first one died. Each entry may send
         * further copies at once when the targets are back, before it learns of the next death.
         */
        std::size_t deathsToBlockTogether = 3;
        std::chrono::milliseconds doubtfulTrialDelay{2'000}; ///< from such a block to the first trial
        TargetDeaths::Options deaths{};
        std::chrono::milliseconds retention{300'000}; ///< since the last report or refusal
        /** Of the record of a block while requests arrive; the log may keep records for 20 s only. */
        std::chrono::milliseconds repeatInterval{8'000};
        /** How long records that were written before an answer was read may still arrive. */
        std::chrono::milliseconds recordDelay{5'000};
        BlockTrials::Options trials{.firstDelay = std::chrono::milliseconds(5'000),
                                    .claimLifetime = std::chrono::milliseconds(20'000)};
        /** Longest wait before a claim that other entries may make too; it is dropped when theirs is read meanwhile. */
        std::chrono::milliseconds claimJitter{1'000};
        /** From a claim of this entry until the next, unless the first one is read from the log. */
        std::chrono::milliseconds claimTimeout{1'500};
        std::size_t maxRequests = 10'000; ///< beyond it the least recently active request is evicted
    };

    /** @param self this run of the entry, which its reports and claims carry */
    explicit CrashSuspects(Incarnation self)
        : CrashSuspects(self, Options{})
    {
    }
    CrashSuspects(Incarnation self, Options options);

    /** An attempt under which a target died. */
    struct Death
    {
        TargetName target{};
        SteadyTime sentAt{}; ///< when this entry sent it the request
        std::uint32_t progress = 0; ///< whole events of the answer in this attempt
    };

    /** Records @p death under @p request. */
    RequestCrashChanges recordTargetDeath(const RequestFingerprint &request, const Death &death, SteadyTime now);

    /** Records that a target ran @p request to an answer. */
    RequestCrashChanges recordAnswer(const RequestFingerprint &request, SteadyTime now);

    /** Records that a target has sent @p events whole events of an answer to @p request in one attempt. */
    RequestCrashChanges recordProgress(const RequestFingerprint &request, std::uint32_t events, SteadyTime now);

    /**
     * Records that the blocked @p request was received again and refused. It stays blocked as long as it keeps coming.
     */
    RequestCrashChanges recordRefusal(const RequestFingerprint &request, SteadyTime now);

    /**
     * Claims a trial of the blocked @p request if one is due. The request that was received waits for the claim to be
     * read from the log: the next one may come to another entry.
     * @returns the claim to publish, if any
     */
    RequestCrashChanges claimTrial(const RequestFingerprint &request, SteadyTime now);

    /** Returns whether a claim of this entry may still be read from the log in time. */
    bool awaitsClaim(const RequestFingerprint &request, SteadyTime now) const;

    /** Applies @p record, read from the log in its order; also those of this entry. */
    RequestCrashChanges apply(const RequestCrashRecord &record, SteadyTime now);

    /** Returns whether a target has died while it ran @p request and no target has answered it since. */
    bool isSuspect(const RequestFingerprint &request) const;

    /** Returns whether @p request must not be sent to any target, but for a trial. */
    bool isBlocked(const RequestFingerprint &request) const;

    /** Returns whether this entry may send the blocked @p request as a trial, and uses up the permission. */
    bool takeTrial(const RequestFingerprint &request, SteadyTime now);

    /** Gives the permission of a trial back: the request has not reached any target. */
    void returnTrial(const RequestFingerprint &request);

    /** Returns whether there are no suspects. */
    bool isEmpty() const;

    /** Evicts suspects without activity within the retention time. */
    void evictExpired(SteadyTime now);

private:
    struct Suspect
    {
        TargetDeathList deaths{}; ///< since the last answer
        std::uint32_t progress = 0; ///< furthest at these deaths
        SteadyTime since{}; ///< first death since the last answer
        bool hasDiedAgain = false; ///< under a request that was sent after an earlier death was known
        std::optional<BlockTrials> trials{}; ///< set while it is blocked
        SteadyTime lastRecord{}; ///< when a record of the block was published here or read
        SteadyTime lastActivity{}; ///< of the last report or refusal
        SteadyTime nextClaim{}; ///< of this entry, at the earliest
    };

    void addReport(const CrashReport &report, SteadyTime now);
    void applyRecord(const CrashReport &report, SteadyTime now);
    void applyRecord(const RequestBlocked &record, SteadyTime now);
    void applyRecord(const RequestTrial &record, SteadyTime now);

    void block(const RequestFingerprint &request, Suspect &suspect, SteadyTime firstTrial);
    void clear(const RequestFingerprint &request, SteadyTime now);
    void publishBlock(const RequestFingerprint &request, Suspect &suspect, SteadyTime now);
    bool wasClearedLately(const RequestFingerprint &request, SteadyTime now) const;
    std::chrono::milliseconds claimDelay(const RequestFingerprint &request) const;
    void evictOldest();
    RequestCrashChanges takeChanges();

    Incarnation m_self;
    Options m_options;
    TargetDeaths m_deaths;
    std::map<RequestFingerprint, Suspect> m_suspects;
    std::map<RequestFingerprint, SteadyTime> m_clearedAt; ///< last answer to a former suspect, while it matters
    std::optional<SteadyTime> m_readingSince; ///< first record read from the log
    RequestCrashChanges m_changes; ///< since the last call
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
