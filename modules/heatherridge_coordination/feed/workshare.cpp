#include "heatherridge_coordination/feed/workshare.h"

#include <xxhash.h>

namespace Heatherridge
{

namespace
{

int partitionOf(std::string_view work, int partitionCount)
{
    return static_cast<int>(XXH3_64bits(work.data(), work.size()) % static_cast<std::uint64_t>(partitionCount));
}

} // namespace

WorkShare::WorkShare(ShareLog &log, Options options)
    : m_log(log)
    , m_options(std::move(options))
{
}

void WorkShare::tick(SteadyTime now)
{
    if (m_isCalling || m_hasLeft || now < m_nextCallAt) {
        return;
    }
    m_nextCallAt = now + m_options.callInterval;
    m_isCalling = true;
    m_log.join(m_options.member, m_options.lease, m_share.generation,
               [this, now, restoreCount = m_restoreCount](Result<ShareAssignment> assignment) {
                   if (restoreCount != m_restoreCount) {
                       return;
                   }
                   m_isCalling = false;
                   if (errorIn(assignment) == nullptr) {
                       m_confirmedAt = now;
                       m_share = std::get<ShareAssignment>(std::move(assignment));
                   }
               });
}

bool WorkShare::isMine(std::string_view work) const
{
    return !m_hasLeft && m_share.partitions.contains(partitionOf(work, m_options.partitionCount));
}

bool WorkShare::isMineInZone(std::string_view work) const
{
    return !m_hasLeft && m_share.zonePartitions.contains(partitionOf(work, m_options.zonePartitionCount));
}

std::optional<double> WorkShare::fraction() const
{
    if (!m_confirmedAt || m_options.partitionCount <= 0) {
        return std::nullopt;
    }
    return m_hasLeft ? 0.0 : static_cast<double>(m_share.partitions.size()) / m_options.partitionCount;
}

std::optional<double> WorkShare::nonZeroFraction() const
{
    const auto own = fraction();
    return own && *own <= 0 && !m_hasLeft ? 1.0 / (m_options.partitionCount + 1) : own;
}

int WorkShare::memberCount() const
{
    // Each member has the partitions of an even division, rounded up or down.
    const auto own = static_cast<int>(m_share.partitions.size());
    return m_confirmedAt ? m_options.partitionCount / (own + 1) + 1 : 1;
}

std::optional<double> WorkShare::zoneFraction() const
{
    if (!m_confirmedAt || m_hasLeft || m_share.zonePartitions.empty()) {
        return std::nullopt;
    }
    return static_cast<double>(m_share.zonePartitions.size()) / m_options.zonePartitionCount;
}

OwnedPartitions WorkShare::ownedPartitions() const
{
    if (!m_confirmedAt || m_hasLeft) {
        return {};
    }
    return {.partitions = m_share.partitions,
            .partitionCount = m_options.partitionCount,
            .validUntil = *m_confirmedAt + m_options.lease,
            .lease = m_options.lease};
}

bool WorkShare::isConfirmed(SteadyTime now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_options.lease;
}

void WorkShare::logRestored()
{
    ++m_restoreCount;
    m_share.generation = 0; // the restored log continues from an older generation
    m_confirmedAt.reset();
    m_isCalling = false;
    m_nextCallAt = {};
}

void WorkShare::leave()
{
    m_hasLeft = true;
    m_log.leave(m_options.member);
}

void WorkShare::rejoin()
{
    if (!m_hasLeft) {
        return;
    }
    logRestored(); // answers to calls from before leaving are ignored
    m_share = {};
    m_hasLeft = false;
}

} // namespace Heatherridge
