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

/** The kind of a back end. */
enum class TargetKind {
    Engine, ///< a model engine; answers chat completions as a stream of tokens
    Plain, ///< an instance of a plain service, such as bookings
};

/** The IP address and port on which a TCP service listens. */
struct Endpoint
{
    std::string address{}; ///< IP address, not a host name
    int port = 0; ///< 1 to 65535

    auto operator<=>(const Endpoint &) const = default;
};

/** Returns @p endpoint as "address:port". */
std::string toString(const Endpoint &endpoint);

/** Parses "address:port"; std::nullopt if @p text is not valid. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** A back end as listed in the operator's asset register. */
struct Target
{
    TargetName name{};
    HostName host{};
    ZoneName zone{};
    ServiceName service{}; ///< all targets of a service are equivalent except for their models
    TargetKind kind = TargetKind::Engine;
    Endpoint gate{}; ///< where this system's process next to the target listens
    Endpoint backend{}; ///< where the target itself listens; only its gate connects to it
    std::vector<ModelName> models{}; ///< models, adapters and versions that it serves; empty for plain services
    bool checksOrders = false; ///< whether it refuses orders with an outdated fencing number
    GroupName group{}; ///< the lock-step group that it belongs to; empty if it runs alone
    int rank = 0; ///< its index in the group
    int expertSlots = 0; ///< experts per layer that fit into a rank's memory; 0 if it runs alone
    int concurrency = 0; ///< maximum concurrent requests; 0: only the adaptive limit applies
    bool withdrawn = false; ///< being removed by its owners; receives no new work

    bool operator==(const Target &) const = default;
};

/** An availability zone. */
struct Zone
{
    ZoneName name{};
    RegionName region{};

    bool operator==(const Zone &) const = default;
};

/**
 * The operator's targets and zones: which targets exist, where they run and what they serve.
 *
 * Immutable value type, built from a document in one step. Can be read from any thread.
 */
class Inventory
{
public:
    /** Constructs an inventory without targets. */
    Inventory() = default;

    /**
     * Builds an inventory from @p document. All faults are reported at once, ordered by line.
     * @returns the inventory, or all faults in the document
     */
    static std::variant<Inventory, std::vector<ConfigFault>> fromDocument(const IniDocument &document);

    /** Returns all targets by name. */
    const std::map<TargetName, Target> &targets() const;

    /** Returns all zones by name. */
    const std::map<ZoneName, Zone> &zones() const;

    /** Returns the target named @p name, or nullptr if there is none. */
    const Target *find(const TargetName &name) const;

    /** Returns the targets of @p service ordered by name, including withdrawn ones. The inventory retains ownership. */
    std::vector<const Target *> targetsOf(const ServiceName &service) const;

    /** Returns the targets of @p group ordered by rank. The inventory retains ownership. */
    std::vector<const Target *> ranksOf(const GroupName &group) const;

    /** Returns the one-way delay between two zones: zero within a zone, the deployment's zone delay within a region,
     * and its region delay between regions. */
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
