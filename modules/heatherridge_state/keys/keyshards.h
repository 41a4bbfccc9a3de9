#pragma once

#include "heatherridge_state/config/inventory.h"
#include "heatherridge_state/keys/uuid7.h"

#include <vector>

namespace Heatherridge
{

/** A shard of a service's idempotency keys. Each shard has its own log stream and one holder at a time. */
enum class KeyShard : std::uint32_t {};

/** Number of key shards of each service. Must not change: a change would map the same key to two streams. */
inline constexpr std::uint32_t KeyShardCount = 4;

/** Returns the number of @p shard. */
constexpr std::uint32_t toNumber(KeyShard shard)
{
    return static_cast<std::uint32_t>(shard);
}

/** Returns the shard of @p key. Depends on the key only, never on the inventory or the workspace. */
KeyShard shardOf(const Uuid7 &key);

/**
 * Returns the targets of @p service in order of preference as holders of @p shard, by rendezvous hashing. The first is
 * the holder, the next ones are its witnesses and successors. Removing a target moves only the shards that it held.
 *
 * The caller must skip withdrawn and stopping targets. The inventory keeps ownership of the targets.
 */
std::vector<const Target *> holdersOf(const Inventory &inventory, const ServiceName &service, KeyShard shard);

} // namespace Heatherridge
