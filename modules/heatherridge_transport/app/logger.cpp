#include "heatherridge_transport/app/logger.h"

#include "heatherridge_transport/app/logratelimiter.h"
#include "heatherridge_transport/app/standardoutput.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>
#include <mutex>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning", "error"};

LoggerOptions &options()
{
    static LoggerOptions current;
    return current;
}

std::atomic<bool> isSetUp{false};
std::atomic<std::uint64_t> droppedLineCount{0};

/** Capacity of the writer thread's queue: two seconds of a busy gateway's lines, at about 300 bytes each. */
constexpr std::size_t MaxQueuedLines = 512;

/** Longest value of a field that is logged whole. */
constexpr std::size_t MaxLogValueBytes = 1024;

/** Overflow strategy of the queue: drops the newest line and counts it. */
class DropNewestAndCount
{
public:
    template<typename Lock>
    // NOLINTNEXTLINE(readability-identifier-naming): name required by Boost.Log
    static bool on_overflow(const boost::log::record_view &, Lock &)
    {
        droppedLineCount.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    // NOLINTNEXTLINE(readability-identifier-naming): as above
    static void on_queue_space_available()
    {
    }

    static void interrupt()
    {
    }
};

/** How long lines that nobody reads delay the end of the process; it exits shortly before its grace period ends. */
constexpr std::chrono::milliseconds StopPatience{30};

/** When the writer gives up lines that nobody reads. */
std::atomic<std::chrono::steady_clock::time_point> givesUpAt{std::chrono::steady_clock::time_point::max()};

/** Writes lines to standard output. */
class StandardOutputBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    static void consume(const boost::log::record_view &, const std::string &line)
    {
        if (!writeToStandardOutput(line + "\n", [] { return std::chrono::steady_clock::now() >= givesUpAt.load(); })) {
            droppedLineCount.fetch_add(1, std::memory_order_relaxed);
        }
    }
};

using QueuedSink =
    boost::log::sinks::asynchronous_sink<StandardOutputBackend,
                                         boost::log::sinks::bounded_fifo_queue<MaxQueuedLines, DropNewestAndCount>>;

boost::shared_ptr<QueuedSink> &queuedSink()
{
    static boost::shared_ptr<QueuedSink> sink;
    return sink;
}

/** Applies the rate limit of @p event; serialises access to the limiter. */
LogRateLimiter::Decision admitLine(std::string_view event)
{
    static std::mutex mutex;
    static LogRateLimiter limiter;
    const std::lock_guard lock(mutex);
    return limiter.admit(event, std::chrono::steady_clock::now());
}

void writeLine(std::string_view level, std::string_view event, std::initializer_list<LogField> fields);

std::string currentTimestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(1000 + milliseconds);
    fraction[0] = '.';
    return std::string(text.data(), length) + fraction + "Z";
}

/** Returns the beginning of @p value that is logged. A caller chooses some of the values, such as its request's id. */
std::string boundedLogValue(std::string_view value)
{
    constexpr std::string_view mark = "...";
    return value.size() <= MaxLogValueBytes ? std::string(value)
                                            : std::string(value.substr(0, MaxLogValueBytes)).append(mark);
}

std::string formatKeyValue(std::string_view level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "time=" + currentTimestamp() + " level=" + std::string(level)
        + " process=" + quotedLogValue(options().process) + " event=" + std::string(event);
    for (const auto &[key, value] : fields) {
        line += " " + std::string(key) + "=" + quotedLogValue(boundedLogValue(value));
    }
    return line;
}

std::string formatJson(std::string_view level, std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line{
        {"time", currentTimestamp()}, {"level", level}, {"process", options().process}, {"event", event}};
    for (const auto &[key, value] : fields) {
        line[std::string(key)] = boundedLogValue(value);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void writeLine(std::string_view level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto line =
        options().format == LogFormat::Json ? formatJson(level, event, fields) : formatKeyValue(level, event, fields);
    static boost::log::sources::logger_mt source;
    BOOST_LOG(source) << line;
}

} // namespace

void setUpLogger(const LoggerOptions &newOptions)
{
    namespace sinks = boost::log::sinks;
    options() = newOptions;
    if (newOptions.stream == LogStream::StandardOutput) {
        queuedSink() = boost::make_shared<QueuedSink>();
        boost::log::core::get()->add_sink(queuedSink());
    } else {
        const auto backend = boost::make_shared<sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
        backend->auto_flush(true);
        boost::log::core::get()->add_sink(
            boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
    }
    isSetUp = true;
}

void stopLogger()
{
    if (const auto sink = std::exchange(queuedSink(), nullptr)) {
        boost::log::core::get()->remove_sink(sink);
        givesUpAt = std::chrono::steady_clock::now() + StopPatience;
        sink->stop();
        sink->flush();
    }
}

std::uint64_t droppedLogLines()
{
    return droppedLineCount.load(std::memory_order_relaxed);
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!isSetUp || severity < options().minimumSeverity) {
        return;
    }
    const auto decision = admitLine(event);
    if (decision.suppressedLines > 0) {
        writeLine(LevelNames.at(static_cast<std::size_t>(Severity::Warning)), "lines-left-out",
                  {{"of", std::string(event)}, {"count", std::to_string(decision.suppressedLines)}});
    }
    if (decision.shouldWrite) {
        writeLine(LevelNames.at(static_cast<std::size_t>(severity)), event, fields);
    }
}

std::string quotedLogValue(std::string_view text)
{
    constexpr std::string_view unquotedCharacters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,%";
    if (!text.empty() && text.find_first_not_of(unquotedCharacters) == std::string_view::npos) {
        return std::string(text);
    }
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            quoted.push_back('\\');
        }
        // Control characters become spaces: a line break in a caller's text must not start a new log line.
        quoted.push_back(static_cast<unsigned char>(character) < ' ' ? ' ' : character);
    }
    return quoted + "\"";
}

} // namespace Heatherridge
