#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/demand/demandsum.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Heatherridge
{

/**
 * The last statement of each gateway that states its demand to one exchange point, and the most recent sums of the
 * other zones that gateways have told it of.
 *
 * Soft state: after a restart of the exchange point it fills within one period of the gateways. Not thread-safe.
 */
class DemandTable
{
public:
    static constexpr std::size_t MaxGateways = 1'024;
    static constexpr std::size_t MaxZones = 32; ///< other than the own one
    /** Maximum time since the sum of another zone was calculated. */
    static constexpr std::chrono::milliseconds ZoneLifetime{3'000};

    struct Counts
    {
        std::uint64_t outdatedStatements = 0; ///< ignored because a later one of the same run had arrived
        std::uint64_t droppedGateways = 0; ///< because there were more than MaxGateways
        std::uint64_t droppedZones = 0; ///< because there were more than MaxZones
    };

    /** @param zone the availability zone of the exchange point */
    explicit DemandTable(ZoneName zone);

    /**
     * Replaces the statement of its gateway. Within a run, a statement with a lower sequence number never replaces one
     * with a higher.
     * @param lifetime the statement expires after this time without a new one
     */
    void applyStatement(const GatewayStatement &statement, std::chrono::milliseconds lifetime, SteadyTime now);

    /** Takes over the sum of another zone unless a more recent one is known. A sum of the own zone is ignored. */
    void applyZone(const ZoneDemand &demand, SteadyTime now);

    /** Returns the sum of the statements of all gateways except @p gateway, with @p maxWorkspaces workspaces of each
     * service. */
    ZoneDemand ownZone(const ProcessName &gateway, std::size_t maxWorkspaces, SteadyTime now);

    /** Returns the sums of the other zones. */
    std::vector<ZoneDemand> otherZones(SteadyTime now);

    Counts counts() const;

private:
    struct StatementEntry
    {
        GatewayStatement statement{};
        SteadyTime receivedAt{};
        SteadyTime expiresAt{};
    };

    struct ZoneEntry
    {
        ZoneDemand demand{};
        SteadyTime oldestStatementAt{};
        SteadyTime summedAt{};
    };

    using Statements = std::map<ProcessName, StatementEntry>;

    void removeExpired(SteadyTime now);
    Statements::iterator remove(Statements::iterator entry);

    ZoneName m_zone;
    /** Statements of gateways that have left are kept until they expire, so that no delayed earlier one replaces them.
     */
    Statements m_statements;
    DemandSum m_sum; ///< of m_statements
    std::map<ZoneName, ZoneEntry> m_zones;
    Counts m_counts;
};

} // namespace Heatherridge
