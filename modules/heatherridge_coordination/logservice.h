#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** The name of a stream of the platform's log. Each stream has its own offsets. */
using StreamName = Name<struct StreamTag>;

/** The stream that operators publish to and roles are claimed in. Every process follows it. */
inline const StreamName ControlStream{"control"};

/** A record stored in the log. */
struct LogRecord
{
    LogOffset offset{};
    WallTime appended{}; ///< when the log stored it, by the log's clock; informational only
    Bytes payload{};

    bool operator==(const LogRecord &) const = default;
};

/** The result of one read. */
struct LogPage
{
    std::vector<LogRecord> records{}; ///< ordered by offset, without gaps
    LogOffset first{}; ///< the oldest retained offset; 1 if nothing has expired
    LogOffset last{}; ///< the newest offset in the stream; 0 if it is empty
};

/**
 * Interface to the platform's append-only log.
 *
 * Asynchronous: calls return immediately, and the callback is called exactly once, later, on the thread that made the
 * call. An error of kind PlatformUnavailable with `ran` Unknown means that an append may have taken effect.
 */
class LogService
{
public:
    using AppendDone = std::function<void(Result<LogOffset>)>;
    using ReadDone = std::function<void(Result<LogPage>)>;

    virtual ~LogService() = default;

    /** Appends @p payload to @p stream; @p done receives its offset. */
    virtual void append(const StreamName &stream, Bytes payload, AppendDone done) = 0;

    /**
     * Reads up to @p maxRecords records of @p stream, starting at offset @p from. If there are none yet, waits up to
     * @p maxWait for one. Reading below the oldest retained offset yields an empty page, whose `first` is the offset to
     * continue from.
     */
    virtual void read(const StreamName &stream, LogOffset from, std::size_t maxRecords,
                      std::chrono::milliseconds maxWait, ReadDone done) = 0;
};

} // namespace Heatherridge
