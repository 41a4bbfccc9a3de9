#pragma once

#include "heatherridge_state/config/inventory.h"
#include "heatherridge_state/keys/uuid7.h"

#include <vector>

namespace Heatherridge
{

/** One part of a service's idempotency keys; each part has one stream of the log and one holder at a time. */
enum class KeyShard : std::uint32_t {};

/** Into how many parts the keys of each service are cut. Fixed: a change would send a key to two streams. */
inline constexpr std::uint32_t KeyShardCount = 4;

/** The number as such. */
constexpr std::uint32_t toNumber(KeyShard shard)
{
    return static_cast<std::uint32_t>(shard);
}

/** The part to which @p key belongs. Depends on the key alone, never on the inventory or the workspace. */
KeyShard shardOf(const Uuid7 &key);

/**
 * The targets of @p service in the order in which they are to hold @p shard, by rendezvous hashing: the first is the
 * holder, the next ones are its witnesses and successors. A target that leaves moves only the shards that it held.
 * Withdrawn and stopping targets are for the caller to leave out; the inventory keeps ownership.
 */
std::vector<const Target *> holdersOf(const Inventory &inventory, const ServiceName &service, KeyShard shard);

} // namespace Heatherridge
