#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Name of one stream of the platform's log; each has offsets of its own. */
using StreamName = Name<struct StreamTag>;

/** The stream to which operators publish and in which roles are claimed; every process follows it. */
inline const StreamName ControlStream{"control"};

/** One record as the log keeps it. */
struct LogRecord
{
    LogOffset offset{};
    WallTime appended{}; ///< when the log took it, by the log's clock; for people only
    Bytes payload{};

    bool operator==(const LogRecord &) const = default;
};

/** Records read in one go. */
struct LogPage
{
    std::vector<LogRecord> records{}; ///< in offset order, without gaps
    LogOffset first{}; ///< the oldest offset still kept; 1 when nothing has expired
    LogOffset last{}; ///< the newest offset in the stream; 0 when it is empty
};

/**
 * The platform's append-only log, as this system uses it.
 *
 * Calls return at once; the answer comes later through the callback, on the thread that made the call, exactly once.
 * An error of kind PlatformUnavailable with ran Unknown means that an append may have taken effect.
 */
class LogService
{
public:
    using AppendDone = std::function<void(Result<LogOffset>)>;
    using ReadDone = std::function<void(Result<LogPage>)>;

    virtual ~LogService() = default;

    /** Appends @p payload to @p stream and reports its offset. */
    virtual void append(const StreamName &stream, Bytes payload, AppendDone done) = 0;

    /**
     * Reads records of @p stream from offset @p from on, at most @p maxRecords of them. When there is none yet, waits
     * up to
     * @p maxWait for one. Reading below the oldest offset kept yields an empty page whose `first` says where to go on.
     */
    virtual void read(const StreamName &stream, LogOffset from, std::size_t maxRecords,
                      std::chrono::milliseconds maxWait, ReadDone done) = 0;
};

} // namespace Heatherridge
