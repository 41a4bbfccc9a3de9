#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/answeredparts.h"
#include "heatherridge_state/decisions/blocktrials.h"
#include "heatherridge_state/decisions/heldparts.h"
#include "heatherridge_state/decisions/promptpartrecord.h"
#include "heatherridge_state/decisions/targetdeaths.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Heatherridge
{

/** What follows from an observation about prompt parts. */
struct PromptPartChanges
{
    std::vector<PromptPartRecord> toPublish{}; ///< for all gateways
    std::vector<PromptPart> blocked{}; ///< were not blocked before
    std::vector<PromptPart> released{}; ///< were blocked before
    std::vector<PromptPart> held{}; ///< were not held before
    std::vector<PromptPart> unheld{}; ///< were held before
};

/**
 * Finds a part of prompts that crashes the targets which begin to write an answer on it.
 *
 * Load pattern: requests that share one part of their prompt, and nothing else, arrive at any gateway; each crashes the
 * target that begins to answer it, and each crash closes a whole group for seconds. Next to nothing is answered between
 * two crashes, and the popular parts of other prompts are in hand at every one of them.
 *
 * A part is blocked once several targets have died under it and no request with it has been answered since. A part with
 * an earlier answer needs more deaths, in several episodes, while other requests are answered. One blocked part
 * explains the deaths under it: they do not count for the other parts that were in hand. An answer to any request with
 * a part clears it; at most a few trial requests, each sent by one gateway, give a blocked part that chance.
 *
 * A part that was in hand at most deaths, but for which the proof is missing, is held: one request with it at a time is
 * sent, by one gateway, and the others wait for its fate.
 *
 * Every gateway records the reports of all gateways and its own; the verdicts are published too, so that gateways which
 * miss the reports learn of them. Single-threaded; time comes from the caller.
 */
class PromptPartSuspects
{
public:
    struct Options
    {
        std::uint32_t maxProgress = 1; ///< whole events up to which a request counts as beginning its answer
        std::size_t deathsToBlock = 3; ///< of a part without a known answer that was in several prompts
        std::size_t deathsToBlockOnePrompt = 5; ///< the same if all deaths were under the same parts
        std::size_t deathsToBlockAnswered = 5; ///< of a part with an earlier answer
        /** Of these, deaths that no blocked part explains; the others may have been blamed on a companion. */
        std::size_t unexplainedToBlockAnswered = 2;
        std::size_t episodesToBlockAnswered = 2; ///< in which these deaths must lie
        std::chrono::milliseconds episodeGap{500}; ///< between the starts of two episodes at least
        /** How long a death waits for the reports of other gateways before it counts for a verdict. */
        std::chrono::milliseconds settleTime{400};
        /** Answers without the part at this gateway, since the first death, before a part with an answer is blocked. */
        std::uint64_t answersOfOthersToBlock = 8;
        /**
         * Deaths after which a part with an earlier answer is blocked although nothing is answered, if it is not a
         * first part and was in hand at this share of all deaths. Crashes for other reasons hit the first parts of
         * sound prompts as often.
         */
        std::size_t deathsToBlockUnproven = 10;
        std::size_t episodesToBlockUnproven = 3; ///< in which these deaths must lie
        double shareToBlockUnproven = 0.9; ///< of all deaths since the first one under the part
        TargetDeaths::Options deaths{};
        std::chrono::milliseconds retention{300'000}; ///< of a block since the last refusal or record
        std::chrono::milliseconds repeatInterval{8'000}; ///< of the record of a block while requests with it arrive
        std::chrono::milliseconds minRepeatInterval{1'000}; ///< when another gateway reports a death under the part
        /** Longest wait before a record that others may publish too; it is dropped when theirs is read meanwhile. */
        std::chrono::milliseconds publishJitter{400};
        std::chrono::milliseconds answerJitter{2'000}; ///< the same for an answer to a part that is not blocked
        std::chrono::milliseconds reporterJitter{100}; ///< the same for a gateway that reported a death under the part
        /**
         * Share of all deaths, between the first and the last of those that block a part without a known answer, at
         * which it must have been in hand. When many targets die at once, some part is in hand at several of them.
         */
        double shareToBlock = 0.1;
        /** Deaths from which an answer is published; one more if all gateways know of an earlier answer. */
        std::size_t deathsToPublishAnswer = 2;
        double shareToBlockInOneEpisode = 0.6; ///< the same if these deaths lie in one episode
        /** Share of all deaths at which a part must have been in hand to be held. First parts are not held. */
        double shareToHold = 0.6;
        std::size_t deathsToHold = 2; ///< of a part without a known answer; others need deathsToBlockAnswered
        BlockTrials::Options trials{}; ///< of one blocked part
        /** First delay after a block that rests on one episode, or of parts that were in hand at the same deaths. */
        std::chrono::milliseconds doubtfulTrialDelay{5'000};
        HeldParts::Options held{};
        std::size_t maxSuspects = 10'000; ///< parts; beyond it the oldest with one death is dropped
        std::size_t maxPartsPerReport = 32; ///< further parts of a prompt are not considered
        std::size_t maxPromptsPerSuspect = 16; ///< further prompts with a part are not told apart
        AnsweredParts::Options answered{};
    };

    /** @param self this run of the gateway, which its reports carry */
    explicit PromptPartSuspects(Incarnation self)
        : PromptPartSuspects(self, Options{})
    {
    }
    PromptPartSuspects(Incarnation self, Options options);

    /** Returns whether no part is under suspicion or blocked, so that requests need not be checked. */
    bool isIdle() const;

    /** Returns the first blocked part among @p parts. */
    std::optional<PromptPart> blockedPart(std::span<const PromptPart> parts) const;

    /**
     * Returns whether one of @p parts has deaths that nothing explains and no known answer. Such requests are sent to
     * separate targets.
     */
    bool isSuspect(std::span<const PromptPart> parts) const;

    /** Returns the held part among @p parts that stands for all of them, or nothing if none is held. */
    std::optional<PromptPart> heldPart(std::span<const PromptPart> parts) const;

    /**
     * Returns whether a request with @p parts may be sent, as far as held parts are concerned, now that a target can
     * take it. If not, it waits, and this is called again. Uses up the permission of a trial.
     */
    bool mayStart(std::span<const PromptPart> parts, SteadyTime now);

    /** Returns the number of deaths of @p part that count against it at present. */
    std::size_t deathCount(PromptPart part) const;

    /**
     * Records that @p target died while it had a request of this gateway with @p parts (in prompt order, without the
     * last one), of whose answer @p progress whole events had arrived in this attempt.
     */
    PromptPartChanges recordTargetDeath(const TargetName &target, std::span<const PromptPart> parts,
                                        std::uint32_t progress, SteadyTime now);

    /**
     * Records that a target has sent @p progress whole events to a request with @p parts, or the whole answer. Called
     * once an attempt has two or more whole events or is complete.
     */
    PromptPartChanges recordAnswer(std::span<const PromptPart> parts, std::uint32_t progress, bool isComplete,
                                   SteadyTime now);

    /** Records that a request with @p parts, one or more of them blocked, arrived and was refused. */
    PromptPartChanges recordRefusal(std::span<const PromptPart> parts, SteadyTime now);

    /**
     * Returns whether this gateway may send the request at hand, which has @p parts, as the trial of its only blocked
     * part, and uses up the permission.
     */
    bool takeTrial(std::span<const PromptPart> parts, SteadyTime now);

    /**
     * Gives the permission of a trial of @p part back, whose request has not reached any target: another request may
     * be sent in its place while the claim holds.
     */
    void returnTrial(PromptPart part);

    /** Applies records read from the log, in its order, including those of this gateway. */
    PromptPartChanges apply(std::span<const PromptPartRecord> records, SteadyTime now);

    /** Publishes what is due and evicts what has expired. Called about every 100 ms. */
    PromptPartChanges tick(SteadyTime now);

private:
    using DeathPointer = TargetDeathPointer;
    using Deaths = TargetDeathList;

    struct Suspect
    {
        Deaths deaths{}; ///< since the last published answer
        std::vector<std::pair<DeathPointer, std::uint64_t>>
            prompts{}; ///< at these deaths, as a hash of all their parts
        std::uint32_t maxProgress = 0; ///< of the requests that were in hand at these deaths
        bool isFirstPart = false; ///< of a prompt that was in hand
        bool isReportedHere = false; ///< by this gateway, for at least one death
        bool wasAnswered = false; ///< at any gateway, before or between the deaths
        bool isMarkedAnswered = false; ///< by a report, so that all gateways know of an answer
        std::optional<SteadyTime> lastAnswer{}; ///< at this gateway, since the first death
        std::uint64_t answersBefore = 0; ///< m_answerCount at the first death or the last answer
    };

    struct Block
    {
        SteadyTime lastActivity{}; ///< last refusal, death or record
        SteadyTime lastRecord{}; ///< when a record of it was published here or read
        BlockTrials trials;
        std::set<DeathPointer> deaths{}; ///< of failed trials, known here
    };

    enum class RecordKind { Answered, Blocked, Trial };
    struct PendingRecord
    {
        RecordKind kind = RecordKind::Answered;
        PromptPart part{};

        auto operator<=>(const PendingRecord &) const = default;
    };

    void applyRecord(const PromptPartsDeath &report, SteadyTime now);
    void applyRecord(const PromptPartsAnswered &record, SteadyTime now);
    void applyRecord(const PromptPartBlocked &record, SteadyTime now);
    void applyRecord(const PromptPartTrial &record, SteadyTime now);

    void addDeath(const PromptPartsDeath &report, std::size_t index, const DeathPointer &death, SteadyTime now);
    Deaths unexplainedDeaths(const Suspect &suspect) const;
    Deaths unansweredDeaths(const Suspect &suspect) const;
    Deaths countedDeaths(const Suspect &suspect) const;
    Deaths settled(Deaths deaths, SteadyTime now) const;
    std::size_t episodeCount(const Deaths &deaths) const;
    bool isAnswered(PromptPart part, const Suspect &suspect) const;
    bool mayBlock(PromptPart part, const Suspect &suspect, SteadyTime now) const;
    bool mayHold(PromptPart part, const Suspect &suspect, SteadyTime now) const;
    void updateHeldParts(SteadyTime now);
    double shareOfAllDeaths(const Deaths &deaths, std::size_t last) const;
    bool mayPublishAnswer(const Suspect &suspect) const;
    std::size_t promptCount(const Suspect &suspect, const Deaths &counted) const;
    std::vector<PromptPart> nextCulprits(SteadyTime now) const;
    void preferLaterParts(std::vector<PromptPart> &culprits) const;
    void explainDeathsOf(PromptPart part);
    void updateVerdicts(SteadyTime now);
    void block(PromptPart part, bool isDoubtful, SteadyTime now);
    void clear(PromptPart part, SteadyTime now);
    static void recordFailedTrial(Block &block, const DeathPointer &death, SteadyTime now);
    std::map<PromptPart, Block>::iterator onlyBlock(std::span<const PromptPart> parts);
    void schedule(RecordKind kind, PromptPart part, SteadyTime earliest);
    void publishDue(SteadyTime now);
    void evictExpired(SteadyTime now);
    void evictSuspects();
    PromptPartChanges takeChanges();

    Incarnation m_self;
    Options m_options;
    AnsweredParts m_answered;
    std::uint64_t m_answerCount = 0; ///< answers at this gateway
    TargetDeaths m_deaths;
    std::map<PromptPart, Suspect> m_suspects;
    std::set<PromptPart> m_candidates; ///< suspects with enough deaths to be blocked, if they count
    std::set<DeathPointer> m_explained; ///< deaths under a blocked part
    std::map<PromptPart, Block> m_blocks;
    HeldParts m_held;
    std::set<DeathPointer> m_heldDeaths; ///< under held parts; they count for no other part with an answer
    SteadyTime m_nextHeldUpdate{};
    std::map<PromptPart, SteadyTime> m_clearedAt; ///< last published answer to a former suspect
    std::map<PendingRecord, SteadyTime> m_pending; ///< records to publish, with the time at which they are due
    PromptPartChanges m_changes; ///< since the last call
    SteadyTime m_nextEviction{};
};

} // namespace Heatherridge
