#include "heatherridge_transport/app/logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
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

std::atomic<bool> ready{false};

std::string timeStamp()
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

std::string asKeyValue(std::string_view level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "time=" + timeStamp() + " level=" + std::string(level)
        + " process=" + quotedLogValue(options().process) + " event=" + std::string(event);
    for (const auto &[key, value] : fields) {
        line += " " + std::string(key) + "=" + quotedLogValue(value);
    }
    return line;
}

std::string asJson(std::string_view level, std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line{
        {"time", timeStamp()}, {"level", level}, {"process", options().process}, {"event", event}};
    for (const auto &[key, value] : fields) {
        line[std::string(key)] = value;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void setUpLogger(const LoggerOptions &newOptions)
{
    namespace sinks = boost::log::sinks;
    options() = newOptions;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(
        boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
    ready = true;
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!ready || severity < options().lowest) {
        return;
    }
    const auto level = LevelNames.at(static_cast<std::size_t>(severity));
    const auto line =
        options().format == LogFormat::Json ? asJson(level, event, fields) : asKeyValue(level, event, fields);
    static boost::log::sources::logger_mt source;
    BOOST_LOG(source) << line;
}

std::string quotedLogValue(std::string_view text)
{
    constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,%";
    if (!text.empty() && text.find_first_not_of(plain) == std::string_view::npos) {
        return std::string(text);
    }
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            quoted.push_back('\\');
        }
        // A line break in a caller's text must not look like a line of its own.
        quoted.push_back(static_cast<unsigned char>(character) < ' ' ? ' ' : character);
    }
    return quoted + "\"";
}

} // namespace Heatherridge
