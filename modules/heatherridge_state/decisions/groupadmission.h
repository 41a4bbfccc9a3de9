#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/engineplacement.h"
#include "heatherridge_state/decisions/otherstreams.h"
#include "heatherridge_state/decisions/passbudget.h"

#include <chrono>
#include <deque>
#include <optional>

namespace Heatherridge
{

/** Estimated load of a group's engines when a stream is placed. */
struct GroupLoad
{
    std::chrono::milliseconds reportedPass{}; ///< as reported by the engines' statuses
    double requests = 0; ///< of all entries, at all engines of the group
    int ownRequests = 0; ///< number of these that belong to this entry
    int ownRequestsAtReport = 0; ///< value of `ownRequests` when each engine last reported its load
    std::size_t engines = 0;
    double slots = 0; ///< of all engines of the group
    bool isStalled = false; ///< one of its engines has open streams but is silent
    bool hasSlowRank = false;
    OtherStreams others{}; ///< correction by the statements of the other entries
};

/**
 * Determines how much of the headroom of one expert group one entry may use.
 *
 * Combines PassSlowdown, maxRequestsOnTime() and maxStreamsPerPass() with what only the entry knows: the pauses of its
 * own streams, which equal the passes of the group, and the streams that it has sent since the engines last reported
 * their load.
 *
 * Load pattern: a group that has just opened has an expert map that fits no particular demand and no load that an entry
 * could see, while all entries hold waiting streams. It starts with as many requests as its first pass can read. After
 * each pass the number may at most double, and may not exceed what would keep the promised pauses if passes grew in
 * proportion. Single-threaded.
 */
class GroupAdmission
{
public:
    /** How long a recorded pause represents the current pass time; after that the statuses of the engines do. */
    static constexpr std::chrono::milliseconds PauseLifetime{400};
    /** A longer pause means that the group has stalled; it is not a single pass. */
    static constexpr std::chrono::milliseconds MaxPass{300};

    /** Sets whether the group accepts work. */
    void setOpen(bool isOpen, SteadyTime now);

    /** Returns whether the group has just opened. */
    bool isStarting() const;

    /** Records that this entry sends a stream to the group. */
    void recordSent(SteadyTime now);

    /** Records that @p pause has passed between two events of a stream of this entry. */
    void recordPause(std::chrono::milliseconds pause, SteadyTime now);

    /**
     * Returns the state of the group for placing a stream.
     * @param share this entry's share of all work, above 0 and up to 1
     */
    EngineGroup evaluate(const GroupLoad &load, const PassTimeModel &passTimes, double share, SteadyTime now);

private:
    /** Limits on what this entry sends to the group. */
    struct SendLimit
    {
        double headroom = 0; ///< requests that the group can take on time beyond its current ones
        double headroomForLate = 0; ///< the same at the high percentile of the slowdown
        int maxStreams = 0; ///< streams that this entry may send within `interval`
        SteadyTime::duration interval{};
    };

    SendLimit startingLimit(double slowdown) const;
    SendLimit establishedLimit(double slowdown) const;
    int countSentWithin(SteadyTime after, SteadyTime until) const;

    PassSlowdown m_slowdown;
    PassTimeModel m_passTimes;
    GroupLoad m_load; ///< when a stream was last placed
    double m_share = 1; ///< when a stream was last placed
    std::deque<SteadyTime> m_sendTimes; ///< when the most recent streams were sent, oldest first
    SteadyTime m_openedAt{};
    bool m_isStarting = false;
    /**
     * Requests per engine that a newly opened group may have according to its last pass; nothing before its first pass.
     */
    std::optional<double> m_provenRequests{};
    double m_requestsAtPass = 0; ///< requests per engine when the current pass began
    std::optional<std::chrono::milliseconds> m_lastPass{}; ///< since the group opened
    bool m_isOpen = false;
};

} // namespace Heatherridge
