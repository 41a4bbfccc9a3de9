#include "heatherridge_state/keys/keyshards.h"

#include <algorithm>
#include <xxhash.h>

namespace Heatherridge
{

KeyShard shardOf(const Uuid7 &key)
{
    const auto &octets = key.octets();
    return static_cast<KeyShard>(XXH3_64bits(octets.data(), octets.size()) % KeyShardCount);
}

std::vector<const Target *> holdersOf(const Inventory &inventory, const ServiceName &service, KeyShard shard)
{
    const auto scoreOf = [shard](const Target *target) {
        const auto &name = target->name.text();
        return XXH3_64bits_withSeed(name.data(), name.size(), toNumber(shard));
    };
    auto targets = inventory.targetsOf(service);
    std::sort(targets.begin(), targets.end(), [&scoreOf](const Target *left, const Target *right) {
        return std::pair(scoreOf(left), left->name) > std::pair(scoreOf(right), right->name);
    });
    return targets;
}

} // namespace Heatherridge
