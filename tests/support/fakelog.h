#pragma once

#include "heatherridge_coordination/logservice.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

namespace Heatherridge
{

/** Numbers of calls that a FakeLog has received. */
struct FakeLogCounts
{
    int appends = 0;
    int reads = 0;
};

/**
 * An in-memory fake of the platform's log on virtual time, with switches that inject failures.
 *
 * Callbacks are never called from within append() or read(), only from run(). Not thread-safe.
 */
class FakeLog final : public LogService
{
public:
    using Counts = FakeLogCounts;

    bool isUnavailable = false; ///< every call fails without effect; an append reports that it may have been executed
    int repliesToLose = 0; ///< number of further appends that take effect but report a failure
    int appendsToDrop =
        0; ///< number of further appends that have no effect but report that they may have been executed
    std::chrono::milliseconds delay{0}; ///< before each reply
    Counts counts;

    void append(const StreamName &stream, Bytes payload, AppendDone done) override
    {
        ++counts.appends;
        if (isUnavailable || appendsToDrop > 0) {
            appendsToDrop -= isUnavailable ? 0 : 1;
            scheduleReply([done = std::move(done)] { done(failure()); });
            return;
        }
        const auto offset = put(stream, std::move(payload));
        if (repliesToLose > 0) {
            --repliesToLose;
            scheduleReply([done = std::move(done)] { done(failure()); });
            return;
        }
        scheduleReply([done = std::move(done), offset] { done(offset); });
    }

    void read(const StreamName &stream, LogOffset from, std::size_t maxRecords, std::chrono::milliseconds wait,
              ReadDone done) override
    {
        ++counts.reads;
        if (isUnavailable) {
            scheduleReply([done = std::move(done)] { done(failure()); });
            return;
        }
        m_reads.push_back({stream, from, maxRecords, m_now + wait, std::move(done)});
    }

    /** Appends a record immediately, ignoring the failure switches. @returns its offset */
    LogOffset put(const StreamName &stream, Bytes payload)
    {
        auto &stored = m_streams[stream];
        stored.last = next(stored.last);
        stored.records.push_back({.offset = stored.last, .payload = std::move(payload)});
        return stored.last;
    }

    /** Removes all records of @p stream below @p offset, as if their retention time had passed. */
    void expireBelow(const StreamName &stream, LogOffset offset)
    {
        auto &stored = m_streams[stream];
        while (!stored.records.empty() && stored.records.front().offset < offset) {
            stored.records.pop_front();
        }
    }

    /** Returns the payload of the record of @p stream at @p offset, for a test to corrupt. The record must not have
     * expired. */
    Bytes &payloadAt(const StreamName &stream, LogOffset offset)
    {
        auto &records = m_streams[stream].records;
        return records.at(toNumber(offset) - toNumber(records.front().offset)).payload;
    }

    /** Returns the newest offset of @p stream. */
    LogOffset last(const StreamName &stream)
    {
        return m_streams[stream].last;
    }

    /** Sets the time to @p now and sends all replies that are due. */
    void run(SteadyTime now)
    {
        m_now = now;
        auto reads = std::move(m_reads);
        m_reads.clear();
        for (auto &read : reads) {
            processRead(read);
        }
        auto pendingReplies = std::move(m_pendingReplies);
        m_pendingReplies.clear();
        for (auto &[due, call] : pendingReplies) {
            if (due <= now) {
                call();
            } else {
                m_pendingReplies.emplace_back(due, std::move(call));
            }
        }
    }

private:
    struct Stream
    {
        std::deque<LogRecord> records;
        LogOffset last{};
    };

    struct PendingRead
    {
        StreamName stream;
        LogOffset from;
        std::size_t maxRecords;
        SteadyTime deadline;
        ReadDone done;
    };

    static Error failure()
    {
        return {.kind = ErrorKind::PlatformUnavailable, .ran = ExecutionStatus::Unknown};
    }

    void scheduleReply(std::function<void()> call)
    {
        m_pendingReplies.emplace_back(m_now + delay, std::move(call));
    }

    void processRead(PendingRead &read)
    {
        if (isUnavailable) {
            scheduleReply([done = std::move(read.done)] { done(failure()); });
            return;
        }
        const auto &stored = m_streams[read.stream];
        const auto first = stored.records.empty() ? next(stored.last) : stored.records.front().offset;
        if (read.from > stored.last && m_now < read.deadline) {
            m_reads.push_back(std::move(read));
            return;
        }
        LogPage page{.first = first, .last = stored.last};
        for (const auto &record : stored.records) {
            if (read.from >= first && record.offset >= read.from && page.records.size() < read.maxRecords) {
                page.records.push_back(record);
            }
        }
        scheduleReply([done = std::move(read.done), page = std::move(page)] { done(page); });
    }

    SteadyTime m_now{};
    std::map<StreamName, Stream> m_streams;
    std::deque<PendingRead> m_reads;
    std::vector<std::pair<SteadyTime, std::function<void()>>> m_pendingReplies;
};

/** One zone's connection to the log, which can be cut while other zones still reach it. Not thread-safe. */
class LogAccess final : public LogService
{
public:
    explicit LogAccess(LogService &log)
        : m_log(log)
    {
    }

    bool isDisconnected = false;

    void append(const StreamName &stream, Bytes payload, AppendDone done) override
    {
        if (isDisconnected) {
            m_failures.emplace_back([done = std::move(done)] { done(Error{.kind = ErrorKind::PlatformUnavailable}); });
        } else {
            m_log.append(stream, std::move(payload), std::move(done));
        }
    }

    void read(const StreamName &stream, LogOffset from, std::size_t maxRecords, std::chrono::milliseconds wait,
              ReadDone done) override
    {
        if (isDisconnected) {
            m_failures.emplace_back([done = std::move(done)] { done(Error{.kind = ErrorKind::PlatformUnavailable}); });
        } else {
            m_log.read(stream, from, maxRecords, wait, std::move(done));
        }
    }

    /** Reports the failures of the calls made while disconnected. */
    void run()
    {
        const auto failures = std::move(m_failures);
        m_failures.clear();
        for (const auto &failure : failures) {
            failure();
        }
    }

private:
    LogService &m_log;
    std::vector<std::function<void()>> m_failures;
};

} // namespace Heatherridge
