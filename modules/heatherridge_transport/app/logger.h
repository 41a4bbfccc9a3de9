#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Heatherridge
{

/** How much an entry of the log matters. */
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/** The form of the log. */
enum class LogFormat {
    KeyValue, ///< time=... level=... event=... key=value
    Json, ///< one JSON map a line
};

/** Where the log goes. */
enum class LogStream {
    StandardError, ///< written before the caller goes on
    StandardOutput, ///< written by a thread of its own; lines are dropped and counted when the reader is too slow
};

/** How the log is written. */
struct LoggerOptions
{
    std::string process{}; ///< name of this process, in every line
    LogFormat format = LogFormat::KeyValue;
    Severity minimumSeverity = Severity::Info;
    LogStream stream = LogStream::StandardError;
};

/** One field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Sets up the process's log. Call once, before threads start. */
void setUpLogger(const LoggerOptions &options);

/** Writes what is still queued. Call last. */
void stopLogger();

/** Lines that were dropped because the reader of standard output was too slow. */
std::uint64_t droppedLogLines();

/**
 * Writes one structured line, within the event's LogRateLimiter. Any thread; never waits for a reader of standard
 * output.
 * @param event stable name of what happened, in lower case with dashes
 * @param fields what belongs to it; "request" holds the request id, the same in all processes
 */
void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

/** @p text as a value of key=value: quoted, when it holds more than plain characters. */
std::string quotedLogValue(std::string_view text);

} // namespace Heatherridge
