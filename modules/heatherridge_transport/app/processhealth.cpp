#include "heatherridge_transport/app/processhealth.h"

#include "heatherridge_transport/app/logger.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <typeinfo>

#include <execinfo.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

std::atomic<std::uint64_t> failureCount{0};
/** Longest reason that is kept of a handler's failure. */
constexpr std::size_t MaxKeptReasonBytes = 256;

/** The reason of the last handler that has thrown. Thread-safe. */
class LastFailure
{
public:
    void set(std::string_view reason)
    {
        const std::lock_guard lock(m_mutex);
        m_reason = reason.substr(0, MaxKeptReasonBytes);
    }

    std::string reason(std::size_t maxBytes) const
    {
        const std::lock_guard lock(m_mutex);
        return m_reason.substr(0, maxBytes);
    }

private:
    mutable std::mutex m_mutex;
    std::string m_reason;
};

LastFailure &lastFailure()
{
    static LastFailure failure;
    return failure;
}

/** Signals by which the system ends a process for a fault of its own. */
constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

/** Longest line about the end of the process. */
constexpr std::size_t MaxEndLineBytes = 512;
constexpr int MaxStackFrames = 32;
/** Stack on which fatal signals are handled: the ordinary one may be exhausted. */
constexpr std::size_t SignalStackBytes = 64UL << 10U;

/** Returns whether a short text can be written to @p descriptor without waiting for its reader. */
bool isWritable(int descriptor)
{
    pollfd entry{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&entry, 1, 0) > 0;
}

/** A line of text in fixed memory, to be composed in a signal handler. */
class FixedLine
{
public:
    FixedLine &operator<<(std::string_view text)
    {
        const auto size = std::min(text.size(), m_text.size() - m_size);
        std::memcpy(m_text.data() + m_size, text.data(), size);
        m_size += size;
        return *this;
    }

    FixedLine &operator<<(int number)
    {
        std::array<char, 12> digits{};
        std::size_t next = digits.size();
        auto rest = static_cast<unsigned>(std::abs(number));
        do {
            digits.at(--next) = static_cast<char>('0' + rest % 10);
            rest /= 10;
        } while (rest > 0);
        return *this << std::string_view(digits.data() + next, digits.size() - next);
    }

    /** Writes the line, unless nobody reads @p descriptor: the process has to end. */
    void write(int descriptor) const
    {
        if (!isWritable(descriptor)) {
            return;
        }
        const auto ignored = ::write(descriptor, m_text.data(), m_size); // nobody is left to be told
        static_cast<void>(ignored);
    }

private:
    std::array<char, MaxEndLineBytes> m_text{};
    std::size_t m_size = 0;
};

std::string &linePrefix()
{
    static std::string prefix;
    return prefix;
}

void writeToBothStreams(const FixedLine &line)
{
    line.write(STDOUT_FILENO);
    line.write(STDERR_FILENO);
}

void onFatalSignal(int signal)
{
    FixedLine line;
    line << linePrefix() << "event=fatal-signal signal=" << signal << "\n";
    writeToBothStreams(line);
    std::array<void *, MaxStackFrames> frames{};
    if (isWritable(STDERR_FILENO)) {
        backtrace_symbols_fd(frames.data(), backtrace(frames.data(), MaxStackFrames), STDERR_FILENO);
    }
    std::raise(signal); // the default action has been restored
}

[[noreturn]] void onTerminate()
{
    FixedLine line;
    line << linePrefix() << "event=uncaught-exception";
    try {
        if (const auto current = std::current_exception()) {
            std::rethrow_exception(current);
        }
    } catch (const std::exception &exception) {
        line << " type=" << typeid(exception).name() << " reason=\"" << exception.what() << "\"";
    } catch (...) {
        line << " type=unknown";
    }
    line << "\n";
    writeToBothStreams(line);
    std::abort();
}

void writeMetric(std::string &exposition, std::string_view name, std::string_view type, double value)
{
    exposition.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    exposition.append(name).append(" ").append(std::to_string(static_cast<long long>(value))).append("\n");
}

/** Seconds since the epoch at which the process loaded this module. */
const auto StartTime = std::chrono::system_clock::now();

} // namespace

void reportHandlerFailure(const std::exception &exception)
{
    lastFailure().set(exception.what());
    failureCount.fetch_add(1, std::memory_order_relaxed);
    logEvent(Severity::Error, "handler-failed",
             {{"type", std::string(typeid(exception).name())}, {"reason", std::string(exception.what())}});
}

std::uint64_t handlerFailures()
{
    return failureCount.load(std::memory_order_relaxed);
}

std::string lastHandlerFailure(std::size_t maxBytes)
{
    return lastFailure().reason(maxBytes);
}

std::optional<std::uint64_t> peakProcessMemory()
{
    constexpr std::uint64_t bytesPerKibibyte = 1024;
    rusage usage{};
    if (::getrusage(RUSAGE_SELF, &usage) != 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(usage.ru_maxrss) * bytesPerKibibyte;
}

std::optional<std::uint64_t> openDescriptors()
{
    // Since Linux 6.2 the size of the folder is their number; listing thousands of them takes milliseconds.
    struct stat folder
    {
    };
    if (::stat("/proc/self/fd", &folder) == 0 && folder.st_size > 0) {
        return static_cast<std::uint64_t>(folder.st_size);
    }
    std::error_code error;
    std::filesystem::directory_iterator descriptors("/proc/self/fd", error);
    std::uint64_t count = 0;
    while (!error && descriptors != std::filesystem::directory_iterator()) {
        ++count;
        descriptors.increment(error);
    }
    return error ? std::nullopt : std::optional(count);
}

std::chrono::system_clock::time_point processStart()
{
    return StartTime;
}

void writeProcessMetrics(std::string &exposition)
{
    if (const auto peak = peakProcessMemory()) {
        writeMetric(exposition, "heatherridge_process_peak_memory_bytes", "gauge", static_cast<double>(*peak));
    }
    long long totalPages = 0;
    long long residentPages = 0;
    if (std::ifstream("/proc/self/statm") >> totalPages >> residentPages) {
        writeMetric(exposition, "heatherridge_process_memory_bytes", "gauge",
                    static_cast<double>(residentPages * ::sysconf(_SC_PAGESIZE)));
    }
    if (const auto descriptors = openDescriptors()) {
        writeMetric(exposition, "heatherridge_process_open_descriptors", "gauge", static_cast<double>(*descriptors));
    }
    writeMetric(exposition, "heatherridge_process_start_seconds", "gauge",
                std::chrono::duration<double>(StartTime.time_since_epoch()).count());
    writeMetric(exposition, "heatherridge_handler_failures_total", "counter", static_cast<double>(handlerFailures()));
}

void useSignalStack()
{
    static thread_local std::array<std::byte, SignalStackBytes> memory;
    stack_t stack{};
    stack.ss_sp = memory.data();
    stack.ss_size = memory.size();
    ::sigaltstack(&stack, nullptr);
}

void reportFatalEnds(std::string_view process)
{
    linePrefix() = "level=error process=" + quotedLogValue(process) + " ";
    std::set_terminate(onTerminate);
    std::array<void *, 1> frames{};
    backtrace(frames.data(), 1); // loads the library that a handler must not load
    useSignalStack();
    struct sigaction action
    {
    };
    action.sa_handler = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
    sigemptyset(&action.sa_mask);
    for (const int signal : FatalSignals) {
        ::sigaction(signal, &action, nullptr);
    }
}

} // namespace Heatherridge
