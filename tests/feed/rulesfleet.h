#pragma once

#include "heatherridge_coordination/feed/heldrules.h"
#include "heatherridge_coordination/feed/rulesexchange.h"
#include "heatherridge_state/base/randomsource.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * Gateways that exchange rules through sidecars, in virtual time: each gateway with its own view of the log, and
 * sidecars that go down and come back empty.
 */
class RulesFleet
{
public:
    struct Options
    {
        int gateways = 4;
        int zones = 3;
        int sidecarsPerZone = 5;
        std::uint64_t seed = 1;
    };

    explicit RulesFleet(const Options &options);
    ~RulesFleet();

    int gatewayCount() const;
    int sidecarCount() const;

    /** Calls @p action once the fleet has run for @p time. */
    void at(std::chrono::milliseconds time, std::function<void()> action);

    /** The log accepts @p version: every gateway that reads the log has it within milliseconds. */
    void publish(std::uint64_t version);

    /** The operator drains @p zones and no others; gateways that read the log know within milliseconds. */
    void drain(const std::set<ZoneName> &zones);

    /** Gives the log's records lower positions, as a restore from an older copy does. */
    void restoreLog();

    /** Sets whether the log rejects @p gateway. */
    void setRejected(int gateway, bool isRejected);

    /** Sets whether the log leaves the reads of @p gateway without an answer, which the gateway does not notice. */
    void setUnanswered(int gateway, bool isUnanswered);

    bool isUnanswered(int gateway) const;

    /** Starts @p gateway again, without rules until it reads the log or hears of them. */
    void restart(int gateway);

    /** Takes a sidecar down, or starts it without rules. */
    void setSidecarUp(int sidecar, bool isUp);

    void run(std::chrono::milliseconds duration);

    /** Returns the version that @p gateway has in force. */
    std::uint64_t version(int gateway) const;

    /** Returns the zones that @p gateway takes for drained. */
    const std::set<ZoneName> &drainedZones(int gateway) const;

    /** Returns whether each gateway has put only published versions in force, each higher than the one before. */
    bool hasOnlyRisen() const;

    std::size_t callCount() const;
    std::size_t sentBytes() const;

private:
    class Gateway;
    struct Sidecar
    {
        TargetEntry target{};
        HeldRules rules{};
        bool isUp = true;
    };

    /** Each gateway that reads the log does so within MaxReadTime. */
    void wakeReaders();
    void deliver(const TargetEntry &target, const RulesRequest &request,
                 const std::function<void(Result<RulesResponse>)> &done);

    SeededRandom m_random;
    std::vector<Sidecar> m_sidecars;
    std::map<TargetName, int> m_sidecarNumbers;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::multimap<std::chrono::milliseconds, std::function<void()>> m_actions;
    std::chrono::milliseconds m_elapsed{0};
    std::uint64_t m_published = 0; ///< newest version in the log
    ZoneDrains m_drains{.position = 1}; ///< as in the log
    bool m_hasOnlyRisen = true;
    std::size_t m_callCount = 0;
    std::size_t m_sentBytes = 0;
};

} // namespace Heatherridge
