#include "heatherridge_coordination/config/snapshotwriter.h"

#include "heatherridge_coordination/config/snapshotloader.h"
#include "heatherridge_protocol/controlrecordcodec.h"

namespace Heatherridge
{

SnapshotWriter::SnapshotWriter(LogService &service, RandomSource &random, SnapshotWriterOptions options)
    : m_service(service)
    , m_random(random)
    , m_options(options)
    , m_retryPause(options.firstBackoff, options.longestBackoff)
{
}

void SnapshotWriter::tick(SteadyTime now, const ConfigReplica &replica, std::size_t rank)
{
    if (m_pause) {
        m_pause = false;
        m_notBefore = now + m_retryPause.draw(m_random);
    }
    if (m_writing || now < m_notBefore) {
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
    if (m_lastCovers != covers) {
        m_lastCovers = covers;
        m_announcedAt = now;
    }
    if (!replica.isConfirmed() || replica.isCutOff() || state.offset() == LogOffset{}) {
        return false;
    }
    // Records after the snapshot have expired: the log was out for longer than it keeps records, or every process
    // was. Until a new snapshot is there, a newcomer finds a gap.
    const bool gapOpen = replica.logFirst() > next(covers);
    const auto behind = toNumber(state.offset()) - toNumber(covers);
    return gapOpen || behind >= m_options.recordsBetween || now - m_announcedAt >= m_options.interval;
}

void SnapshotWriter::begin(const ConfigState &state)
{
    const auto parts = splitImage(state.image());
    if (parts.empty()) {
        abandon();
        return;
    }
    m_writing = true;
    m_payloads.clear();
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        m_payloads.push_back(encodeImagePart(*part));
    }
    m_announcement = {.covers = state.offset(), .digest = state.digest()};
    appendNext();
}

void SnapshotWriter::appendNext()
{
    const bool announce = m_payloads.empty();
    auto payload = announce ? encodeControlRecord(m_announcement) : std::move(m_payloads.back());
    if (!announce) {
        m_payloads.pop_back();
    }
    m_service.append(announce ? ControlStream : SnapshotStream, std::move(payload),
                     [this, announce, alive = std::weak_ptr(m_alive)](const Result<LogOffset> &result) {
                         if (alive.expired()) {
                             return;
                         }
                         if (errorIn(result) != nullptr) {
                             abandon();
                         } else if (announce) {
                             m_writing = false;
                             m_retryPause.reset();
                             // Until the announcement has been folded here, the snapshot still seems due.
                             m_pause = true;
                             ++m_counters.written;
                         } else {
                             appendNext();
                         }
                     });
}

void SnapshotWriter::abandon()
{
    m_writing = false;
    m_pause = true;
    m_payloads.clear();
    ++m_counters.abandoned;
}

bool SnapshotWriter::isWriting() const
{
    return m_writing;
}

const SnapshotWriterCounters &SnapshotWriter::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
