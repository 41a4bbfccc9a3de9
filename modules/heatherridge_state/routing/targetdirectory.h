#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/routing/targetentry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * Set of known targets, built from registrations that can be delayed, lapse or be malformed.
 *
 * The removal of a registration during an outage of the register, or shortly after one, is not reliable: the register
 * drops entries whose heartbeats it could not receive, although their targets still serve. Applying such removals would
 * leave a service without targets for seconds after each outage. They are therefore applied only once the register has
 * been readable for LapseGrace. Removals at other times, and removals of draining entries, are applied immediately.
 *
 * After the register was restored from an older copy, an entry is accepted only if it is newer than the last known one
 * of the same run of its target: the copy may still list a departed target as ready. Must be used from one thread.
 */
class TargetDirectory
{
public:
    /** How long after an outage missing entries are kept; heartbeats resume within 2 s of its end. */
    static constexpr std::chrono::milliseconds LapseGrace{2'300};
    /** How long after a restore of the register its entries may be older than the known ones. Targets write their
     * entries again with their next heartbeat. */
    static constexpr std::chrono::milliseconds RestoreGrace{5'000};
    /** How long departed targets are remembered; a copy of the register is some seconds old. */
    static constexpr std::chrono::milliseconds DepartureRetention{120'000};

    /** Records that the register could be read at @p now. */
    void noteRegisterReadable(SteadyTime now);

    /** Records that a call to the register failed at @p now. */
    void noteRegisterUnreadable(SteadyTime now);

    /** Records that the register was restored from an older copy. Known entries stay valid. */
    void noteRegisterRestored(SteadyTime now);

    /** Adds or updates @p record, the latest registration. Removes any other target registered at the same address. */
    void put(const TargetRecord &record, SteadyTime now);

    /** Called when the entry of @p id was removed or no longer describes a usable target. */
    void remove(const TargetName &id, SteadyTime now);

    /** Replaces all entries by @p records, given in the order of registration. Entries not listed count as removed. */
    void replaceAll(const std::vector<TargetRecord> &records, SteadyTime now);

    /** Removes lapsed entries whose grace period is over. @returns whether any were removed */
    bool expireLapsed(SteadyTime now);

    /** Returns all targets, including draining and lapsed ones. */
    std::vector<TargetEntry> targets() const;

    /** Returns the number of lapsed entries: missing from the register but still in use. */
    std::size_t lapsedCount() const;

private:
    /** The last known record of a departed target. */
    struct Departure
    {
        TargetRecord record{};
        SteadyTime at{};
    };

    bool isRegisterStable(SteadyTime now) const;
    bool isStale(const TargetRecord &record, SteadyTime now) const;
    void markDeparted(std::map<TargetName, TargetRecord>::iterator entry, SteadyTime now);

    std::map<TargetName, TargetRecord> m_entries;
    std::map<TargetName, Departure> m_departed;
    std::set<TargetName> m_lapsed;
    bool m_isRegisterReadable = false;
    std::optional<SteadyTime> m_readableSince;
    std::optional<SteadyTime> m_restoredAt;
    bool m_hadOutage = false; ///< whether the current readable period follows an outage or restore
};

} // namespace Heatherridge
