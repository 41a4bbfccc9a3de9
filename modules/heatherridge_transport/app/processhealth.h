#pragma once

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** Logs that a handler of an event loop has thrown @p exception, and counts it. Thread-safe. */
void reportHandlerFailure(const std::exception &exception);

/** Returns the number of handlers that have thrown. Thread-safe. */
std::uint64_t handlerFailures();

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

} // namespace Heatherridge
