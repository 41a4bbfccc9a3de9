#include "heatherridge_state/decisions/warmupshare.h"

#include "heatherridge_state/decisions/warmuplimit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

void WarmUpShare::setPartitions(const OwnedPartitions &owned, SteadyTime now)
{
    // After a gap in the confirmation, another process may have owned any of them in the meantime.
    const bool hasLapsed = now >= m_owned.validUntil || owned.partitionCount != m_owned.partitionCount;
    std::map<int, SteadyTime> usableFrom;
    for (const auto partition : owned.partitions) {
        const auto known = hasLapsed ? m_usableFrom.end() : m_usableFrom.find(partition);
        usableFrom[partition] = known == m_usableFrom.end() ? now + owned.lease + WarmUpLimit::Window : known->second;
    }
    m_usableFrom = std::move(usableFrom);
    m_owned = owned;
}

int WarmUpShare::maxRequests(const TargetName &target, double requestsPerSecond, SteadyTime now) const
{
    if (now >= m_owned.validUntil || m_owned.partitionCount <= 0) {
        return 0;
    }
    constexpr double largestRate = 1e6; // keeps the conversion to an integer in range
    const auto total = static_cast<int>(std::floor(std::clamp(requestsPerSecond, 0.0, largestRate)));
    const auto count = m_owned.partitionCount;
    const auto hash = XXH3_64bits(target.text().data(), target.text().size());
    const auto first = static_cast<int>(hash % static_cast<std::uint64_t>(count));
    int requests = 0;
    for (const auto &[partition, usableFrom] : m_usableFrom) {
        if (now >= usableFrom) {
            const int position = (partition - first + count) % count;
            requests += total / count + (position < total % count ? 1 : 0);
        }
    }
    return requests;
}

} // namespace Heatherridge
