#include "heatherridge_state/decisions/targetview.h"

#include <xxhash.h>

#include <array>

namespace Heatherridge
{

std::uint64_t targetKey(const TargetName &target)
{
    return XXH3_64bits(target.text().data(), target.text().size());
}

std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t item)
{
    const std::array<std::uint64_t, 2> both{key, item};
    return XXH3_64bits(both.data(), sizeof both);
}

} // namespace Heatherridge
