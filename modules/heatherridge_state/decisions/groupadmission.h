#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/engineplacement.h"
#include "heatherridge_state/decisions/passbudget.h"

#include <chrono>
#include <deque>
#include <optional>

namespace Heatherridge
{

/** What is believed of a group's engines when a stream is placed. */
struct GroupLoad
{
    std::chrono::milliseconds reportedPass{}; ///< as the engines' statuses say
    double requests = 0; ///< of all entries, at all its engines
    int ownRequests = 0; ///< of them, requests of this entry
    int ownRequestsAtReport = 0; ///< what `own` was when each engine last told its load
    std::size_t engines = 0;
    double slots = 0; ///< of all its engines
    bool isStalled = false; ///< one of its engines has open streams and says nothing
    bool hasSlowRank = false;
};

/**
 * How much of one expert group's room one entry may use.
 *
 * Puts together PassStretch, requestsOnTime() and streamsPerPass() with what only the entry knows: the pauses of its
 * own streams, which are the passes of the group, and what it has sent since engines last told their load.
 *
 * Load pattern: a group that has just opened has a map that fits no demand and no load that any entry could see, while
 * all entries hold waiting streams. It starts with what its first pass can read. Each pass then allows at most twice as
 * many requests, and no more than would keep the promised pauses if passes grew in proportion. One thread.
 */
class GroupAdmission
{
public:
    /** Pauses tell of passes for so long; without one, statuses do. */
    static constexpr std::chrono::milliseconds PauseLifetime{400};
    /** A longer pause is a group that stands still, not one of its passes. */
    static constexpr std::chrono::milliseconds MaxPass{300};

    /** The group works, or does not. */
    void setOpen(bool isOpen, SteadyTime now);

    /** Whether the group has just opened. */
    bool isStarting() const;

    /** This entry sends the group a stream. */
    void recordSent(SteadyTime now);

    /** A stream of this entry had @p pause between two events. */
    void recordPause(std::chrono::milliseconds pause, SteadyTime now);

    /**
     * The group as it is when a stream is placed.
     * @param share of this entry in all work, over 0 up to 1
     */
    EngineGroup evaluate(const GroupLoad &load, const PassBudgetRules &rules, double share, SteadyTime now);

private:
    /** What bounds this entry's sending to the group. */
    struct SendLimit
    {
        double headroom = 0; ///< requests that the group can take on time beyond those that it has
        double headroomForLate = 0; ///< the same in bad moments
        int maxStreams = 0; ///< that this entry may send within `span`
        SteadyTime::duration interval{};
    };

    SendLimit startingLimit(double stretch) const;
    SendLimit establishedLimit(double stretch) const;
    int countSentWithin(SteadyTime after, SteadyTime until) const;

    PassStretch m_stretch;
    PassBudgetRules m_rules;
    GroupLoad m_load; ///< when a stream was last placed
    double m_share = 1; ///< then
    std::deque<SteadyTime> m_sendTimes; ///< when streams were sent, of late
    SteadyTime m_openedAt{};
    bool m_isStarting = false;
    /** Requests an engine that a group which has just opened may have, by its last pass; nothing before one. */
    std::optional<double> m_provenRequests{};
    double m_requestsAtPass = 0; ///< requests an engine when the pass under way began
    std::optional<std::chrono::milliseconds> m_lastPass{}; ///< since the group has opened
    bool m_isOpen = false;
};

} // namespace Heatherridge
