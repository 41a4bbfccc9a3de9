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

    bool isOut = false; ///< every call fails, without effect; an append says that it may have run
    int loseReplies = 0; ///< so many appends take effect and report a failure
    int dropAppends = 0; ///< so many appends have no effect and report that they may have run
    std::chrono::milliseconds delay{0}; ///< before each answer
    Counts counts;

    void append(const StreamName &stream, Bytes payload, AppendDone done) override
    {
        ++counts.appends;
        if (isOut || dropAppends > 0) {
            dropAppends -= isOut ? 0 : 1;
            later([done = std::move(done)] { done(failure()); });
            return;
        }
        const auto offset = put(stream, std::move(payload));
        if (loseReplies > 0) {
            --loseReplies;
            later([done = std::move(done)] { done(failure()); });
            return;
        }
        later([done = std::move(done), offset] { done(offset); });
    }

    void read(const StreamName &stream, LogOffset from, std::size_t most, std::chrono::milliseconds wait,
              ReadDone done) override
    {
        ++counts.reads;
        if (isOut) {
            later([done = std::move(done)] { done(failure()); });
            return;
        }
        m_reads.push_back({stream, from, most, m_now + wait, std::move(done)});
    }

    /** Appends a record at once, past any switch; @returns its offset. */
    LogOffset put(const StreamName &stream, Bytes payload)
    {
        auto &kept = m_streams[stream];
        kept.last = next(kept.last);
        kept.records.push_back({.offset = kept.last, .payload = std::move(payload)});
        return kept.last;
    }

    /** Forgets all records of @p stream below @p offset, as when their time is over. */
    void expireBelow(const StreamName &stream, LogOffset offset)
    {
        auto &kept = m_streams[stream];
        while (!kept.records.empty() && kept.records.front().offset < offset) {
            kept.records.pop_front();
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
            answer(read);
        }
        auto answers = std::move(m_answers);
        m_answers.clear();
        for (auto &[due, call] : answers) {
            if (due <= now) {
                call();
            } else {
                m_answers.emplace_back(due, std::move(call));
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
        std::size_t most;
        SteadyTime until;
        ReadDone done;
    };

    static Error failure()
    {
        return {.kind = ErrorKind::PlatformUnavailable, .ran = ExecutionStatus::Unknown};
    }

    void later(std::function<void()> call)
    {
        m_answers.emplace_back(m_now + delay, std::move(call));
    }

    void answer(PendingRead &read)
    {
        if (isOut) {
            later([done = std::move(read.done)] { done(failure()); });
            return;
        }
        const auto &kept = m_streams[read.stream];
        const auto first = kept.records.empty() ? next(kept.last) : kept.records.front().offset;
        if (read.from > kept.last && m_now < read.until) {
            m_reads.push_back(std::move(read));
            return;
        }
        LogPage page{.first = first, .last = kept.last};
        for (const auto &record : kept.records) {
            if (read.from >= first && record.offset >= read.from && page.records.size() < read.most) {
                page.records.push_back(record);
            }
        }
        later([done = std::move(read.done), page = std::move(page)] { done(page); });
    }

    SteadyTime m_now{};
    std::map<StreamName, Stream> m_streams;
    std::deque<PendingRead> m_reads;
    std::vector<std::pair<SteadyTime, std::function<void()>>> m_answers;
};

/** The way of one zone to the log, which can be cut while others reach it. One thread. */
class LogAccess final : public LogService
{
public:
    explicit LogAccess(LogService &log)
        : m_log(log)
    {
    }

    bool isCut = false;

    void append(const StreamName &stream, Bytes payload, AppendDone done) override
    {
        if (isCut) {
            m_failures.emplace_back([done = std::move(done)] { done(Error{.kind = ErrorKind::PlatformUnavailable}); });
        } else {
            m_log.append(stream, std::move(payload), std::move(done));
        }
    }

    void read(const StreamName &stream, LogOffset from, std::size_t most, std::chrono::milliseconds wait,
              ReadDone done) override
    {
        if (isCut) {
            m_failures.emplace_back([done = std::move(done)] { done(Error{.kind = ErrorKind::PlatformUnavailable}); });
        } else {
            m_log.read(stream, from, most, wait, std::move(done));
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
