#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/app/processhealth.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <new>
#include <stdexcept>
#include <string>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct ExceptionCase
{
    const char *name;
    void (*raise)();
};

const ExceptionCase ExceptionCases[] = {
    {"SystemError", [] { throw std::system_error(EEXIST, std::generic_category(), "assign"); }},
    {"OutOfMemory", [] { throw std::bad_alloc(); }},
    {"OutOfRange", [] { throw std::out_of_range("at"); }},
};

std::string exceptionCaseName(const testing::TestParamInfo<ExceptionCase> &info)
{
    return info.param.name;
}

class HandlersThatThrow : public testing::TestWithParam<ExceptionCase>
{
};

// Guards against a process that ends with all its requests because one handler throws.
TEST_P(HandlersThatThrow, LeaveTheLoopRunning)
{
    EventLoop loop;
    loop.start();
    const auto before = handlerFailures();
    loop.post([] { GetParam().raise(); });
    std::promise<void> reached;
    loop.post([&reached] { reached.set_value(); });
    EXPECT_EQ(reached.get_future().wait_for(10s), std::future_status::ready);
    EXPECT_EQ(handlerFailures(), before + 1);
}

// Guards against periodic work that stops for good after one failure.
TEST_P(HandlersThatThrow, LeavePeriodicTasksScheduled)
{
    EventLoop loop;
    loop.start();
    std::promise<void> repeated;
    loop.every(1ms, [&repeated, runs = 0]() mutable {
        if (++runs == 2) {
            repeated.set_value();
        }
        GetParam().raise();
    });
    EXPECT_EQ(repeated.get_future().wait_for(10s), std::future_status::ready);
}

// Guards against a stop that waits for ever for a task that has thrown.
TEST_P(HandlersThatThrow, ReachWhoWaitsForThem)
{
    EventLoop loop;
    loop.start();
    EXPECT_ANY_THROW(loop.runAndWait([] { GetParam().raise(); }));
}

INSTANTIATE_TEST_SUITE_P(All, HandlersThatThrow, testing::ValuesIn(ExceptionCases), exceptionCaseName);

struct EndCase
{
    const char *name;
    void (*end)();
    int signal;
    const char *line;
};

/** Replaces both output streams by a pipe that is full and that nobody reads. */
void blockOutput()
{
    int ends[2] = {-1, -1};
    ASSERT_EQ(::pipe2(ends, O_NONBLOCK), 0);
    const std::string filling(4096, 'x');
    while (::write(ends[1], filling.data(), filling.size()) > 0) {
    }
    ASSERT_EQ(::fcntl(ends[1], F_SETFL, 0), 0);
    ::dup2(ends[1], STDOUT_FILENO);
    ::dup2(ends[1], STDERR_FILENO);
}

const EndCase EndCases[] = {
    {"Exception", [] { std::terminate(); }, SIGABRT, "process=p event=uncaught-exception"},
    {"ExceptionOfAThread", [] { std::thread([] { throw std::runtime_error("told"); }).join(); }, SIGABRT,
     "event=uncaught-exception type=.*runtime_error reason=\"told\""},
    {"InvalidAddress", [] { std::raise(SIGSEGV); }, SIGSEGV, "process=p event=fatal-signal signal=11"},
    {"NobodyReads",
     [] {
         blockOutput();
         std::raise(SIGSEGV);
     },
     SIGSEGV, ""},
    {"FailedAssertion", [] { std::abort(); }, SIGABRT, "process=p event=fatal-signal signal=6"},
};

class FatalEnds : public testing::TestWithParam<EndCase>
{
};

// Guards against a process that ends without a line that says why.
TEST_P(FatalEnds, AreStated)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    const auto endProcess = [] {
        reportFatalEnds("p");
        GetParam().end();
    };
    EXPECT_EXIT(endProcess(), testing::KilledBySignal(GetParam().signal), GetParam().line);
}

INSTANTIATE_TEST_SUITE_P(All, FatalEnds, testing::ValuesIn(EndCases),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an operator who cannot tell an end for lack of memory or descriptors from others.
TEST(ProcessMetrics, StateWhatTheProcessUses)
{
    const auto text = Metrics().exposition();
    for (const auto *name : {"heatherridge_process_memory_bytes", "heatherridge_process_peak_memory_bytes",
                             "heatherridge_process_open_descriptors", "heatherridge_process_start_seconds",
                             "heatherridge_handler_failures_total"}) {
        EXPECT_NE(text.find(std::string("\n") + name + " "), std::string::npos) << text;
    }
}

} // namespace
