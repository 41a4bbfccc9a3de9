#pragma once

#include "heatherridge_coordination/demand/exchangepoints.h"
#include "heatherridge_coordination/feed/newestdrains.h"
#include "heatherridge_protocol/rulesmessage.h"
#include "heatherridge_state/groups/controlbudget.h"

#include <functional>
#include <optional>
#include <set>

namespace Heatherridge
{

/** Sends messages about rules to the sidecars of targets. Single-threaded; answers arrive later on the same thread. */
class RulesLink
{
public:
    virtual ~RulesLink() = default;

    /**
     * Sends @p request to the sidecar of @p target. Calls @p done exactly once, at the latest when the call times out.
     * A sidecar that does not know the message yields NotFound, an invalid answer MalformedFrame.
     */
    virtual void send(const TargetEntry &target, const RulesRequest &request,
                      std::function<void(Result<RulesResponse>)> done) = 0;
};

/**
 * Passes the rules in force, and the drained zones, between gateways through one sidecar in each availability zone, so
 * that a gateway that the platform's log rejects, or whose read of the log is not answered, follows its peers in time.
 *
 * Each gateway states the version that it has in force to the exchange point of its home zone: periodically, and at
 * once when it changes. The exchange point asks for the record only if it holds an older one, and returns its own if
 * that is newer. The gateway that is the first of its zone to state a version or drained zones states them to all other
 * zones as well, and so does one whose home zone does not answer. A gateway that cannot read the log, or whose home
 * zone does not answer, asks more often, and the other zones in turn. Versions only rise: an exchange point or gateway
 * with an older one changes nothing.
 *
 * Drained zones are few, so each statement of a gateway that reads the log has them; only gateways that cannot read it
 * get them. Single-threaded; driven by tick().
 */
class RulesExchange
{
public:
    struct Options
    {
        ZoneName zone{};
        std::chrono::milliseconds configTime{2'000}; ///< within which a configuration must be in force everywhere
        std::uint64_t run = 0; ///< random
    };

    /** Period of the statements of a gateway that reads the log, as a fraction of configTime. The rest covers the
     * detection of a newer version by the others, and a repeated call. */
    static constexpr double StatementPeriodFraction = 0.5;
    /** Period of the statements of a gateway that cannot read the log, as a fraction of configTime: within it, three
     * zones are asked in turn, and a call is repeated. */
    static constexpr double CatchUpPeriodFraction = 0.125;
    /** Least time between statements for each gateway in the zone: an exchange point gets 100 statements a second. */
    static constexpr std::chrono::milliseconds PeriodPerGateway{10};

    struct Events
    {
        /** Called with a record that is newer than the rules of this gateway; it has not been parsed. */
        std::function<void(const RulesRecord &record, const TargetEntry &from)> received{};
        /** Called in a gateway that cannot read the log with drained zones that another one has read since. */
        std::function<void(const ZoneDrains &drains)> drainsReceived{};
        /** Called at the end of each call. */
        std::function<void(const TargetEntry &, const Error *)> callEnded{};
    };

    /** Uses @p link, which must outlive it. */
    RulesExchange(RulesLink &link, Options options, Events events);

    RulesExchange(const RulesExchange &) = delete;
    RulesExchange &operator=(const RulesExchange &) = delete;

    /** Replaces the targets with engines, whose sidecars can be exchange points. */
    void setTargets(const std::vector<TargetEntry> &targets);

    /** Sets the record of the rules that are now in force at this gateway. */
    void setRules(RulesRecord rules);

    /** Sets the drained zones that this gateway has read from the register. */
    void setDrains(const ZoneDrains &drains);

    /** Sets whether this gateway can read the register of rules. */
    void setReadsLog(bool readsLog);

    /** Sets how many gateways there are, this one included. */
    void setKnownGateways(PollerCounts gateways);

    /** Performs the work that is due. */
    void tick(SteadyTime now);

private:
    std::chrono::milliseconds period() const;
    void tellOtherZones();
    void stateTo(const ZoneName &zone, bool withRecord);
    void onAnswer(const TargetEntry &target, std::uint64_t statedVersion, bool hadRecord,
                  const Result<RulesResponse> &result);

    RulesLink &m_link;
    Options m_options;
    ExchangePoints m_points;
    Events m_events;
    RulesRecord m_rules; ///< in force; version 0 if there are none
    NewestDrains m_drains; ///< read by this gateway, or received while it cannot read
    PollerCounts m_knownGateways{};
    std::set<ZoneName> m_calling; ///< zones with a call on its way
    std::set<ZoneName> m_zonesToTell; ///< zones to which the version in force is still to be stated
    ZoneName m_lastAsked; ///< other zone that was asked last
    SteadyTime m_now{}; ///< of the last tick; answers arrive between ticks
    SteadyTime m_statementDueAt{};
    bool m_readsLog = true;
    bool m_isHomeAnswering = true; ///< as of the last call to the home zone's exchange point
};

} // namespace Heatherridge
