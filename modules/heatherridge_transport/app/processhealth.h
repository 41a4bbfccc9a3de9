#pragma once

#include <chrono>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** Logs that a handler of an event loop has thrown @p exception, and counts it. Thread-safe. */
void reportHandlerFailure(const std::exception &exception);

/** Runs @p task. An exception is reported as a handler's failure and does not pass on. */
template<typename Task>
void reportingFailures(const Task &task)
{
    try {
        task();
    } catch (const std::exception &exception) {
        reportHandlerFailure(exception);
    }
}

/** Returns the number of handlers that have thrown. Thread-safe. */
std::uint64_t handlerFailures();

/** Returns the reason of the last handler that has thrown, at most @p maxBytes of it; empty if there is none.
 * Thread-safe. */
std::string lastHandlerFailure(std::size_t maxBytes);

/** Returns the largest resident memory of the process so far, in bytes, if the system tells. */
std::optional<std::uint64_t> peakProcessMemory();

/** Returns the number of open descriptors of the process, if the system tells. */
std::optional<std::uint64_t> openDescriptors();

/** Returns when the process started. */
std::chrono::system_clock::time_point processStart();

/**
 * Appends what the process uses, in the text exposition format: resident memory now and at its peak in bytes, open
 * descriptors, the time of its start and handlers that have thrown. Leaves out what the system does not tell.
 */
void writeProcessMetrics(std::string &exposition);

/**
 * Makes the process state why it ends when it ends by an exception or a fatal signal: one line on standard output and
 * one on standard error, written past the log's queue. The process then ends as it would have.
 * @param process its name, for the line
 */
void reportFatalEnds(std::string_view process);

/** Gives the calling thread a stack of its own for fatal signals: its ordinary one may be exhausted. Call once. */
void useSignalStack();

} // namespace Heatherridge
