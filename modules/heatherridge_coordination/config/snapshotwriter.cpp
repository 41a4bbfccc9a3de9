#include "heatherridge_coordination/config/snapshotwriter.h"

#include "heatherridge_coordination/config/snapshotloader.h"
#include "heatherridge_protocol/controlrecordcodec.h"

namespace Heatherridge
{

SnapshotWriter::SnapshotWriter(LogService &service, RandomSource &random, SnapshotWriterOptions options)
    : m_service(service)
    , m_random(random)
    , m_options(options)
    , m_retryBackoff(options.initialBackoff, options.maxBackoff)
{
}

void SnapshotWriter::tick(SteadyTime now, const ConfigReplica &replica, std::size_t rank)
{
    if (m_isBackoffPending) {
        m_isBackoffPending = false;
        m_nextAttemptAt = now + m_retryBackoff.nextDelay(m_random);
    }
    if (m_isWriting || now < m_nextAttemptAt) {
        return;
    }
    if (!isDue(now, replica)) {
        m_dueSince.reset();
        return;
    }
    if (!m_dueSince) {
        m_dueSince = now;
    }
    if (now - *m_dueSince >= m_options.stagger * static_cast<long>(rank)) {
        m_dueSince.reset();
        begin(replica.state());
    }
}

bool SnapshotWriter::isDue(SteadyTime now, const ConfigReplica &replica)
{
    const auto &state = replica.state();
    const auto covers = state.snapshot().covers;
    if (m_lastCoveredOffset != covers) {
        m_lastCoveredOffset = covers;
        m_announcedAt = now;
    }
    if (!replica.isConfirmed() || replica.isCutOff() || state.offset() == LogOffset{}) {
        return false;
    }
    // Records after the snapshot have expired: the log, or every process, was down for longer than the log keeps
    // records. Until a new snapshot is written, a new process finds a gap.
    const bool hasGap = replica.firstLogOffset() > next(covers);
    const auto recordsBehind = toNumber(state.offset()) - toNumber(covers);
    return hasGap || recordsBehind >= m_options.recordsBetweenSnapshots || now - m_announcedAt >= m_options.interval;
}

void SnapshotWriter::begin(const ConfigState &state)
{
    const auto parts = splitImage(state.image());
    if (parts.empty()) {
        abandon();
        return;
    }
    m_isWriting = true;
    m_payloads.clear();
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        m_payloads.push_back(encodeImagePart(*part));
    }
    m_announcement = {.covers = state.offset(), .digest = state.digest()};
    appendNext();
}

void SnapshotWriter::appendNext()
{
    const bool isAnnouncement = m_payloads.empty();
    auto payload = isAnnouncement ? encodeControlRecord(m_announcement) : std::move(m_payloads.back());
    if (!isAnnouncement) {
        m_payloads.pop_back();
    }
    m_service.append(isAnnouncement ? ControlStream : SnapshotStream, std::move(payload),
                     [this, isAnnouncement, alive = std::weak_ptr(m_alive)](const Result<LogOffset> &result) {
                         if (alive.expired()) {
                             return;
                         }
                         if (errorIn(result) != nullptr) {
                             abandon();
                         } else if (isAnnouncement) {
                             m_isWriting = false;
                             m_retryBackoff.reset();
                             // Until this process has folded the announcement, the snapshot still appears due.
                             m_isBackoffPending = true;
                             ++m_counters.written;
                         } else {
                             appendNext();
                         }
                     });
}

void SnapshotWriter::abandon()
{
    m_isWriting = false;
    m_isBackoffPending = true;
    m_payloads.clear();
    ++m_counters.abandoned;
}

bool SnapshotWriter::isWriting() const
{
    return m_isWriting;
}

const SnapshotWriterCounters &SnapshotWriter::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
