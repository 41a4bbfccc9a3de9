#include "daemonprocess.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds PollPeriod{2};
/** Sanitizers and busy machines slow a start down. */
constexpr std::chrono::seconds ReadyTimeout{20};
constexpr std::chrono::seconds EndTimeout{20};

} // namespace

DaemonProcess::DaemonProcess(const std::string &program, std::string name, std::string settings,
                             const std::filesystem::path &folder)
    : m_program(std::string(HEATHERRIDGE_BIN_DIR) + "/" + program)
    , m_name(std::move(name))
    , m_settings(std::move(settings))
    , m_settingsFile(folder / (m_name + ".ini"))
    , m_outputFile(folder / (m_name + ".log"))
{
    rewriteSettings(true);
}

DaemonProcess::~DaemonProcess()
{
    if (m_processId > 0) {
        signal(SIGKILL);
        wait();
    }
}

const std::string &DaemonProcess::name() const
{
    return m_name;
}

void DaemonProcess::start()
{
    const int output = ::open(m_outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    const std::string file = m_settingsFile.string();
    char *words[] = {m_program.data(), const_cast<char *>("--config"), const_cast<char *>(file.c_str()), nullptr};
    m_processId = ::fork();
    if (m_processId == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(m_program.c_str(), words);
        ::_exit(127);
    }
    ::close(output);
}

bool DaemonProcess::waitUntilReady() const
{
    const auto end = std::chrono::steady_clock::now() + ReadyTimeout;
    while (isRunning() && std::chrono::steady_clock::now() < end) {
        if (output().find("ready ") != std::string::npos) {
            return true;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return false;
}

void DaemonProcess::signal(int signal) const
{
    ::kill(m_processId, signal);
}

void DaemonProcess::rewriteSettings(bool isWhole) const
{
    std::ofstream(m_settingsFile) << m_settings.substr(0, isWhole ? m_settings.size() : m_settings.size() / 2);
}

int DaemonProcess::wait()
{
    const auto end = std::chrono::steady_clock::now() + EndTimeout;
    int status = 0;
    while (::waitpid(m_processId, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > end) {
            signal(SIGKILL);
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    m_processId = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool DaemonProcess::isRunning() const
{
    siginfo_t info{};
    return m_processId > 0 && ::waitid(P_PID, static_cast<id_t>(m_processId), &info, WEXITED | WNOHANG | WNOWAIT) == 0
        && info.si_pid == 0;
}

std::string DaemonProcess::output() const
{
    std::ostringstream text;
    text << std::ifstream(m_outputFile).rdbuf();
    return text.str();
}

} // namespace Heatherridge
