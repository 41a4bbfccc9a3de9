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
 * A small deployment of the real programs on ports that the kernel chose: a log, engines and a booking service, each
 * with the process beside it, and entries.
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
        std::vector<std::string> engineFlags{}; ///< beyond the mode
        std::vector<std::string> entryFlags{}; ///< beyond name, zone, addresses
    };

    /** Starts all programs, publishes inventory and rules, and waits until each entry has them in force
     * and reaches each target. */
    explicit TestSite(const Options &options);

    /** The log stand-in. */
    const Endpoint &log() const;

    /** Where entry @p index serves callers. */
    const Endpoint &entry(std::size_t index) const;

    /** Engine @p index itself, behind the target process of the same index. */
    const Endpoint &engine(std::size_t index) const;

    /** Plain service @p index itself. */
    const Endpoint &plain(std::size_t index) const;

    /** The entry's program. */
    ChildProcess &entryProcess(std::size_t index);

    /** The process beside target @p index; engines come first, then plain services. */
    ChildProcess &targetProcess(std::size_t index);

    /** Publishes the inventory again with the targets of these indexes withdrawn. */
    void withdraw(const std::set<std::size_t> &targets);

    /** Publishes @p text with the operator's command and waits until it is in force at each entry that answers. */
    void publish(const std::string &kind, const std::string &text);

private:
    void waitForTargets(const Endpoint &entry) const;
    std::string inventory(const std::set<std::size_t> &withdrawn) const;

    Options m_options;
    std::unique_ptr<ChildProcess> m_log;
    std::vector<std::unique_ptr<ChildProcess>> m_backends; // engines, then plain services
    std::vector<std::unique_ptr<ChildProcess>> m_targets; // in the order of the backends
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
};

} // namespace Heatherridge
