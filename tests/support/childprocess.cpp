#include "support/childprocess.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

constexpr int ExecFailed = 127;

std::vector<Endpoint> parseEndpoints(const std::string &readyLine)
{
    std::vector<Endpoint> endpoints;
    std::istringstream words(readyLine);
    std::string word;
    while (words >> word) {
        if (const auto endpoint = parseEndpoint(word)) {
            endpoints.push_back(*endpoint);
        }
    }
    return endpoints;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
    : ChildProcess(program, arguments, 0)
{
}

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           std::size_t maxDescriptors)
{
    const std::string path = std::string(HEATHERRIDGE_BIN_DIR) + "/" + program;
    std::vector<char *> words{const_cast<char *>(path.c_str())};
    for (const auto &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    int pipeEnds[2] = {-1, -1};
    if (::pipe2(pipeEnds, O_CLOEXEC) != 0) {
        return;
    }
    m_processId = ::fork();
    if (m_processId == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(pipeEnds[1], STDOUT_FILENO);
        if (maxDescriptors > 0) {
            const rlimit limit{.rlim_cur = maxDescriptors, .rlim_max = maxDescriptors};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::execv(path.c_str(), words.data());
        ::_exit(ExecFailed);
    }
    ::close(pipeEnds[1]);
    m_outputDescriptor = pipeEnds[0];
    for (auto line = readLine(); !line.empty(); line = readLine()) {
        if (line.rfind("ready ", 0) == 0) {
            m_endpoints = parseEndpoints(line);
            break;
        }
        m_linesBeforeReady += line;
    }
}

ChildProcess::~ChildProcess()
{
    kill();
    if (m_outputDescriptor >= 0) {
        ::close(m_outputDescriptor);
    }
}

const std::vector<Endpoint> &ChildProcess::endpoints() const
{
    return m_endpoints;
}

void ChildProcess::kill()
{
    if (m_processId > 0) {
        signal(SIGKILL);
        wait();
    }
}

void ChildProcess::signal(int signal) const
{
    if (m_processId > 0) {
        ::kill(m_processId, signal);
    }
}

bool ChildProcess::isRunning() const
{
    siginfo_t info{};
    return m_processId > 0 && ::waitid(P_PID, static_cast<id_t>(m_processId), &info, WEXITED | WNOHANG | WNOWAIT) == 0
        && info.si_pid == 0;
}

std::size_t ChildProcess::peakMemory() const
{
    constexpr std::string_view label = "VmHWM:";
    constexpr std::size_t bytesPerKibibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_processId) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(label, 0) == 0) {
            return std::stoul(line.substr(label.size())) * bytesPerKibibyte;
        }
    }
    return 0;
}

std::size_t ChildProcess::descriptorCount() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_processId) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

int ChildProcess::wait()
{
    int status = 0;
    ::waitpid(m_processId, &status, 0);
    m_processId = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string ChildProcess::output()
{
    auto text = m_linesBeforeReady;
    char buffer[4096];
    for (ssize_t byteCount = 0; (byteCount = ::read(m_outputDescriptor, buffer, sizeof buffer)) > 0;) {
        text.append(buffer, static_cast<std::size_t>(byteCount));
    }
    return text;
}

std::string ChildProcess::readLine() const
{
    std::string line;
    for (char character = 0; ::read(m_outputDescriptor, &character, 1) == 1;) {
        line += character;
        if (character == '\n') {
            break;
        }
    }
    return line;
}

ProgramRun runProgram(const std::string &program, const std::vector<std::string> &arguments)
{
    ChildProcess process(program, arguments);
    auto output = process.output();
    return {.exitCode = process.wait(), .output = std::move(output)};
}

} // namespace Heatherridge
