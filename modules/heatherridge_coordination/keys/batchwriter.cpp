#include "heatherridge_coordination/keys/batchwriter.h"

#include "heatherridge_protocol/keyrecordcodec.h"

#include <algorithm>

namespace Heatherridge
{

BatchWriter::BatchWriter(GateId self)
    : m_self(std::move(self))
{
}

void BatchWriter::add(KeyRecord record)
{
    m_queued.push_back(std::move(record));
}

void BatchWriter::removeQueued(const std::function<bool(const KeyRecord &)> &matches)
{
    std::erase_if(m_queued, matches);
}

std::optional<KeyBatch> BatchWriter::nextBatch(const LedgerView &view, const std::optional<ClaimId> &onBehalfOf)
{
    if (m_state == State::Failed) {
        m_state = State::Appending;
        return m_inFlight;
    }
    if (m_state != State::Idle || m_queued.empty()) {
        return std::nullopt;
    }
    KeyBatch batch;
    batch.writer = m_self;
    batch.serial = ++m_serial;
    batch.view = view;
    batch.onBehalfOf = onBehalfOf;
    const auto count = std::min(m_queued.size(), MaxKeyRecords);
    const auto end = m_queued.begin() + static_cast<std::ptrdiff_t>(count);
    std::move(m_queued.begin(), end, std::back_inserter(batch.records));
    m_queued.erase(m_queued.begin(), end);
    m_inFlight = std::move(batch);
    m_state = State::Appending;
    return m_inFlight;
}

void BatchWriter::appendCompleted(std::uint64_t serial, bool ok)
{
    if (m_state == State::Appending && m_inFlight->serial == serial) {
        m_state = ok ? State::Appended : State::Failed;
    }
}

bool BatchWriter::confirmReadBack(std::uint64_t serial)
{
    if (!m_inFlight || m_inFlight->serial != serial) {
        return false;
    }
    m_inFlight.reset();
    m_state = State::Idle;
    return true;
}

std::vector<KeyRecord> BatchWriter::abandon()
{
    std::vector<KeyRecord> records;
    if (m_inFlight) {
        records = std::move(m_inFlight->records);
    }
    m_inFlight.reset();
    m_state = State::Idle;
    return records;
}

std::vector<KeyRecord> BatchWriter::unconfirmedRecords() const
{
    std::vector<KeyRecord> records;
    if (m_inFlight) {
        records = m_inFlight->records;
    }
    records.insert(records.end(), m_queued.begin(), m_queued.end());
    return records;
}

bool BatchWriter::isEmpty() const
{
    return !m_inFlight && m_queued.empty();
}

} // namespace Heatherridge
