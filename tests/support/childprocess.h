#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace Heatherridge
{

/**
 * One of the project's programs, started by a test.
 *
 * The program never outlives the test: the destructor kills it by its process id, and the kernel's parent-death signal
 * kills it if the test itself is killed.
 */
class ChildProcess
{
public:
    /** Starts @p program from the build directory with @p arguments and waits for its ready line. */
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    /** Starts it with at most @p maxDescriptors open descriptors. */
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, std::size_t maxDescriptors);
    /** Kills the program if it is still running. */
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Returns the addresses on the ready line, in order; empty if the program ended without a ready line. */
    const std::vector<Endpoint> &endpoints() const;

    /** Kills the program immediately with SIGKILL, as a power failure would, and waits for its end. */
    void kill();

    /** Sends @p signal to the program. */
    void signal(int signal) const;

    /** Returns whether the program has not ended. */
    bool isRunning() const;

    /** Returns the largest resident memory of the program so far, in bytes; 0 once it has ended. */
    std::size_t peakMemory() const;

    /** Returns the number of the program's open descriptors; 0 once it has ended. */
    std::size_t descriptorCount() const;

    /** Waits for the program to end. @returns its exit code, or the negated number of the signal that ended it */
    int wait();

    /** Returns the program's standard output without the ready line; blocks until the program ends. */
    std::string output();

private:
    std::string readLine() const;

    pid_t m_processId = 0; // 0 after wait()
    int m_outputDescriptor = -1;
    std::string m_linesBeforeReady; // output before the ready line, or all output if there is none
    std::vector<Endpoint> m_endpoints;
};

/** Exit code and standard output of a finished program. */
struct ProgramRun
{
    int exitCode = 0; ///< or the negated number of the signal that ended it
    std::string output{};
};

/** Runs @p program from the build directory to its end. */
ProgramRun runProgram(const std::string &program, const std::vector<std::string> &arguments);

} // namespace Heatherridge
