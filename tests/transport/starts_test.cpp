#include "support/childprocess.h"
#include "support/httpcalls.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** A listening socket on an address that no other test uses. */
class HeldPort
{
public:
    HeldPort()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, Address, &address.sin_addr);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof address;
        const bool isListening = ::bind(m_socket, generic, size) == 0 && ::listen(m_socket, 1) == 0
            && ::getsockname(m_socket, generic, &size) == 0;
        EXPECT_TRUE(isListening);
        m_port = ntohs(address.sin_port);
    }

    ~HeldPort()
    {
        release();
    }

    HeldPort(const HeldPort &) = delete;
    HeldPort &operator=(const HeldPort &) = delete;

    void release()
    {
        if (m_socket >= 0) {
            ::close(std::exchange(m_socket, -1));
        }
    }

    Endpoint endpoint() const
    {
        return {.address = Address, .port = m_port};
    }

private:
    static constexpr const char *Address = "127.0.71.1";

    int m_socket;
    int m_port = 0;
};

using Flags = std::vector<std::string>;

/** A program with the flags that it needs besides the common ones and @p address, which is taken. */
struct ProgramCase
{
    const char *program;
    Flags flags;
    const char *address;
};

const Flags Common{"--name=p", "--zone=z", "--log-service=127.0.0.1:1", "--log-stream=standard-output"};
const Flags GatewayFlags{"--listen=127.0.0.1:0", "--ready-listen=127.0.0.1:0", "--ready-path=/ready"};

const ProgramCase Programs[] = {
    {"heatherridge-gateway", {"--ready-listen=127.0.0.1:0", "--ready-path=/ready"}, "listen"},
    {"heatherridge-gateway", {"--listen=127.0.0.1:0", "--ready-path=/ready"}, "ready-listen"},
    {"heatherridge-sidecar", {"--engine=127.0.0.1:1"}, "listen"},
    {"heatherridge-entry", {}, "listen"},
    {"heatherridge-target", {"--admin=127.0.0.1:0"}, "listen"},
    {"heatherridge-target", {"--listen=127.0.0.1:0"}, "admin"},
};

Flags withCommonFlags(const Flags &flags)
{
    auto all = Common;
    all.insert(all.end(), flags.begin(), flags.end());
    return all;
}

Flags flagsOf(const ProgramCase &row, const Endpoint &address)
{
    auto flags = withCommonFlags(row.flags);
    flags.push_back("--" + std::string(row.address) + "=" + toString(address));
    return flags;
}

std::string programCaseName(const testing::TestParamInfo<ProgramCase> &info)
{
    std::string name = std::string(info.param.program) + "_" + info.param.address;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

class StartsWithTakenPort : public testing::TestWithParam<ProgramCase>
{
};

// Guards against a process that exits because the one before it still holds its port.
TEST_P(StartsWithTakenPort, SucceedOnceItIsFree)
{
    HeldPort held;
    const auto released = std::async(std::launch::async, [&held] {
        std::this_thread::sleep_for(1s);
        held.release();
    });
    ChildProcess process(GetParam().program, flagsOf(GetParam(), held.endpoint()));
    ASSERT_FALSE(process.endpoints().empty());
    process.signal(SIGTERM);
    const auto output = process.output();
    EXPECT_EQ(process.wait(), 0);
    EXPECT_NE(output.find("event=start-delayed"), std::string::npos) << output;
}

/** Starts @p program with the standard output @p output and does not wait for it. */
pid_t spawn(const std::string &program, const Flags &flags, int output = STDOUT_FILENO)
{
    const std::string path = std::string(HEATHERRIDGE_BIN_DIR) + "/" + program;
    std::vector<char *> words{const_cast<char *>(path.c_str())};
    std::transform(flags.begin(), flags.end(), std::back_inserter(words),
                   [](const auto &flag) { return const_cast<char *>(flag.c_str()); });
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    pid_t process = 0;
    const int error = ::posix_spawn(&process, path.c_str(), &actions, nullptr, words.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    return error == 0 ? process : 0;
}

// Guards against a process that cannot be stopped, or ends as failed, while it waits for its port.
TEST_P(StartsWithTakenPort, EndInOrderAtAStopSignal)
{
    const HeldPort held;
    const auto process = spawn(GetParam().program, flagsOf(GetParam(), held.endpoint()));
    ASSERT_NE(process, 0);
    std::this_thread::sleep_for(1s);
    ::kill(process, SIGTERM);
    int status = 0;
    ::waitpid(process, &status, 0);
    ASSERT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

INSTANTIATE_TEST_SUITE_P(All, StartsWithTakenPort, testing::ValuesIn(Programs), programCaseName);

// Guards against a gateway that serves nobody because another program has its port for metrics.
TEST(StartsWithTakenMetricsPort, ServeCallersAndMetricsOnceItIsFree)
{
    HeldPort held;
    auto flags = withCommonFlags(GatewayFlags);
    flags.push_back("--metrics-listen=" + toString(held.endpoint()));
    ChildProcess gateway("heatherridge-gateway", flags);
    ASSERT_FALSE(gateway.endpoints().empty());
    EXPECT_EQ(call(gateway.endpoints().front(), "GET", "/").status, 503);
    held.release();
    HttpCallResult metrics;
    for (int attempt = 0; attempt < 100 && metrics.status == 0; ++attempt) {
        std::this_thread::sleep_for(100ms);
        metrics = call(held.endpoint(), "GET", "/metrics");
    }
    EXPECT_EQ(metrics.status, 200);
    EXPECT_NE(metrics.body.find("heatherridge_metrics_unavailable 0"), std::string::npos);
}

/** A settings file with a required part and, in a row, further lines. */
struct FileCase
{
    const char *name;
    const char *program;
    const char *lines; ///< besides the required ones
    const char *expectedEvent; ///< in its log; empty: none
};

const FileCase FileCases[] = {
    {"MemoryOfAGatewayAsAFraction", "heatherridge-gateway", "memory-mb = 260.0\n", ""},
    {"MemoryOfAGatewayWithAFraction", "heatherridge-gateway", "memory-mb = 260.5\n", ""},
    {"TimeAsAFraction", "heatherridge-gateway", "withdrawal = 2000.0\n", ""},
    {"TimeWithAFraction", "heatherridge-gateway", "config-time = 2000.5\n", ""},
    {"CountAsAFraction", "heatherridge-gateway", "log-partitions = 12.0\nmax-descriptors = 4200.0\n", ""},
    {"MemoryOfASidecarAsAFraction", "heatherridge-sidecar", "memory-mb = 128.0\n", ""},
    {"SettingOfALaterVersion", "heatherridge-gateway", "colour = red\n", "event=setting-ignored key=colour"},
    {"SettingOfALaterVersionOfASidecar", "heatherridge-sidecar", "colour = red\n", "event=setting-ignored key=colour"},
};

std::string requiredLines(const std::string &program)
{
    const std::string common = "name = p\nzone = z\nlog-service = 127.0.0.1:1\nlog-stream = standard-output\n"
                               "listen = 127.0.0.1:0\n";
    return program == "heatherridge-gateway"
        ? "[gateway]\n" + common + "ready-listen = 127.0.0.1:0\nready-path = /ready\n"
        : "[sidecar]\n" + common + "engine = 127.0.0.1:1\n";
}

/** A file that is removed at the end of the test. */
class TemporaryFile
{
public:
    TemporaryFile()
        : m_path(std::filesystem::temp_directory_path() / ("starts-" + std::to_string(::getpid()) + ".ini"))
    {
    }

    ~TemporaryFile()
    {
        std::filesystem::remove(m_path);
    }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    void write(const std::string &text) const
    {
        std::ofstream(m_path) << text;
    }

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

class StartsWithSettingsFile : public testing::TestWithParam<FileCase>
{
};

// Guards against a process that a platform's way of writing numbers, or a newer template, keeps from starting.
TEST_P(StartsWithSettingsFile, Succeed)
{
    const TemporaryFile file;
    file.write(requiredLines(GetParam().program) + GetParam().lines);
    ChildProcess process(GetParam().program, {"--config", file.path()});
    ASSERT_FALSE(process.endpoints().empty());
    process.signal(SIGTERM);
    const auto output = process.output();
    EXPECT_EQ(process.wait(), 0);
    EXPECT_NE(output.find(GetParam().expectedEvent), std::string::npos) << output;
}

INSTANTIATE_TEST_SUITE_P(All, StartsWithSettingsFile, testing::ValuesIn(FileCases),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a process that exits because its settings file is just being written.
TEST(StartsWithIncompleteFile, SucceedOnceItIsComplete)
{
    const TemporaryFile file;
    const auto text = requiredLines("heatherridge-gateway");
    file.write(text.substr(0, text.size() / 2));
    const auto completed = std::async(std::launch::async, [&] {
        std::this_thread::sleep_for(500ms);
        file.write(text);
    });
    const ChildProcess gateway("heatherridge-gateway", {"--config", file.path()});
    EXPECT_FALSE(gateway.endpoints().empty());
}

// Guards against a process that keeps to an address that the operator has corrected meanwhile.
TEST(StartsWithTakenPortInFile, FollowChangesOfTheSettings)
{
    const HeldPort held;
    const TemporaryFile file;
    const auto text = requiredLines("heatherridge-sidecar");
    const std::string freePort = "listen = 127.0.0.1:0";
    auto taken = text;
    taken.replace(taken.find(freePort), freePort.size(), "listen = " + toString(held.endpoint()));
    file.write(taken);
    const auto corrected = std::async(std::launch::async, [&] {
        std::this_thread::sleep_for(1s);
        file.write(text);
    });
    const ChildProcess sidecar("heatherridge-sidecar", {"--config", file.path()});
    EXPECT_FALSE(sidecar.endpoints().empty());
}

// Guards against a process with invalid settings that neither serves nor ends.
TEST(StartsWithIncompleteFile, FailIfItStaysSo)
{
    const TemporaryFile file;
    file.write("[gateway]\nname = p\n");
    EXPECT_EQ(runProgram("heatherridge-gateway", {"--config", file.path()}).exitCode, 2);
}

/** Standard output that nobody reads, and from which side of the ready line on. */
struct UnreadCase
{
    const char *name;
    bool isFullAtStart;
};

const UnreadCase UnreadCases[] = {{"FromTheStart", true}, {"LaterOn", false}};

class UnreadOutput : public testing::TestWithParam<UnreadCase>
{
};

// Guards against a process that has to be killed because nobody reads its standard output.
TEST_P(UnreadOutput, LeavesTheProcessAbleToStop)
{
    constexpr int bufferBytes = 4096;
    int ends[2] = {-1, -1};
    ASSERT_EQ(::pipe2(ends, O_CLOEXEC), 0);
    ASSERT_GE(::fcntl(ends[1], F_SETPIPE_SZ, bufferBytes), bufferBytes);
    // The rest takes the ready line and the first log lines, but no further ones.
    const std::string filling(static_cast<std::size_t>(bufferBytes) - (GetParam().isFullAtStart ? 0 : 200), 'x');
    ASSERT_EQ(::write(ends[1], filling.data(), filling.size()), static_cast<ssize_t>(filling.size()));
    auto flags = withCommonFlags(GatewayFlags);
    flags.push_back("--grace=2");
    const auto process = spawn("heatherridge-gateway", flags, ends[1]);
    ASSERT_NE(process, 0);
    std::this_thread::sleep_for(2s);
    ::kill(process, SIGTERM);
    int status = 0;
    bool hasEnded = false;
    for (int attempt = 0; attempt < 50 && !hasEnded; ++attempt) {
        std::this_thread::sleep_for(100ms);
        hasEnded = ::waitpid(process, &status, WNOHANG) == process;
    }
    if (!hasEnded) {
        ::kill(process, SIGKILL);
        ::waitpid(process, &status, 0);
    }
    ::close(ends[0]);
    ::close(ends[1]);
    EXPECT_TRUE(hasEnded && WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
}

INSTANTIATE_TEST_SUITE_P(All, UnreadOutput, testing::ValuesIn(UnreadCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
