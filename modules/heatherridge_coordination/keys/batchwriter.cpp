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
    m_waiting.push_back(std::move(record));
}

void BatchWriter::removeWaiting(const std::function<bool(const KeyRecord &)> &matches)
{
    std::erase_if(m_waiting, matches);
}

std::optional<KeyBatch> BatchWriter::next(const LedgerView &view, const std::optional<ClaimId> &onBehalfOf)
{
    if (m_state == State::Failed) {
        m_state = State::Appending;
        return m_current;
    }
    if (m_state != State::Idle || m_waiting.empty()) {
        return std::nullopt;
    }
    KeyBatch batch;
    batch.writer = m_self;
    batch.serial = ++m_serial;
    batch.view = view;
    batch.onBehalfOf = onBehalfOf;
    const auto count = std::min(m_waiting.size(), MaxKeyRecords);
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    std::move(m_waiting.begin(), end, std::back_inserter(batch.records));
    m_waiting.erase(m_waiting.begin(), end);
    m_current = std::move(batch);
    m_state = State::Appending;
    return m_current;
}

void BatchWriter::appended(std::uint64_t serial, bool ok)
{
    if (m_state == State::Appending && m_current->serial == serial) {
        m_state = ok ? State::Appended : State::Failed;
    }
}

bool BatchWriter::readBack(std::uint64_t serial)
{
    if (!m_current || m_current->serial != serial) {
        return false;
    }
    m_current.reset();
    m_state = State::Idle;
    return true;
}

std::vector<KeyRecord> BatchWriter::abandon()
{
    std::vector<KeyRecord> records;
    if (m_current) {
        records = std::move(m_current->records);
    }
    m_current.reset();
    m_state = State::Idle;
    return records;
}

std::vector<KeyRecord> BatchWriter::unconfirmed() const
{
    std::vector<KeyRecord> records;
    if (m_current) {
        records = m_current->records;
    }
    records.insert(records.end(), m_waiting.begin(), m_waiting.end());
    return records;
}

bool BatchWriter::isEmpty() const
{
    return !m_current && m_waiting.empty();
}

} // namespace Heatherridge
