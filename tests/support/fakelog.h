#pragma once

#include "heatherridge_coordination/logservice.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

namespace Heatherridge
{

/** Counts of the calls that a FakeLog has been given. */
struct FakeLogCounts
{
    int appends = 0;
    int reads = 0;
};

/**
 * The platform's log in memory, on virtual time, with switches for its failures.
 *
 * Nothing is answered from within a call: run() answers what is due. One thread.
 */
class FakeLog final : public LogService
{
public:
    using Counts = FakeLogCounts;

    bool isUnavailable = false; ///< every call fails, without effect; an append says that it may have run
    int repliesToLose = 0; ///< so many appends take effect and report a failure
    int appendsToDrop = 0; ///< so many appends have no effect and report that they may have run
    std::chrono::milliseconds delay{0}; ///< before each answer
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

    /** Appends a record at once, past any switch; @returns its offset. */
    LogOffset put(const StreamName &stream, Bytes payload)
    {
        auto &stored = m_streams[stream];
        stored.last = next(stored.last);
        stored.records.push_back({.offset = stored.last, .payload = std::move(payload)});
        return stored.last;
    }

    /** Forgets all records of @p stream below @p offset, as when their time is over. */
    void expireBelow(const StreamName &stream, LogOffset offset)
    {
        auto &stored = m_streams[stream];
        while (!stored.records.empty() && stored.records.front().offset < offset) {
            stored.records.pop_front();
        }
    }

    /** The record of @p stream at @p offset, to damage it; it must be kept. */
    Bytes &payloadAt(const StreamName &stream, LogOffset offset)
    {
        auto &records = m_streams[stream].records;
        return records.at(toNumber(offset) - toNumber(records.front().offset)).payload;
    }

    /** The newest offset of @p stream. */
    LogOffset last(const StreamName &stream)
    {
        return m_streams[stream].last;
    }

    /** Answers all that is due at @p now. */
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

/** The way of one zone to the log, which can be cut while others reach it. One thread. */
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

    /** Reports the calls that failed. */
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
