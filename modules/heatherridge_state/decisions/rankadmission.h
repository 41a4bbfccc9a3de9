#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/demand/decayingrate.h"
#include "heatherridge_state/demand/fleetdemand.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * Decides which ranks of callers may send streams to the engines of one service: trunk reservation over all gateways.
 *
 * Load pattern: more streams than the engines can serve in time, of ranks of different worth, spread over many gateways
 * each of which sees a part. In the order of arrival every rank is late equally. Ordering the streams that wait at one
 * gateway has little effect, since few of them meet a stream of another rank there. Therefore capacity that the streams
 * of higher ranks at all gateways need now, or within the next pass, is not given to lower ranks.
 *
 * - The capacity for a rank is the free capacity less the streams of higher ranks that wait at any gateway and those
 *   that arrive within one pass. The highest rank has the whole capacity.
 * - A rank is held when its capacity is used up, and admitted again after its capacity has been positive for two
 * passes.
 * - A held rank keeps an assured part of its arrivals while there is any free capacity.
 * - Each gateway sends its share of the capacity for a rank. A share of less than one stream in a pass is one stream in
 *   several passes: one stream of each gateway in each pass would be far more than the capacity for a low rank.
 *
 * Single-threaded; one object for each service.
 */
class RankAdmission
{
public:
    /** Part of its arrivals that a rank may send while it is held. */
    static constexpr double AssuredShare = 0.25;
    /** Streams that a gateway can save up of the assured part of one rank. */
    static constexpr double MaxAssuredStreams = 2;
    /** Number of passes with positive capacity after which a rank is admitted again. */
    static constexpr int PassesUntilAdmitted = 2;
    /** Expected streams of higher ranks below which there is no one to reserve capacity for: one in ten passes. */
    static constexpr double MinReserved = 0.1;
    /** A hold ends when no stream has asked for an engine for this long; a waiting stream asks every 20 ms. */
    static constexpr std::chrono::seconds HoldLifetime{1};

    /** Free capacity of the engines of the service. */
    struct Capacity
    {
        double room = 0; ///< streams of all gateways that the engines can take on time beyond those they have
        std::chrono::milliseconds pass{0}; ///< time of one pass
        double share = 1; ///< of this gateway in the capacity, above 0 and up to 1
        double promptWeight = 1; ///< requests that take as much of a pass as one prompt, @see maxStreamsPerPass()
    };

    /** Demand for the service. */
    struct Demand
    {
        const ServiceDemand &own; ///< of this gateway
        const ServiceDemand *others = nullptr; ///< of all other gateways; null if it is unknown
    };

    /** Streams that are admitted before one that arrives, and the rate at which they are: this gateway's part of both.
     */
    struct Backlog
    {
        double streams = 0;
        std::optional<double> admittedPerSecond{}; ///< empty if it is not known yet
    };

    /** A rank that has become held or is admitted again. */
    struct LevelChange
    {
        int priority = 0;
        bool isHeld = false;
        double room = 0; ///< free capacity
        double reserved = 0; ///< of it, for higher ranks

        bool operator==(const LevelChange &) const = default;
    };

    /** Returns whether one stream of @p priority may be sent now. */
    bool mayAdmit(int priority, const Capacity &capacity, const Demand &demand, SteadyTime now);

    /** Records that a stream of @p priority is sent. */
    void recordAdmitted(int priority, SteadyTime now);

    /**
     * Returns how long a stream of @p priority that begins to wait now is expected to wait, or nothing if no rate of
     * admission is known yet.
     */
    std::optional<std::chrono::milliseconds> expectedWait(int priority, const Demand &demand, SteadyTime now) const;

    /** Returns the waiting streams of @p priority and higher ranks. */
    Backlog backlog(int priority, const Demand &demand) const;

    /** Returns whether streams of @p priority are held, apart from the assured part. */
    bool isHeld(int priority) const;

    /** Returns whether @p priority is the highest rank with any demand. */
    bool isHighest(int priority) const;

    /** Returns the lowest of the ranks for which no capacity is reserved for others: the highest one with demand. */
    int highestRank() const;

    /** Returns whether the assured part of @p priority allows a stream. */
    bool hasAssuredStream(int priority) const;

    /** Ends holds that no stream has asked about for HoldLifetime. */
    void tick(SteadyTime now);

    /** Returns the changes since the last call, in the order in which they happened. */
    std::vector<LevelChange> takeChanges();

private:
    /** Rate at which streams of one rank and higher ones are sent. */
    class AdmissionRate
    {
    public:
        void record(SteadyTime now);

        /**
         * Returns the rate when the last stream was sent. During an outage this is the rate before it: streams that
         * wait for a group to be re-formed are admitted at that rate once it is open again.
         */
        std::optional<double> perSecond() const;

    private:
        DecayingRate m_rate;
        std::optional<SteadyTime> m_firstAt;
        std::optional<double> m_perSecond; ///< when the last stream was sent
    };

    struct Level
    {
        bool isHeld = false;
        std::optional<SteadyTime> positiveSince{}; ///< since when the capacity of a held rank has been positive
        double assuredStreams = 0;
        double room = 0; ///< for this rank
        bool isHighest = true; ///< of the ranks with demand: no capacity is reserved for others
        AdmissionRate rate{};
    };

    struct Sent
    {
        SteadyTime at{};
        int priority = 0;
    };

    void update(const Capacity &capacity, const Demand &demand, SteadyTime now);
    void updateLevel(int priority, const Capacity &capacity, double reserved, SteadyTime now);
    void setHeld(int priority, Level &level, bool isHeld, double room, double reserved);
    RankDemand fleetDemand(int priority, const Demand &demand) const;
    bool hasUsedShare(int priority, double allotment, std::chrono::milliseconds pass, SteadyTime now) const;

    std::map<int, Level> m_levels; ///< by priority
    std::deque<Sent> m_sent; ///< oldest first
    std::optional<double> m_share; ///< of this gateway, when last updated
    SteadyTime m_updatedAt{};
    std::vector<LevelChange> m_changes;
};

} // namespace Heatherridge
