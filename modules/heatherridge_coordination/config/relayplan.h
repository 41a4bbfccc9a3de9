#pragma once

#include "heatherridge_state/config/inventory.h"

#include <map>
#include <vector>

namespace Heatherridge
{

/** One process that can hand records on: the one beside a target. Entries are in no inventory and are leaves. */
struct RelayMember
{
    ProcessName process{};
    ZoneName zone{};
    RegionName region{};
    Endpoint endpoint{};
};

/** The process beside @p target: it goes by the target's name. */
ProcessName sidecarProcessOf(const TargetName &target);

/** The members that @p inventory lists; withdrawn targets are left out. */
std::vector<RelayMember> relayMembersOf(const Inventory &inventory);

/** Shape of the relay. */
struct RelayPlanOptions
{
    std::size_t readersPerZone = 2; ///< one more than needed, so that one can fail without a gap
    std::size_t fanOut = 5; ///< members of a level for each one above it
};

/**
 * Who reads the log and who asks whom for records, worked out by every process for itself from the inventory.
 *
 * Nobody is elected: rendezvous hashing gives each member of a zone a place that depends on its own name alone, so a
 * member that comes or goes moves only those that chose it and one member at the border of each level. The first
 * members of a zone read the log; the others form levels below them, each fan-out times as large as the one above. A
 * process asks members of the level above its own, and going further up is always possible. Processes whose inventories
 * differ for a moment choose differently, which is harmless: whoever is asked serves. Immutable; any thread.
 */
class RelayPlan
{
public:
    explicit RelayPlan(std::vector<RelayMember> members, RelayPlanOptions options = {});

    /** Whether @p process is one of the readers of its zone. */
    bool isReader(const ProcessName &process) const;

    /** The place of @p process among all readers, for staggering; the number of readers when it is none. */
    std::size_t readerRank(const ProcessName &process) const;

    /**
     * Whom @p process asks for records, the best first: two members of the level above, the next ones of that level,
     * then higher ones, then readers of other zones, those of its own region first. For a reader: the other readers
     * of its zone, then those of other zones. Never the process itself.
     */
    std::vector<const RelayMember *> sourcesOf(const ProcessName &process, const ZoneName &zone) const;

    /** How many levels lie between the readers and the lowest members of @p zone. */
    std::size_t depthOf(const ZoneName &zone) const;

    /** The number of members. */
    std::size_t size() const;

private:
    struct ZonePlan
    {
        RegionName region{};
        std::vector<std::vector<std::size_t>> levels{}; ///< indices of members; level 0 reads the log
    };

    void addBest(const ProcessName &process, const std::vector<std::size_t> &level, std::size_t maxCount,
                 std::vector<const RelayMember *> &sources) const;
    void addOtherZones(const ProcessName &process, const ZoneName &zone,
                       std::vector<const RelayMember *> &sources) const;

    RelayPlanOptions m_options;
    std::vector<RelayMember> m_members;
    std::map<ZoneName, ZonePlan> m_zones;
    std::map<ProcessName, std::size_t> m_levelOf;
    std::vector<ProcessName> m_readers;
};

} // namespace Heatherridge
