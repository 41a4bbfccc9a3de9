#include "heatherridge_state/decisions/warmupshare.h"

#include "heatherridge_state/decisions/warmuplimit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** Fraction of the reserve that the owners of a partition may use before its rate is theirs. */
constexpr double UsableReserve = 0.5;
/** Larger rates are cut to this, so that they fit an integer. */
constexpr double MaxRequestsPerSecond = 1e6;

/** Returns a number without a common divisor with @p count that puts neighbouring partitions far from each other. */
std::int64_t spreadingStride(int count)
{
    constexpr double goldenRatio = 0.618;
    auto stride = std::max<std::int64_t>(1, std::llround(count * goldenRatio));
    while (std::gcd(stride, static_cast<std::int64_t>(count)) != 1) {
        ++stride;
    }
    return stride;
}

int wholeRequests(double perSecond)
{
    return static_cast<int>(std::floor(std::clamp(perSecond, 0.0, MaxRequestsPerSecond)));
}

} // namespace

void WarmUpShare::setPartitions(const OwnedPartitions &owned, SteadyTime now)
{
    // After a gap in the confirmation, another process may have owned any of them in the meantime.
    const bool hasLapsed = now >= m_owned.validUntil || owned.partitionCount != m_owned.partitionCount;
    std::map<int, Use> uses;
    for (const auto partition : owned.partitions) {
        const auto known = hasLapsed ? m_uses.end() : m_uses.find(partition);
        uses[partition] = known == m_uses.end()
            ? Use{.rateFrom = now + owned.lease + WarmUpLimit::Window, .usesReserveBefore = !m_hasOwned}
            : known->second;
    }
    m_hasOwned = m_hasOwned || !owned.partitions.empty();
    m_uses = std::move(uses);
    m_owned = owned;
}

int WarmUpShare::maxRequests(const TargetName &target, const WarmUpRate &rate, SteadyTime now) const
{
    const auto count = m_owned.partitionCount;
    if (now >= m_owned.validUntil || count <= 0) {
        return 0;
    }
    const auto hash = XXH3_64bits(target.text().data(), target.text().size());
    const auto first = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(count));
    const auto stride = spreadingStride(count);
    const auto partOf = [&](int partition, int total) {
        const auto position = (partition * stride + first) % count;
        return total / count + (position < total % count ? 1 : 0);
    };
    const int wholeRate = wholeRequests(rate.perSecond);
    const int usableReserve = wholeRequests(rate.reserve * UsableReserve);
    int requests = 0;
    for (const auto &[partition, use] : m_uses) {
        if (now >= use.rateFrom) {
            requests += partOf(partition, wholeRate);
        } else if (use.usesReserveBefore) {
            requests += partOf(partition, usableReserve);
        }
    }
    return requests;
}

} // namespace Heatherridge
