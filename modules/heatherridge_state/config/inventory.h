#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/config/inidocument.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** What kind of back end a target is. */
enum class TargetKind {
    Engine, ///< a model engine; answers chat completions as a stream of tokens
    Plain, ///< an instance of a plain service, such as bookings
};

/** Where a TCP service listens: an IP number and a port. */
struct Endpoint
{
    std::string address{}; ///< IP number, no host name
    int port = 0; ///< 1 to 65535

    auto operator<=>(const Endpoint &) const = default;
};

/** The text form of @p endpoint, "address:port". */
std::string toString(const Endpoint &endpoint);

/** @p text as "address:port", or nothing. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** One back end as the operator's asset register lists it. */
struct Target
{
    TargetName name{};
    HostName host{};
    ZoneName zone{};
    ServiceName service{}; ///< what it serves; all targets of a service are equal but for models
    TargetKind kind = TargetKind::Engine;
    Endpoint gate{}; ///< where the process of this system beside the target listens
    Endpoint backend{}; ///< where the target itself listens, reached by its gate alone
    std::vector<ModelName> models{}; ///< models, adapters and versions it serves; empty for plain services
    bool checksOrders = false; ///< whether it refuses orders that carry an old fencing number
    GroupName group{}; ///< lock-step group it is a rank of; empty when alone
    int rank = 0; ///< its place in the group
    int expertSlots = 0; ///< how many experts a layer fit into a rank's memory; 0 when alone
    int concurrency = 0; ///< upper bound of requests at a time; 0 leaves it to the adaptive limit
    bool withdrawn = false; ///< the owners take it away: no new work

    bool operator==(const Target &) const = default;
};

/** One availability zone. */
struct Zone
{
    ZoneName name{};
    RegionName region{};

    bool operator==(const Zone &) const = default;
};

/**
 * What the operator holds, where it sits and what it serves.
 *
 * A value: built from a document in one go, then not changed. Safe to read from any thread.
 */
class Inventory
{
public:
    /** An inventory without targets. */
    Inventory() = default;

    /**
     * Reads @p document. All faults are reported in one go, in the order of their lines.
     * @returns the inventory, or every fault in the document
     */
    static std::variant<Inventory, std::vector<ConfigFault>> fromDocument(const IniDocument &document);

    /** All targets by name. */
    const std::map<TargetName, Target> &targets() const;

    /** All zones by name. */
    const std::map<ZoneName, Zone> &zones() const;

    /** The target named @p name, or nullptr. */
    const Target *find(const TargetName &name) const;

    /** The targets of @p service in the order of their names; withdrawn ones too. The inventory keeps ownership. */
    std::vector<const Target *> targetsOf(const ServiceName &service) const;

    /** The targets of @p group ordered by rank. The inventory keeps ownership. */
    std::vector<const Target *> ranksOf(const GroupName &group) const;

    /** The one-way delay between two zones: none within one, the deployment's zone delay within a region, else the
     * regions'. */
    std::chrono::microseconds delayBetween(const ZoneName &from, const ZoneName &to) const;

    bool operator==(const Inventory &) const = default;

private:
    friend class InventoryReader;

    std::map<TargetName, Target> m_targets;
    std::map<ZoneName, Zone> m_zones;
    std::chrono::microseconds m_interZoneDelay{500};
    std::chrono::microseconds m_interRegionDelay{20000};
};

} // namespace Heatherridge
