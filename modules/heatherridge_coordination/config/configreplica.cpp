#include "heatherridge_coordination/config/configreplica.h"

#include "heatherridge_protocol/controlrecordcodec.h"

#include <algorithm>
#include <cassert>

namespace Heatherridge
{

ConfigReplica::ConfigReplica(ReplicaOptions options)
    : m_options(options)
{
}

std::vector<FoldedRecord> ConfigReplica::receive(RelayedRecord record)
{
    std::vector<FoldedRecord> folded;
    m_highestKnownOffset = std::max(m_highestKnownOffset, record.offset);
    if (record.offset <= m_state.offset()) {
        ++m_counters.outdated;
        return folded;
    }
    if (record.offset == next(m_state.offset())) {
        fold(std::move(record), folded);
        foldBuffered(folded);
    } else if (!isCutOff() || !resetAcrossGap(record, folded)) {
        buffer(std::move(record));
    } else {
        foldBuffered(folded);
    }
    return folded;
}

void ConfigReplica::fold(RelayedRecord record, std::vector<FoldedRecord> &folded)
{
    const auto decoded = decodeControlRecord(record.payload);
    const auto effect =
        std::visit(Visitor{[&](const ControlRecord &typed) { return m_state.apply(record.offset, typed); },
                           [&](SkipReason reason) { return m_state.applyUnreadable(record.offset, reason); }},
                   decoded);
    keepRecent(record);
    folded.push_back({.record = std::move(record), .effect = effect});
}

void ConfigReplica::foldBuffered(std::vector<FoldedRecord> &folded)
{
    dropBufferedUpTo(m_state.offset());
    while (!m_buffered.empty() && m_buffered.begin()->first == next(m_state.offset())) {
        auto entry = m_buffered.extract(m_buffered.begin());
        m_bufferedBytes -= entry.mapped().size();
        fold({.offset = entry.key(), .payload = std::move(entry.mapped())}, folded);
    }
}

bool ConfigReplica::resetAcrossGap(const RelayedRecord &record, std::vector<FoldedRecord> &folded)
{
    const auto decoded = decodeControlRecord(record.payload);
    const auto *typed = std::get_if<ControlRecord>(&decoded);
    const auto *reset = typed != nullptr ? std::get_if<ResetFold>(typed) : nullptr;
    if (reset == nullptr) {
        return false;
    }
    auto state = ConfigState::fromReset(record.offset, *reset);
    if (!state) {
        return false;
    }
    m_state = std::move(*state);
    m_recent.clear();
    m_recentBytes = 0;
    ++m_counters.resetsFromGap;
    keepRecent(record);
    folded.push_back({.record = record, .effect = FoldEffect::Reset});
    return true;
}

void ConfigReplica::buffer(RelayedRecord record)
{
    if (m_buffered.contains(record.offset)) {
        ++m_counters.outdated;
        return;
    }
    // A peer may be far ahead, or faulty. Records that do not fit are fetched again once the gap before them is closed.
    if (m_buffered.size() >= m_options.maxBufferedRecords
        || m_bufferedBytes + record.payload.size() > m_options.maxBufferedBytes) {
        ++m_counters.dropped;
        return;
    }
    ++m_counters.outOfOrder;
    m_bufferedBytes += record.payload.size();
    m_buffered.emplace(record.offset, std::move(record.payload));
}

void ConfigReplica::dropBufferedUpTo(LogOffset offset)
{
    while (!m_buffered.empty() && m_buffered.begin()->first <= offset) {
        m_bufferedBytes -= m_buffered.begin()->second.size();
        m_buffered.erase(m_buffered.begin());
    }
}

void ConfigReplica::keepRecent(const RelayedRecord &record)
{
    m_recentBytes += record.payload.size();
    m_recent.push_back(record);
    while (m_recent.size() > m_options.maxRecentRecords || m_recentBytes > m_options.maxRecentBytes) {
        m_recentBytes -= m_recent.front().payload.size();
        m_recent.pop_front();
    }
}

bool ConfigReplica::adopt(const ConfigImage &image, Digest claimedDigest)
{
    if (image.offset <= m_state.offset() || digestOf(image) != claimedDigest) {
        ++m_counters.rejectedImages;
        return false;
    }
    auto state = ConfigState::fromImage(image);
    if (!state) {
        ++m_counters.rejectedImages;
        return false;
    }
    m_state = std::move(*state);
    m_highestKnownOffset = std::max(m_highestKnownOffset, m_state.offset());
    m_recent.clear();
    m_recentBytes = 0;
    dropBufferedUpTo(m_state.offset());
    return true;
}

void ConfigReplica::noteLogBounds(LogOffset first, LogOffset last)
{
    m_firstLogOffset = std::max(m_firstLogOffset, first);
    m_highestKnownOffset = std::max(m_highestKnownOffset, last);
    if (!m_confirmationOffset) {
        m_confirmationOffset = last;
    }
}

void ConfigReplica::notePeerOffset(LogOffset offset)
{
    m_highestKnownOffset = std::max(m_highestKnownOffset, offset);
}

bool ConfigReplica::checkDigest(LogOffset offset, Digest digest)
{
    if (offset != m_state.offset() || digest == m_state.digest()) {
        return true;
    }
    ++m_counters.diverged;
    return false;
}

const ConfigState &ConfigReplica::state() const
{
    return m_state;
}

bool ConfigReplica::isConfirmed() const
{
    return m_confirmationOffset && m_state.offset() >= *m_confirmationOffset;
}

bool ConfigReplica::isCutOff() const
{
    return m_firstLogOffset > next(m_state.offset());
}

LogOffset ConfigReplica::firstLogOffset() const
{
    return m_firstLogOffset;
}

std::optional<LogOffset> ConfigReplica::firstMissingOffset() const
{
    return m_highestKnownOffset > m_state.offset() ? std::optional(next(m_state.offset())) : std::nullopt;
}

std::vector<RelayedRecord> ConfigReplica::recentRecordsFrom(LogOffset from) const
{
    std::vector<RelayedRecord> records;
    if (m_recent.empty() || from < m_recent.front().offset || from > m_recent.back().offset) {
        return records;
    }
    std::size_t bytes = 0;
    for (auto index = toNumber(from) - toNumber(m_recent.front().offset); index < m_recent.size(); ++index) {
        const auto &record = m_recent[index];
        bytes += record.payload.size();
        if (!records.empty() && bytes > MaxRelayBytes) {
            break;
        }
        records.push_back(record);
    }
    return records;
}

const ReplicaCounters &ConfigReplica::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
