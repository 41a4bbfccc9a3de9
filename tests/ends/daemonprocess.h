#pragma once

#include <filesystem>
#include <string>

#include <sys/types.h>

namespace Heatherridge
{

/** One of the project's programs with a settings file, whose output goes to a file. It never outlives the test. */
class DaemonProcess
{
public:
    /** Does not start it yet. @param folder of its settings and its output */
    DaemonProcess(const std::string &program, std::string name, std::string settings,
                  const std::filesystem::path &folder);
    /** Kills it. */
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    const std::string &name() const;

    /** Starts it with an empty output. */
    void start();

    /** Waits for its ready line for some seconds. @returns whether it was written */
    bool waitUntilReady() const;

    void signal(int signal) const;

    /** Writes the settings again, in a state that a writer may leave for a moment. */
    void rewriteSettings(bool isWhole) const;

    /** Waits for its end. @returns its exit code, or the negated number of the signal that ended it */
    int wait();

    bool isRunning() const;

    /** Returns what it wrote on its standard output and standard error since its start. */
    std::string output() const;

private:
    std::string m_program;
    std::string m_name;
    std::string m_settings;
    std::filesystem::path m_settingsFile;
    std::filesystem::path m_outputFile;
    pid_t m_processId = 0; // 0 while it is not running
};

} // namespace Heatherridge
