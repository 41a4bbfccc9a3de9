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
 * Which targets there are, from registrations that lag, lapse and can be malformed.
 *
 * A registration that goes while the register cannot be read, or just after, says little: the register drops entries
 * whose heartbeats it could not take, and their targets still serve. Taken at its word it would leave a service without
 * targets for seconds after each outage. So such a removal counts only once the register has been readable for the
 * grace; a removal in calm times counts at once. An entry that says it drains counts at once in both.
 *
 * After the register has come back from an older copy, an entry counts only when it is later than the last one known of
 * the same run of its target: the copy may still show a target that has left as ready. One thread.
 */
class TargetDirectory
{
public:
    /** How long after an outage a missing entry may still come back: heartbeats resume within 2 s of it. */
    static constexpr std::chrono::milliseconds LapseGrace{2'300};
    /** How long after the register has come back entries may be older than what is known; targets write theirs again
     * with their next heartbeat. */
    static constexpr std::chrono::milliseconds RestoreGrace{5'000};
    /** How long a target that has left is remembered; a copy of the register is some seconds old. */
    static constexpr std::chrono::milliseconds DepartureRetention{120'000};

    /** The register answered at @p now. */
    void noteRegisterReadable(SteadyTime now);

    /** A call to the register failed at @p now. */
    void noteRegisterUnreadable(SteadyTime now);

    /** The register has come back from an older copy; what was known still holds. */
    void noteRegisterRestored(SteadyTime now);

    /** @p record is registered, later than all before it. Whoever was registered at its address is gone. */
    void put(const TargetRecord &record, SteadyTime now);

    /** The entry of @p id is gone, or names no usable target any more. */
    void remove(const TargetName &id, SteadyTime now);

    /** Takes @p records, in the order in which they were registered, for the whole register: all others are gone. */
    void replaceAll(const std::vector<TargetRecord> &records, SteadyTime now);

    /** Lets go of lapsed entries whose grace is over. @returns whether any went */
    bool expireLapsed(SteadyTime now);

    /** All targets, draining and lapsed ones included. */
    std::vector<TargetEntry> targets() const;

    /** Entries that are missing but still used. */
    std::size_t lapsedCount() const;

private:
    /** The last record of a target that has left. */
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
    bool m_hadOutage = false; ///< the present readable span follows an outage
};

} // namespace Heatherridge
