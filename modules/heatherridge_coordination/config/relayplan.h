#pragma once

#include "heatherridge_state/config/inventory.h"

#include <map>
#include <vector>

namespace Heatherridge
{

/** A process that can forward records: the sidecar of a target. Entry processes are in no inventory and are leaves. */
struct RelayMember
{
    ProcessName process{};
    ZoneName zone{};
    RegionName region{};
    Endpoint endpoint{};
};

/** Returns the process name of the sidecar of @p target, which equals the target's name. */
ProcessName sidecarProcessOf(const TargetName &target);

/** Returns the members listed in @p inventory, without withdrawn targets. */
std::vector<RelayMember> relayMembersOf(const Inventory &inventory);

/** Shape of the relay's tree. */
struct RelayPlanOptions
{
    std::size_t readersPerZone = 2; ///< one more than needed, so that one can fail without a gap
    std::size_t fanOut = 5; ///< ratio of the size of a level to that of the level above
};

/**
 * Determines which processes read the log and from which sources the others receive records. Each process computes the
 * plan independently from the inventory.
 *
 * There is no election: rendezvous hashing gives each member of a zone a position that depends only on its own name, so
 * a member that joins or leaves affects only the processes that chose it and one member at the boundary of each level.
 * The first members of a zone read the log; the others form levels below them, each fanOut times as large as the one
 * above. A process subscribes to members of the level above its own, and can always fall back to higher levels.
 * Processes whose inventories differ temporarily choose different sources, which is harmless: every member serves
 * whoever subscribes. Immutable; usable from any thread.
 */
class RelayPlan
{
public:
    explicit RelayPlan(std::vector<RelayMember> members, RelayPlanOptions options = {});

    /** Returns whether @p process is one of the readers of its zone. */
    bool isReader(const ProcessName &process) const;

    /** Returns the index of @p process among all readers, for staggering; the number of readers if it is not one. */
    std::size_t readerRank(const ProcessName &process) const;

    /**
     * Returns the sources of @p process in order of preference: two members of the level above, further ones of that
     * level, then higher levels, then readers of other zones, those of its own region first. For a reader: the other
     * readers of its zone, then those of other zones. Never includes the process itself.
     */
    std::vector<const RelayMember *> sourcesOf(const ProcessName &process, const ZoneName &zone) const;

    /** Returns the number of levels below the readers of @p zone. */
    std::size_t depthOf(const ZoneName &zone) const;

    /** Returns the number of members. */
    std::size_t size() const;

private:
    struct ZonePlan
    {
        RegionName region{};
        std::vector<std::vector<std::size_t>> levels{}; ///< indices into m_members; level 0 reads the log
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
