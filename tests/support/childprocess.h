#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace Heatherridge
{

/**
 * One of the project's programs, run by a test.
 *
 * The program dies with the test: at destruction by its process id, and when the test itself is killed by the kernel's
 * parent-death signal.
 */
class ChildProcess
{
public:
    /** Starts the program named @p program of the build with @p arguments and waits for its ready line. */
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    /** Kills the program, if it still runs. */
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** The addresses on the ready line, in its order; empty when the program ended without one. */
    const std::vector<Endpoint> &endpoints() const;

    /** Kills the program at once, as a power cut would. */
    void kill();

    /** Sends @p signal. */
    void signal(int signal) const;

    /** Waits for the end of the program. @returns its exit code, or minus the signal that ended it. */
    int wait();

    /** What the program writes to its standard output, but for a ready line; returns at its end. */
    std::string output();

private:
    std::string readLine() const;

    pid_t m_processId = 0; // 0 once waited for
    int m_outputDescriptor = -1;
    std::string m_linesBeforeReady; // lines that came before the ready line, or in its place
    std::vector<Endpoint> m_endpoints;
};

/** How a program ended and what it wrote to its standard output. */
struct ProgramRun
{
    int exitCode = 0; ///< or minus the signal that ended it
    std::string output{};
};

/** Runs the program named @p program of the build to its end. */
ProgramRun runProgram(const std::string &program, const std::vector<std::string> &arguments);

} // namespace Heatherridge
