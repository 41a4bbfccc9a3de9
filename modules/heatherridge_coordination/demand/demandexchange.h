#pragma once

#include "heatherridge_coordination/demand/exchangepoints.h"
#include "heatherridge_protocol/demandmessage.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/groups/controlbudget.h"
#include "heatherridge_state/routing/targetentry.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** Sends messages to the sidecars of targets. Single-threaded; answers arrive later on the same thread. */
class DemandLink
{
public:
    virtual ~DemandLink() = default;

    /**
     * Sends @p request to the sidecar of @p target. Calls @p done exactly once, at the latest when the call times out.
     * A sidecar that does not know the message yields NotFound, an invalid answer MalformedFrame.
     */
    virtual void send(const TargetEntry &target, const DemandRequest &request,
                      std::function<void(Result<DemandResponse>)> done) = 0;
};

/** Whether gateways exchange their demand. */
enum class DemandExchangeMode {
    Off,
    Auto, ///< at the full rate where the configuration or the sizes of the gateways call for it
};

/**
 * Exchanges the demand of this gateway with that of all others, through one sidecar in each availability zone.
 *
 * In each period the gateway states its demand to the exchange point of its own zone and asks that of one other zone;
 * the sums of the other zones are passed on with the next statement. @see ExchangePoints. Single-threaded; driven by
 * tick().
 */
class DemandExchange
{
public:
    struct Options
    {
        DemandExchangeMode mode = DemandExchangeMode::Auto;
        ProcessName gateway{};
        ZoneName zone{};
        HostSize size{};
        std::uint64_t run = 0; ///< random
    };

    /** A gateway states its demand at least this far apart. */
    static constexpr std::chrono::milliseconds MinPeriod{200};
    /** Further time between statements for each gateway in the zone: an exchange point gets 100 statements a second. */
    static constexpr std::chrono::milliseconds PeriodPerGateway{10};
    /** Time between statements that no decision uses. */
    static constexpr std::chrono::milliseconds WatchPeriod{2'000};
    /** A statement and the sum of the own zone are valid for so many periods, at least MinLifetime. */
    static constexpr int LifetimePeriods = 4;
    static constexpr std::chrono::milliseconds MinLifetime{1'500};
    static constexpr std::chrono::milliseconds WatchLifetime{6'000};
    /** Time since the sum of another zone was calculated after which it is left out. */
    static constexpr std::chrono::milliseconds ZoneLifetime{3'000};
    /** The largest processor share of a gateway is at least so many times the smallest where sizes are unlike.
     * Gateways that differ by a factor of two carry an even share. */
    static constexpr double UnlikeSizeRatio = 3;
    /** Time for which stated sizes count in their comparison, and for which unlike sizes keep the full rate. In `Watch`
     * mode, each of up to 14 other zones is asked once in this time; without it, the mode would change with each answer
     * and with each restart of the largest gateway. */
    static constexpr std::chrono::milliseconds SizeMemory{30'000};
    /** The state that is logged and shown as metrics. */
    struct Status
    {
        bool isOn = false; ///< decisions use the demand; otherwise statements are made at the lower rate
        bool isKnown = false;
        int gateways = 0; ///< other gateways whose demand is included
        std::chrono::milliseconds age{0}; ///< of the oldest part
        std::chrono::milliseconds period{0};

        bool operator==(const Status &) const = default;
    };

    struct Events
    {
        /** Called at each answer of the own zone's exchange point, and when demand becomes unknown. */
        std::function<void(FleetDemand)> changed{};
        /** A statement is due: setOwnDemand() is to be called soon, and sends it. */
        std::function<void()> demandNeeded{};
        /** Called at the end of each call. */
        std::function<void(const TargetEntry &, const Error *)> callEnded{};
        /** Called when the mode, isKnown or the number of gateways has changed. */
        std::function<void(const Status &)> statusChanged{};
    };

    /** Uses @p link, which must outlive it. */
    DemandExchange(DemandLink &link, Options options, Events events);

    DemandExchange(const DemandExchange &) = delete;
    DemandExchange &operator=(const DemandExchange &) = delete;

    /** Replaces the targets with engines, whose sidecars can be exchange points. */
    void setTargets(const std::vector<TargetEntry> &targets);

    /** Sets whether the rules in force have ranks that differ. */
    void setDifferentiated(bool isDifferentiated);

    /** Sets how many gateways there are, this one included, as far as another source knows. */
    void setKnownGateways(PollerCounts gateways);

    /** Sets the demand of this gateway; sends the statement if one is due. */
    void setOwnDemand(std::vector<ServiceDemand> demand);

    /** Performs the work that is due. */
    void tick(SteadyTime now);

    /**
     * Tells each sidecar that may count a statement of this gateway that the gateway stops, and ends the exchange.
     * @param left called once all of them have answered or failed
     */
    void leave(const std::function<void()> &left = {});

    /** Returns the demand at all other gateways as known at @p now. */
    FleetDemand demand(SteadyTime now) const;

    Status status(SteadyTime now) const;

private:
    /** The last known sum of a zone. */
    struct KnownZone
    {
        ZoneDemand demand{};
        SteadyTime oldestStatementAt{};
        SteadyTime summedAt{};
    };

    /** Sizes of the gateways of a zone. */
    struct KnownSizes
    {
        double smallest = 0;
        double largest = 0;
        SteadyTime seenAt{};
    };

    /** A sidecar to which a statement was sent. */
    struct StatedTarget
    {
        TargetEntry target{};
        SteadyTime until{}; ///< end of the statement's lifetime
    };

    void updateMode(SteadyTime now);
    std::chrono::milliseconds period() const;
    std::chrono::milliseconds lifetime() const;
    void sendStatement(SteadyTime now);
    void forgetExpiredStatements(SteadyTime now);
    void queryNextZone(SteadyTime now);
    void onStatementAnswer(const TargetEntry &target, SteadyTime sentAt, const Result<DemandResponse> &result);
    void onQueryAnswer(const TargetEntry &target, SteadyTime sentAt, const Result<DemandResponse> &result);
    /** Records whether @p target answered. Returns its answer, or nullptr if there is no valid one. */
    const DemandResponse *recordEnd(const TargetEntry &target, const Result<DemandResponse> &result);
    void learnZone(const ZoneDemand &zone, SteadyTime asOf);
    void learnSizes(const ZoneDemand &zone, SteadyTime asOf);
    bool areSizesUnlike(SteadyTime now);
    GatewayStatement makeStatement(bool isLeaving);
    std::vector<ZoneDemand> zonesToRelay(SteadyTime now) const;
    bool isKnown(SteadyTime now) const;
    void publish(SteadyTime now);
    void reportStatus(SteadyTime now);

    DemandLink &m_link;
    Options m_options;
    ExchangePoints m_points;
    Events m_events;
    std::map<TargetName, StatedTarget> m_stated; ///< whose last statement may still count, also if the call failed
    std::optional<KnownZone> m_home; ///< sum of the home zone without this gateway
    std::map<ZoneName, KnownZone> m_others; ///< sums of the other zones
    std::map<ZoneName, KnownSizes> m_sizes;
    std::optional<SteadyTime> m_unlikeSizesAt; ///< when the known sizes were last unlike
    std::vector<ServiceDemand> m_ownDemand;
    PollerCounts m_knownGateways{};
    Status m_reported{};
    ZoneName m_lastQueried; ///< zone that was asked last
    ZoneName m_zoneToRelay; ///< zone that has been asked since the last statement
    SteadyTime m_now{}; ///< of the last tick
    SteadyTime m_statementDueAt{};
    SteadyTime m_queryDueAt{};
    std::uint64_t m_sequence = 0;
    bool m_isDifferentiated = false;
    bool m_isOn = false;
    bool m_awaitsDemand = false;
    bool m_isStating = false; ///< a statement is on its way
    bool m_isAsking = false; ///< a query is on its way
    bool m_wasKnown = false;
    bool m_hasLeft = false;
};

} // namespace Heatherridge
