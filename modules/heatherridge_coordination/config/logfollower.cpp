#include "heatherridge_coordination/config/logfollower.h"

#include <algorithm>

namespace Heatherridge
{

LogFollower::LogFollower(LogService &service, ConfigReplica &replica, RandomSource &random,
                         const LogFollowerOptions &options)
    : m_service(service)
    , m_replica(replica)
    , m_random(random)
    , m_reader(service, *this, random, options.reader)
    , m_retryBackoff(options.initialBackoff, options.maxBackoff)
    , m_needsSnapshot(replica.state().offset() == LogOffset{})
{
}

void LogFollower::setListener(ReplicaListener *listener)
{
    m_listener = listener;
}

void LogFollower::setActive(bool active)
{
    m_active = active;
}

void LogFollower::tick(SteadyTime now)
{
    if (m_loaderDone) {
        m_damagedParts += m_loader->damagedParts();
        m_loader.reset();
        m_loaderDone = false;
    }
    if (m_isBackoffPending) {
        m_isBackoffPending = false;
        m_nextAttemptAt = now + m_retryBackoff.nextDelay(m_random);
    }
    if (m_needsSnapshot) {
        if (!m_loader && now >= m_nextAttemptAt) {
            startLoader();
        }
        // A new process waits for the snapshot. One that is cut off continues to read, since possibly only a reset
        // helps.
        if (!m_replica.isCutOff()) {
            return;
        }
    }
    m_reader.setActive(m_active || !m_replica.isConfirmed());
    m_reader.tick(now);
}

void LogFollower::startLoader()
{
    m_loader.emplace(m_service,
                     [this](Result<std::optional<AssembledImage>> result) { handleSnapshot(std::move(result)); });
    m_loader->start();
}

void LogFollower::handleSnapshot(Result<std::optional<AssembledImage>> result)
{
    m_loaderDone = true; // the loader is still on the call stack, so the next tick destroys it
    m_loaderFailed = errorIn(result) != nullptr;
    if (m_loaderFailed) {
        m_isBackoffPending = true;
        return;
    }
    const auto &image = std::get<std::optional<AssembledImage>>(result);
    if (image && m_replica.adopt(image->image, image->claimedDigest) && m_listener != nullptr) {
        m_listener->stateReplaced();
    }
    m_needsSnapshot = m_replica.isCutOff();
    m_isBackoffPending = m_needsSnapshot;
    if (!m_needsSnapshot) {
        m_retryBackoff.reset();
    }
}

LogOffset LogFollower::nextReadOffset() const
{
    if (m_replica.isCutOff()) {
        return std::max(next(m_scannedUpTo), m_replica.firstLogOffset());
    }
    return next(m_replica.state().offset());
}

void LogFollower::handlePage(const LogPage &page)
{
    m_replica.noteLogBounds(page.first, page.last);
    std::vector<FoldedRecord> folded;
    for (const auto &record : page.records) {
        m_scannedUpTo = std::max(m_scannedUpTo, record.offset);
        auto newlyFolded = m_replica.receive({.offset = record.offset, .payload = record.payload});
        folded.insert(folded.end(), std::make_move_iterator(newlyFolded.begin()),
                      std::make_move_iterator(newlyFolded.end()));
    }
    if (!folded.empty() && m_listener != nullptr) {
        m_listener->recordsFolded(folded);
    }
    m_needsSnapshot = m_replica.isCutOff();
    if (m_listener != nullptr) {
        m_listener->logAnswered(m_replica.state().offset() >= page.last);
    }
}

std::optional<bool> LogFollower::isReachable() const
{
    return m_loaderFailed ? std::optional(false) : m_reader.isReachable();
}

std::uint64_t LogFollower::damagedParts() const
{
    return m_damagedParts;
}

} // namespace Heatherridge
