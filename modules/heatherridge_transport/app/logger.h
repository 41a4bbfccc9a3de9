#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Heatherridge
{

/** Severity of a log entry. */
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/** Format of the log lines. */
enum class LogFormat {
    KeyValue, ///< time=... level=... event=... key=value
    Json, ///< one JSON object per line
};

/** Stream that the log is written to. */
enum class LogStream {
    StandardError, ///< written synchronously, before the call returns
    StandardOutput, ///< written by a background thread; lines are dropped and counted when the reader is too slow
};

/** Options of the process's log. */
struct LoggerOptions
{
    std::string process{}; ///< name of this process, included in every line
    LogFormat format = LogFormat::KeyValue;
    Severity minimumSeverity = Severity::Info;
    LogStream stream = LogStream::StandardError;
};

/** One field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Sets up the process's log. Call once, before any threads are started. */
void setUpLogger(const LoggerOptions &options);

/** Flushes the queued lines and stops the log. Call at process exit, after all other logging. */
void stopLogger();

/** Returns the number of lines dropped because the reader of standard output was too slow. */
std::uint64_t droppedLogLines();

/**
 * Writes one structured line, subject to its event's rate limit (see LogRateLimiter). May be called from any thread;
 * never blocks on a reader of standard output.
 * @param event stable event name, in lower case with dashes
 * @param fields details of the event; "request" holds the request id, which is the same in all processes
 */
void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

/** Returns @p text as the value of a key=value pair, in quotes if it contains characters that need them. */
std::string quotedLogValue(std::string_view text);

} // namespace Heatherridge
