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
    , m_retryPause(options.firstBackoff, options.longestBackoff)
    , m_wantsSnapshot(replica.state().offset() == LogOffset{})
{
}

void LogFollower::setListener(FollowerListener *listener)
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
    if (m_pause) {
        m_pause = false;
        m_notBefore = now + m_retryPause.draw(m_random);
    }
    if (m_wantsSnapshot) {
        if (!m_loader && now >= m_notBefore) {
            startLoader();
        }
        // A newcomer waits for the snapshot; one that is cut off goes on reading, since only a reset may help.
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
                     [this](Result<std::optional<AssembledImage>> result) { takeSnapshot(std::move(result)); });
    m_loader->start();
}

void LogFollower::takeSnapshot(Result<std::optional<AssembledImage>> result)
{
    m_loaderDone = true; // the loader is still running this call, so the next tick ends it
    m_loaderFailed = errorIn(result) != nullptr;
    if (m_loaderFailed) {
        m_pause = true;
        return;
    }
    const auto &image = std::get<std::optional<AssembledImage>>(result);
    if (image && m_replica.adopt(image->image, image->claimed) && m_listener != nullptr) {
        m_listener->stateReplaced();
    }
    m_wantsSnapshot = m_replica.isCutOff();
    m_pause = m_wantsSnapshot;
    if (!m_wantsSnapshot) {
        m_retryPause.reset();
    }
}

LogOffset LogFollower::wantedFrom() const
{
    if (m_replica.isCutOff()) {
        return std::max(next(m_scanned), m_replica.logFirst());
    }
    return next(m_replica.state().offset());
}

void LogFollower::takePage(const LogPage &page)
{
    m_replica.noteLogBounds(page.first, page.last);
    std::vector<FoldedRecord> folded;
    for (const auto &record : page.records) {
        m_scanned = std::max(m_scanned, record.offset);
        auto some = m_replica.take({.offset = record.offset, .payload = record.payload});
        folded.insert(folded.end(), std::make_move_iterator(some.begin()), std::make_move_iterator(some.end()));
    }
    if (!folded.empty() && m_listener != nullptr) {
        m_listener->recordsFolded(folded);
    }
    m_wantsSnapshot = m_replica.isCutOff();
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
