#pragma once

#include "support/childprocess.h"
#include "support/httpcalls.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * A small deployment of the real programs on ports chosen by the kernel: a log, engines and booking services, each with
 * its target process, and entries.
 *
 * Engines serve the model `chip-llm`, the plain targets the service `yard-app`; workspaces are `mills` and `buyers`.
 */
class TestSite
{
public:
    struct Options
    {
        int engines = 2;
        int plainServices = 0;
        int entries = 1;
        std::vector<std::string> engineFlags{}; ///< in addition to the mode
        std::vector<std::string> entryFlags{}; ///< in addition to name, zone and addresses
    };

    /** Starts all programs, publishes the inventory and the rules, and waits until each entry has applied them and is
     * connected to each target. */
    explicit TestSite(const Options &options);

    /** Returns the address of the log stand-in. */
    const Endpoint &log() const;

    /** Returns the address at which entry @p index serves callers. */
    const Endpoint &entry(std::size_t index) const;

    /** Returns the address of engine @p index itself, behind the target process of the same index. */
    const Endpoint &engine(std::size_t index) const;

    /** Returns the address of plain service @p index itself. */
    const Endpoint &plain(std::size_t index) const;

    /** Returns the process of entry @p index. */
    ChildProcess &entryProcess(std::size_t index);

    /** Returns the target process @p index; engines come first, then plain services. */
    ChildProcess &targetProcess(std::size_t index);

    /** Publishes the inventory again with the given targets withdrawn. */
    void withdraw(const std::set<std::size_t> &targets);

    /** Publishes @p text with the operator's command and waits until each entry that responds has applied it. */
    void publish(const std::string &kind, const std::string &text);

private:
    void waitForTargets(const Endpoint &entry) const;
    std::string inventory(const std::set<std::size_t> &withdrawn) const;

    Options m_options;
    std::unique_ptr<ChildProcess> m_log;
    std::vector<std::unique_ptr<ChildProcess>> m_backends; // engines first, then plain services
    std::vector<std::unique_ptr<ChildProcess>> m_targets; // in the order of m_backends
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
};

} // namespace Heatherridge
