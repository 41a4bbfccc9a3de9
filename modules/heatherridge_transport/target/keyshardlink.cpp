#include "heatherridge_transport/target/keyshardlink.h"

#include "heatherridge_protocol/keyrecordcodec.h"
#include "heatherridge_transport/app/logger.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t RecordsPerRead = 256;
/** Number of appends that may be sent without a delay after an idle period. */
constexpr int AppendBurstSize = 10;

WallTime wallNow()
{
    return SystemClock().wallNow();
}

std::optional<KeyBatch> decodeRecord(const LogRecord &record)
{
    auto batch = decodeKeyBatch(record.payload);
    if (errorIn(batch) != nullptr) {
        return std::nullopt;
    }
    return std::get<KeyBatch>(std::move(batch));
}

} // namespace

KeyShardLink::KeyShardLink(EventLoop &loop, LogService &log, GateId self, Options options, ActionHandler perform)
    : m_loop(loop)
    , m_log(log)
    , m_options(std::move(options))
    , m_actionHandler(std::move(perform))
    , m_gate(std::move(self), m_options.gate)
{
}

void KeyShardLink::start()
{
    read();
}

KeyGate &KeyShardLink::gate()
{
    return m_gate;
}

void KeyShardLink::perform(const KeyActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *append = std::get_if<AppendBatch>(&action)) {
            const auto batch = std::make_shared<const KeyBatch>(append->batch);
            const auto pause = reserveAppend();
            if (pause.count() <= 0) {
                this->append(batch);
            } else {
                m_loop.after(pause, [this, batch, alive = std::weak_ptr(m_alive)] {
                    if (!alive.expired()) {
                        this->append(batch);
                    }
                });
            }
        } else {
            m_actionHandler(action);
        }
    }
}

/** Reserves the next append and returns its delay: a burst is sent immediately, while sustained load is limited to one
 * append per interval. */
std::chrono::milliseconds KeyShardLink::reserveAppend()
{
    const auto now = std::chrono::steady_clock::now();
    const auto slot = std::max(m_nextAppend, now - AppendBurstSize * m_options.appendInterval);
    m_nextAppend = slot + m_options.appendInterval;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(slot - now, SteadyTime::duration::zero()));
}

bool KeyShardLink::isLogAvailable() const
{
    return m_logAvailable;
}

std::uint64_t KeyShardLink::appends() const
{
    return m_appendCount;
}

std::uint64_t KeyShardLink::recordsAppended() const
{
    return m_recordsAppended;
}

void KeyShardLink::read()
{
    // The first read must not wait: otherwise the gate of an idle shard could not become its holder until the wait is
    // over.
    const auto wait = m_logAvailable ? m_options.readWait : std::chrono::milliseconds(0);
    m_log.read(m_options.stream, next(m_lastRead), RecordsPerRead, wait,
               [this, alive = std::weak_ptr(m_alive)](const Result<LogPage> &result) {
                   if (alive.expired()) {
                       return;
                   }
                   if (const auto *page = std::get_if<LogPage>(&result)) {
                       handlePage(*page);
                       read();
                       return;
                   }
                   setLogAvailable(false);
                   m_loop.after(m_options.retryDelay, [this, alive] {
                       if (!alive.expired()) {
                           read();
                       }
                   });
               });
}

void KeyShardLink::handlePage(const LogPage &page)
{
    if (page.first > next(m_lastRead)) {
        m_lastRead = static_cast<LogOffset>(toNumber(page.first) - 1);
        perform(m_gate.recordsExpired(m_lastRead));
    }
    for (const auto &record : page.records) {
        if (record.offset > m_lastRead) {
            m_lastRead = record.offset;
            perform(m_gate.recordRead(record.offset, decodeRecord(record), wallNow()));
        }
    }
    // While appends fail, a successful read does not show that the log is available.
    setLogAvailable(!m_appendFailing);
    if (m_lastRead >= page.last) {
        perform(m_gate.streamCaughtUp(wallNow()));
    }
}

void KeyShardLink::append(const std::shared_ptr<const KeyBatch> &batch)
{
    ++m_appendCount;
    m_recordsAppended += batch->records.size();
    m_log.append(m_options.stream, encode(*batch),
                 [this, batch, alive = std::weak_ptr(m_alive)](const Result<LogOffset> &result) {
                     if (!alive.expired()) {
                         handleAppendResult(batch, result);
                     }
                 });
}

void KeyShardLink::handleAppendResult(const std::shared_ptr<const KeyBatch> &batch, const Result<LogOffset> &result)
{
    if (errorIn(result) == nullptr) {
        m_appendFailing = false;
        perform(m_gate.appendCompleted(batch->serial, true, wallNow()));
        setLogAvailable(true);
        return;
    }
    // The batch may or may not have been stored: it is appended again, and readers skip a duplicate by its serial
    // number.
    m_appendFailing = true;
    setLogAvailable(false);
    m_loop.after(m_options.retryDelay, [this, batch, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            append(batch);
        }
    });
}

void KeyShardLink::setLogAvailable(bool available)
{
    if (available == m_logAvailable) {
        return;
    }
    m_logAvailable = available;
    logEvent(Severity::Info, available ? "key-log-well" : "key-log-out", {{"stream", m_options.stream.text()}});
    perform(m_gate.logAvailabilityChanged(available, wallNow()));
    perform(m_gate.tick(wallNow()));
}

} // namespace Heatherridge
